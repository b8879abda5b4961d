//! A deployment on loopback addresses: instances as processes, between a fake store and
//! fake targets.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use standin::UsersStore;
use standin::UsersTarget;
use standin::users::CALLERS_PORT;
use standin::users::READY_PORT;
use standin::users::boot_settings;
use standin::users::configuration;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Longest time that a test waits for a condition. It only bounds a hanging test and is
/// no requirement on latency.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const METRICS_PORT: u16 = 9_464;

/// A response as received by the caller.
#[derive(Clone, Debug)]
pub(crate) struct Response {
    pub status: u16,
    pub head: String,
    pub body: String,
    /// Whether the body was as long as its `content-length`.
    pub is_complete: bool,
}

impl Response {
    /// Value of a header, or `None` if the response does not have it.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().filter_map(|line| line.split_once(':'));
        let mut matching = lines.filter(|(header, _)| header.eq_ignore_ascii_case(name));
        matching.next().map(|(_, value)| value.trim())
    }
}

/// A running instance, killed when dropped.
pub(crate) struct InstanceProcess {
    ip: IpAddr,
    child: Child,
    settings: PathBuf,
    log: PathBuf,
}

impl InstanceProcess {
    /// Sends a signal, named without `SIG`.
    pub(crate) fn send_signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([&format!("-{name}"), &self.child.id().to_string()])
            .status()
            .expect("failed to run kill");
        assert!(status.success());
    }

    /// Rewrites the settings file after `change` has edited its document.
    pub(crate) fn change_settings(&self, change: impl FnOnce(&mut serde_json::Value)) {
        let text =
            std::fs::read_to_string(&self.settings).expect("failed to read the settings file");
        let mut document = serde_json::from_str(&text).expect("the settings file is not JSON");
        change(&mut document);
        let text = document.to_string();
        std::fs::write(&self.settings, text).expect("failed to write the settings file");
    }

    /// Kills the process and starts it again with the same settings and addresses.
    pub(crate) fn restart(&mut self) {
        self.kill();
        self.start();
    }

    /// Kills the process.
    pub(crate) fn kill(&mut self) {
        self.child.kill().expect("failed to kill the process");
        self.child.wait().expect("failed to wait for the process");
    }

    /// Starts a killed process again with the same settings and addresses.
    pub(crate) fn start(&mut self) {
        let log = std::fs::File::options().append(true).open(&self.log);
        let log = Stdio::from(log.expect("failed to open the log file"));
        self.child = spawn(&self.settings, log);
    }

    /// Waits for the process to exit without blocking the fakes, which run on the same
    /// runtime.
    pub(crate) async fn wait_for_exit(&mut self) -> ExitStatus {
        loop {
            if let Some(status) = self
                .child
                .try_wait()
                .expect("failed to wait for the process")
            {
                return status;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Address for callers.
    pub(crate) fn caller_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CALLERS_PORT)
    }

    /// Sends a request with an attempt id. `None` if the connection fails before a complete
    /// response head.
    pub(crate) async fn send_request(
        &self,
        method: &str,
        path: &str,
        id: &str,
    ) -> Option<Response> {
        self.send_request_with(method, path, id, "").await
    }

    /// Sends a request with an attempt id and further header lines.
    pub(crate) async fn send_request_with(
        &self,
        method: &str,
        path: &str,
        id: &str,
        header_lines: &str,
    ) -> Option<Response> {
        let text = format!(
            "{method} {path} HTTP/1.1\r\nhost: a.example\r\nx-attempt-id: {id}\r\nx-deadline-ms: 8000\r\n{header_lines}connection: close\r\ncontent-length: 0\r\n\r\n"
        );
        exchange(self.caller_address(), &text).await
    }

    /// Sends the text of a request on a connection of its own.
    pub(crate) async fn send_text(&self, text: &str) -> Option<Response> {
        exchange(self.caller_address(), text).await
    }

    /// Status of the readiness check of the load balancer, or `None` if the connection fails.
    pub(crate) async fn readiness_status(&self) -> Option<u16> {
        let text = "GET /sniperun/ready HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
        let response = exchange(SocketAddr::new(self.ip, READY_PORT), text).await;
        response.map(|response| response.status)
    }

    /// Metrics in the text format.
    pub(crate) async fn metrics(&self) -> String {
        let text = "GET /metrics HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
        let response = exchange(SocketAddr::new(self.ip, METRICS_PORT), text).await;
        response.expect("failed to read the metrics").body
    }

    /// Largest resident size of the process so far, in bytes.
    pub(crate) fn peak_memory_bytes(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).expect("failed to read the process status");
        let line = status.lines().find(|line| line.starts_with("VmHWM:"));
        let kib = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
        kib.expect("the process status has no peak size") << 10
    }

    /// Log output so far.
    pub(crate) fn read_log(&self) -> String {
        std::fs::read_to_string(&self.log).expect("failed to read the log file")
    }

    /// Waits until the log contains `text`.
    pub(crate) async fn wait_for_log(&self, text: &str) {
        wait_until(text, async || self.read_log().contains(text)).await;
    }
}

impl Drop for InstanceProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
        let _ = std::fs::remove_file(&self.log);
    }
}

fn spawn(settings: &PathBuf, output: Stdio) -> Child {
    Command::new(env!("CARGO_BIN_EXE_sniperund"))
        .arg("--users-platform")
        .env("SNIPERUN_BOOT", settings)
        .stdin(Stdio::null())
        .stdout(output)
        .spawn()
        .expect("failed to start the instance")
}

/// Starts an instance that reaches the store at `store`, with the standard output that `output`
/// returns for the path of its log file.
fn start_process(store: SocketAddr, output: impl FnOnce(&PathBuf) -> Stdio) -> InstanceProcess {
    static NUMBER: AtomicU32 = AtomicU32::new(1);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let ip = IpAddr::V4(Ipv4Addr::new(127, high | 1, low, number as u8));
    let name = format!("edge-north-{}-{number}", std::process::id());
    let settings = std::env::temp_dir().join(format!("{name}.json"));
    let log = std::env::temp_dir().join(format!("{name}.log"));
    let boot_settings = boot_settings(&name, ip, store);
    std::fs::write(&settings, boot_settings.to_string())
        .expect("failed to write the settings file");
    let child = spawn(&settings, output(&log));
    InstanceProcess {
        ip,
        child,
        settings,
        log,
    }
}

/// Polls until a condition holds; panics after [`WAIT_TIMEOUT`].
pub(crate) async fn wait_until(description: &str, mut condition: impl AsyncFnMut() -> bool) {
    let wait = async {
        while !condition().await {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let waited = tokio::time::timeout(WAIT_TIMEOUT, wait).await;
    assert!(waited.is_ok(), "timed out while waiting for {description}");
}

async fn exchange(address: SocketAddr, text: &str) -> Option<Response> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    stream.write_all(text.as_bytes()).await.ok()?;
    let mut bytes = Vec::new();
    // If the connection is reset, the bytes received so far are the response.
    let _ = stream.read_to_end(&mut bytes).await;
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let mut response = Response {
        status,
        head: head.to_owned(),
        body: body.to_owned(),
        is_complete: false,
    };
    let length = response.header("content-length");
    response.is_complete = length.and_then(|text| text.parse().ok()) == Some(body.len());
    Some(response)
}

/// Store, targets and instances of one test.
pub(crate) struct Deployment {
    pub store: UsersStore,
    pub targets: Vec<UsersTarget>,
    pub instances: Vec<InstanceProcess>,
}

impl Deployment {
    /// Starts `instances` instances that route to two targets of the service `reads` and
    /// two of `gates`, and waits until they are ready.
    pub(crate) async fn start(instances: usize) -> Self {
        let store = UsersStore::bind(ephemeral_address())
            .await
            .expect("failed to start the store");
        let mut targets = Vec::new();
        for (index, service) in ["reads", "reads", "gates", "gates"].iter().enumerate() {
            let id = format!("i-{index}");
            let target = UsersTarget::bind(ephemeral_address(), &id).await;
            let target = target.expect("failed to start a target");
            store.put(&format!("servers/{id}"), &target.entry(service, "ready"));
            targets.push(target);
        }
        store.put("op/config", &configuration(5, "reads"));
        let mut deployment = Self {
            store,
            targets,
            instances: Vec::new(),
        };
        for _ in 0..instances {
            let process = deployment.start_instance();
            deployment.instances.push(process);
        }
        for instance in &deployment.instances {
            wait_until("readiness", async || {
                instance.readiness_status().await == Some(200)
            })
            .await;
        }
        deployment
    }

    /// Starts one more instance that logs to a file.
    pub(crate) fn start_instance(&self) -> InstanceProcess {
        self.start_instance_at(self.store.address())
    }

    /// Starts one more instance that reaches the store at `store` and logs to a file.
    pub(crate) fn start_instance_at(&self, store: SocketAddr) -> InstanceProcess {
        start_process(store, |log| {
            let output = std::fs::File::create(log).expect("failed to create the log file");
            Stdio::from(output)
        })
    }

    /// Starts one more instance with the standard output that `output` returns for the path
    /// of its log file.
    pub(crate) fn start_instance_with(
        &self,
        output: impl FnOnce(&PathBuf) -> Stdio,
    ) -> InstanceProcess {
        start_process(self.store.address(), output)
    }

    /// Waits until every instance has logged that all others joined.
    pub(crate) async fn wait_for_members(&self) {
        let others = self.instances.len() - 1;
        for instance in &self.instances {
            wait_until("all instances to join", async || {
                instance.read_log().matches("event=instance-joined").count() >= others
            })
            .await;
        }
    }
}

/// Loopback address with port 0, for which the system chooses a free port.
pub(crate) fn ephemeral_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
