//! A fleet on loopback addresses: instances as processes, between a fake platform and fake
//! backend servers.

use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use border::HttpPlatform;
use border::NoteStore;
use model::Note;
use model::configuration::Class;
use model::configuration::Repeat;
use model::configuration::Route;
use model::configuration::Service;
use model::configuration::Target;
use model::note::Delta;
use policy::membership::Member;
use policy::membership::Status;
use standin::Backend;
use standin::PlatformServer;
use standin::Script;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Longest time that a test waits for a condition. It only bounds a hanging test and is
/// no requirement on latency.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running instance, killed when dropped.
pub(crate) struct InstanceProcess {
    pub caller_address: SocketAddr,
    pub admin_address: SocketAddr,
    child: Child,
    settings: PathBuf,
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
}

impl Drop for InstanceProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// Fake platform, fake backend servers, note store and instances of one test.
pub(crate) struct Fleet {
    pub platform: PlatformServer,
    pub backends: Vec<Backend>,
    pub instances: Vec<InstanceProcess>,
    pub store: NoteStore,
}

impl Fleet {
    /// Starts two instances in two data centres that route to an idempotent service at
    /// `/read` and a command service at `/command`, of three targets each, and waits until
    /// they are ready.
    pub(crate) async fn start() -> Self {
        let platform = PlatformServer::bind(ephemeral_address())
            .await
            .expect("failed to start the platform");
        let store = NoteStore::new(Arc::new(HttpPlatform::new(&platform.address().to_string())));
        let mut backends = Vec::new();
        for number in 0..6 {
            let name = format!("target-{number}");
            backends.push(
                Backend::bind(ephemeral_address(), &name, Script::default())
                    .await
                    .expect("failed to start a backend server"),
            );
        }
        let mut fleet = Self {
            platform,
            backends,
            instances: Vec::new(),
            store,
        };
        for data_centre in ["north", "south"] {
            let process = fleet.start_instance(data_centre).await;
            fleet.instances.push(process);
        }
        fleet
            .store
            .submit(&fleet.first_note())
            .await
            .expect("the first note was not accepted");
        fleet.wait_for_note(1).await;
        fleet
    }

    /// Starts one more instance and lists it in the platform.
    pub(crate) async fn start_instance(&self, data_centre: &str) -> InstanceProcess {
        static NUMBER: AtomicU32 = AtomicU32::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let id = format!("{data_centre}-{}-{number}", std::process::id());
        let ports: Vec<SocketAddr> = free_addresses();
        let text = format!(
            r#"{{"id": "{id}", "data_centre": "{data_centre}", "callers": "{}", "peers": "{}", "admin": "{}",
                "platform": "{}", "platform_limit_ms": 300, "drain_grace_ms": 200, "log_level": "WARN"}}"#,
            ports[0],
            ports[1],
            ports[2],
            self.platform.address()
        );
        let settings = std::env::temp_dir().join(format!("{id}.jsonc"));
        let mut file = std::fs::File::create(&settings).expect("failed to write the settings file");
        file.write_all(text.as_bytes())
            .expect("failed to write the settings file");
        let child = Command::new(env!("CARGO_BIN_EXE_sniperund"))
            .arg("--settings")
            .arg(&settings)
            .stdin(Stdio::null())
            .spawn()
            .expect("failed to start the instance");
        self.platform.memory.add_instance(Member {
            id: id.as_str().into(),
            data_centre: data_centre.into(),
            caller_address: ports[0],
            peer_address: ports[1],
            incarnation: 1,
            status: Status::Alive,
        });
        InstanceProcess {
            caller_address: ports[0],
            admin_address: ports[2],
            child,
            settings,
        }
    }

    /// Waits until all instances are ready with this note in force.
    pub(crate) async fn wait_for_note(&self, number: u64) {
        for instance in &self.instances {
            wait_for_status(
                instance.admin_address,
                &format!("\"note\":{number},\"ready\":true"),
            )
            .await;
        }
    }

    fn first_note(&self) -> Note {
        let target = |(index, backend): (usize, &Backend)| Target {
            name: format!("target-{index}").into(),
            service: if index < 3 { "reads" } else { "commands" }.into(),
            data_centre: "north".into(),
            address: backend.address(),
            slots: 6,
            connections: 300,
            refusal_is_not_run: true,
            leaving: false,
            incarnation: 0,
        };
        Note {
            title: "first".into(),
            submission: "first".into(),
            services: Delta {
                add: vec![
                    service("reads", Class::Live, Repeat::Idempotent),
                    service("commands", Class::Command, Repeat::Never),
                ],
                ..Delta::default()
            },
            targets: Delta {
                add: self.backends.iter().enumerate().map(target).collect(),
                ..Delta::default()
            },
            routes: Delta {
                add: vec![route("/read", "reads"), route("/command", "commands")],
                ..Delta::default()
            },
            ..Note::default()
        }
    }
}

fn service(name: &str, class: Class, repeat: Repeat) -> Service {
    Service {
        name: name.into(),
        class,
        repeat,
        time_limit_ms: 20_000,
        floor_share: 0.5,
        false_ejection_rate: 1e-5,
        missed_detection_rate: 1e-3,
        retry_share: 0.5,
        queue: 100,
        probe_path: "/health".into(),
    }
}

fn route(path: &str, service: &str) -> Route {
    Route {
        name: service.into(),
        host: None,
        path: path.into(),
        service: service.into(),
        shares: Vec::new(),
        terms: Default::default(),
    }
}

/// Loopback address with port 0, for which the system chooses a free port.
fn ephemeral_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

const FIRST_PORT: u32 = 10_000;
const PORT_COUNT: u32 = 20_000;

/// Returns three free addresses whose ports are below the ephemeral range, so that no
/// outgoing connection takes them.
fn free_addresses() -> Vec<SocketAddr> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let start = std::process::id() * 97;
    let mut free = Vec::new();
    while free.len() < 3 {
        let offset = start.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed)) % PORT_COUNT;
        let address = SocketAddr::from(([127, 0, 0, 1], (FIRST_PORT + offset) as u16));
        if std::net::TcpListener::bind(address).is_ok() {
            free.push(address);
        }
    }
    free
}

/// Waits until the status of an instance contains `text`.
pub(crate) async fn wait_for_status(admin_address: SocketAddr, text: &str) {
    let wait = async {
        loop {
            let response = RawConnection::send(
                admin_address,
                "GET /status HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n",
            )
            .await;
            if let Some(response) = response
                && response.read_to_end().await.text.contains(text)
            {
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, wait)
        .await
        .expect("timed out while waiting for the text in the status");
}

/// A raw TCP connection, so that tests see the exact bytes that a caller receives.
pub(crate) struct RawConnection {
    stream: TcpStream,
    text: Vec<u8>,
}

/// Everything received on a connection.
pub(crate) struct RawResponse {
    pub text: String,
    pub body_bytes: usize,
    /// Whether the body was as long as its `content-length`, or ended with the last chunk.
    pub is_complete: bool,
}

impl RawConnection {
    /// Connects and sends `text`. `None` if the connection fails.
    pub(crate) async fn send(address: SocketAddr, text: &str) -> Option<Self> {
        let mut stream = TcpStream::connect(address).await.ok()?;
        stream.write_all(text.as_bytes()).await.ok()?;
        Some(Self {
            stream,
            text: Vec::new(),
        })
    }

    /// Reads until at least `bytes` bytes were received or the connection ends.
    pub(crate) async fn read_at_least(&mut self, bytes: usize) {
        let mut buffer = [0; 16_384];
        while self.text.len() < bytes {
            match self.stream.read(&mut buffer).await {
                Ok(0) | Err(_) => return,
                Ok(count) => self.text.extend_from_slice(&buffer[..count]),
            }
        }
    }

    /// Reads until the connection ends.
    pub(crate) async fn read_to_end(mut self) -> RawResponse {
        self.read_at_least(usize::MAX).await;
        let head = find(&self.text, b"\r\n\r\n").map_or(self.text.len(), |index| index + 4);
        let body = self.text.len() - head;
        let text = String::from_utf8_lossy(&self.text).into_owned();
        let length = text
            .to_ascii_lowercase()
            .split("content-length: ")
            .nth(1)
            .and_then(|after| after.split("\r\n").next()?.parse::<usize>().ok());
        let is_complete = match length {
            Some(length) => body == length,
            None => text.ends_with("0\r\n\r\n"),
        };
        RawResponse {
            text,
            body_bytes: body,
            is_complete,
        }
    }
}

fn find(text: &[u8], part: &[u8]) -> Option<usize> {
    text.windows(part.len()).position(|window| window == part)
}

/// Sends a request and reads the whole response.
pub(crate) async fn send_request(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &str,
) -> RawResponse {
    let text =
        format!("{method} {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\n{headers}\r\n");
    RawConnection::send(address, &text)
        .await
        .expect("failed to connect to the instance")
        .read_to_end()
        .await
}
