//! A deployment on loopback addresses: the store, targets, instances.

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

/// Time after which a test that waits gives up; no promise is measured by it.
pub(crate) const PATIENCE: Duration = Duration::from_secs(30);
const LOOK_PERIOD: Duration = Duration::from_millis(20);
const METRICS_PORT: u16 = 9_464;

/// An answer as its caller gets it.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub status: u16,
    pub head: String,
    pub body: String,
    /// Whether the body was as long as its head said.
    pub whole: bool,
}

impl Answer {
    /// The value of a header.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().filter_map(|line| line.split_once(':'));
        let mut found = lines.filter(|(known, _)| known.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value.trim())
    }
}

/// A process of an instance.
pub(crate) struct Process {
    ip: IpAddr,
    child: Child,
    settings: PathBuf,
    log: PathBuf,
}

impl Process {
    /// Sends a signal by name.
    pub(crate) fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([&format!("-{name}"), &self.child.id().to_string()])
            .status()
            .expect("kill runs");
        assert!(status.success());
    }

    /// Changes the settings file, whose document is given to `change`.
    pub(crate) fn change_settings(&self, change: impl FnOnce(&mut serde_json::Value)) {
        let text = std::fs::read_to_string(&self.settings).expect("settings can be read");
        let mut document = serde_json::from_str(&text).expect("settings are JSON");
        change(&mut document);
        let text = document.to_string();
        std::fs::write(&self.settings, text).expect("settings can be written");
    }

    /// Kills the process and starts it again at the same addresses.
    pub(crate) fn restart(&mut self) {
        self.child.kill().expect("it can be killed");
        self.child.wait().expect("it can be waited for");
        let log = std::fs::File::options().append(true).open(&self.log);
        let log = Stdio::from(log.expect("the log can be appended to"));
        self.child = spawn(&self.settings, log);
    }

    /// Waits for the process's end without blocking the fakes.
    pub(crate) async fn ended(&mut self) -> ExitStatus {
        loop {
            if let Some(status) = self.child.try_wait().expect("it can be waited for") {
                return status;
            }
            tokio::time::sleep(LOOK_PERIOD).await;
        }
    }

    /// The address that callers reach it at.
    pub(crate) fn callers(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CALLERS_PORT)
    }

    /// Sends a request with an id; none if the connection fails.
    pub(crate) async fn ask(&self, method: &str, path: &str, id: &str) -> Option<Answer> {
        let text = format!(
            "{method} {path} HTTP/1.1\r\nhost: a.example\r\nx-attempt-id: {id}\r\nx-deadline-ms: 8000\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"
        );
        exchange(self.callers(), &text).await
    }

    /// The status at the address that the balancer asks.
    pub(crate) async fn ready(&self) -> Option<u16> {
        let text = "GET /sniperun/ready HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
        let answer = exchange(SocketAddr::new(self.ip, READY_PORT), text).await;
        answer.map(|answer| answer.status)
    }

    /// The metrics as text.
    pub(crate) async fn metrics(&self) -> String {
        let text = "GET /metrics HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
        let answer = exchange(SocketAddr::new(self.ip, METRICS_PORT), text).await;
        answer.expect("metrics are served").body
    }

    /// What the process has logged so far.
    pub(crate) fn log(&self) -> String {
        std::fs::read_to_string(&self.log).expect("the log can be read")
    }

    /// Waits until the log holds a text.
    pub(crate) async fn wait_for_log(&self, text: &str) {
        wait_for(text, async || self.log().contains(text)).await;
    }
}

impl Drop for Process {
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
        .expect("the instance starts")
}

/// Waits until a condition holds.
pub(crate) async fn wait_for(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let wait = async {
        while !holds().await {
            tokio::time::sleep(LOOK_PERIOD).await;
        }
    };
    let waited = tokio::time::timeout(PATIENCE, wait).await;
    assert!(waited.is_ok(), "waited in vain for {what}");
}

async fn exchange(to: SocketAddr, text: &str) -> Option<Answer> {
    let mut stream = TcpStream::connect(to).await.ok()?;
    stream.write_all(text.as_bytes()).await.ok()?;
    let mut bytes = Vec::new();
    // A connection that breaks has ended with what came until then.
    let _ = stream.read_to_end(&mut bytes).await;
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let mut answer = Answer {
        status,
        head: head.to_owned(),
        body: body.to_owned(),
        whole: false,
    };
    let length = answer.header("content-length");
    answer.whole = length.and_then(|text| text.parse().ok()) == Some(body.len());
    Some(answer)
}

/// The store, targets and instances of one test.
pub(crate) struct Deployment {
    pub store: UsersStore,
    pub targets: Vec<UsersTarget>,
    pub instances: Vec<Process>,
}

impl Deployment {
    /// Starts `instances` instances before two targets of `reads` and two of
    /// `gates`.
    pub(crate) async fn start(instances: usize) -> Self {
        let store = UsersStore::bind(any_port())
            .await
            .expect("the store starts");
        let mut targets = Vec::new();
        for (at, service) in ["reads", "reads", "gates", "gates"].iter().enumerate() {
            let id = format!("i-{at}");
            let target = UsersTarget::bind(any_port(), &id).await;
            let target = target.expect("a target starts");
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
            wait_for("readiness", async || instance.ready().await == Some(200)).await;
        }
        deployment
    }

    /// Starts one more instance, whose log can be read.
    pub(crate) fn start_instance(&self) -> Process {
        self.start_instance_with(|log| {
            let output = std::fs::File::create(log).expect("a log can be created");
            Stdio::from(output)
        })
    }

    /// Starts one more instance; `output` gives its standard output.
    pub(crate) fn start_instance_with(&self, output: impl FnOnce(&PathBuf) -> Stdio) -> Process {
        static NUMBER: AtomicU32 = AtomicU32::new(1);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let ip = IpAddr::V4(Ipv4Addr::new(127, high | 1, low, number as u8));
        let name = format!("edge-north-{}-{number}", std::process::id());
        let settings = std::env::temp_dir().join(format!("{name}.json"));
        let log = std::env::temp_dir().join(format!("{name}.log"));
        let boot_settings = boot_settings(&name, ip, self.store.address());
        std::fs::write(&settings, boot_settings.to_string()).expect("settings can be written");
        let child = spawn(&settings, output(&log));
        Process {
            ip,
            child,
            settings,
            log,
        }
    }

    /// Waits until all instances know of each other.
    pub(crate) async fn wait_for_members(&self) {
        let others = self.instances.len() - 1;
        for instance in &self.instances {
            wait_for("members", async || {
                instance.log().matches("event=instance-joined").count() >= others
            })
            .await;
        }
    }
}

pub(crate) fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
