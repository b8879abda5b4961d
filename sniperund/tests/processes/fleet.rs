//! Real instances as processes, with fakes around them.

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

/// Time after which a test that waits gives up; no promise is measured by it.
pub(crate) const PATIENCE: Duration = Duration::from_secs(60);
const LOOK_PERIOD: Duration = Duration::from_millis(20);

/// A process of an instance.
pub(crate) struct Process {
    pub callers: SocketAddr,
    pub admin: SocketAddr,
    child: Child,
    settings: PathBuf,
}

impl Process {
    pub(crate) fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([&format!("-{name}"), &self.child.id().to_string()])
            .status()
            .expect("kill runs");
        assert!(status.success());
    }

    /// Waits for the process's end without blocking the fakes.
    pub(crate) async fn ended(&mut self) -> ExitStatus {
        loop {
            if let Some(status) = self
                .child
                .try_wait()
                .expect("the process can be waited for")
            {
                return status;
            }
            tokio::time::sleep(LOOK_PERIOD).await;
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// Fakes and processes.
pub(crate) struct Fleet {
    pub platform: PlatformServer,
    pub backends: Vec<Backend>,
    pub instances: Vec<Process>,
    pub store: NoteStore,
}

impl Fleet {
    /// Starts two instances in two data centres before three targets of each of
    /// an idempotent service at `/read` and a command service at `/command`.
    pub(crate) async fn start() -> Self {
        let platform = PlatformServer::bind(loopback())
            .await
            .expect("the platform starts");
        let store = NoteStore::new(Arc::new(HttpPlatform::new(&platform.address().to_string())));
        let mut backends = Vec::new();
        for number in 0..6 {
            let name = format!("target-{number}");
            backends.push(
                Backend::bind(loopback(), &name, Script::default())
                    .await
                    .expect("a backend starts"),
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
            .expect("the first note is accepted");
        fleet.wait_for_note(1).await;
        fleet
    }

    /// Starts one more instance.
    pub(crate) async fn start_instance(&self, data_centre: &str) -> Process {
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
        let mut file = std::fs::File::create(&settings).expect("settings can be written");
        file.write_all(text.as_bytes())
            .expect("settings can be written");
        let child = Command::new(env!("CARGO_BIN_EXE_sniperund"))
            .arg("--settings")
            .arg(&settings)
            .stdin(Stdio::null())
            .spawn()
            .expect("the instance starts");
        self.platform.memory.add_instance(Member {
            id: id.as_str().into(),
            data_centre: data_centre.into(),
            caller_address: ports[0],
            peer_address: ports[1],
            incarnation: 1,
            status: Status::Alive,
        });
        Process {
            callers: ports[0],
            admin: ports[2],
            child,
            settings,
        }
    }

    /// Waits until a note is in force at all instances.
    pub(crate) async fn wait_for_note(&self, number: u64) {
        for instance in &self.instances {
            wait_for_status(instance.admin, &format!("\"note\":{number},\"ready\":true")).await;
        }
    }

    fn first_note(&self) -> Note {
        let target = |(at, backend): (usize, &Backend)| Target {
            name: format!("target-{at}").into(),
            service: if at < 3 { "reads" } else { "commands" }.into(),
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

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

const FIRST_PORT: u32 = 10_000;
const PORTS: u32 = 20_000;

/// Three free addresses, outside the range from which connections take theirs.
fn free_addresses() -> Vec<SocketAddr> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let start = std::process::id() * 97;
    let mut free = Vec::new();
    while free.len() < 3 {
        let offset = start.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed)) % PORTS;
        let address = SocketAddr::from(([127, 0, 0, 1], (FIRST_PORT + offset) as u16));
        if std::net::TcpListener::bind(address).is_ok() {
            free.push(address);
        }
    }
    free
}

/// Waits until an instance's status holds a text.
pub(crate) async fn wait_for_status(admin: SocketAddr, text: &str) {
    let wait = async {
        loop {
            let answer = Raw::send(
                admin,
                "GET /status HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n",
            )
            .await;
            if let Some(answer) = answer
                && answer.rest().await.text.contains(text)
            {
                return;
            }
            tokio::time::sleep(LOOK_PERIOD).await;
        }
    };
    tokio::time::timeout(PATIENCE, wait)
        .await
        .expect("the status comes to hold the text");
}

/// A raw connection, so that tests see what a caller really gets.
pub(crate) struct Raw {
    stream: TcpStream,
    text: Vec<u8>,
}

/// All that came on a connection.
pub(crate) struct Received {
    pub text: String,
    pub bytes: usize,
    /// Whether the body was as long as its head said.
    pub whole: bool,
}

impl Raw {
    /// Connects and sends; none if the connection is refused.
    pub(crate) async fn send(to: SocketAddr, text: &str) -> Option<Self> {
        let mut stream = TcpStream::connect(to).await.ok()?;
        stream.write_all(text.as_bytes()).await.ok()?;
        Some(Self {
            stream,
            text: Vec::new(),
        })
    }

    /// Reads until at least `bytes` have come.
    pub(crate) async fn read_some(&mut self, bytes: usize) {
        let mut buffer = [0; 16_384];
        while self.text.len() < bytes {
            match self.stream.read(&mut buffer).await {
                Ok(0) | Err(_) => return,
                Ok(count) => self.text.extend_from_slice(&buffer[..count]),
            }
        }
    }

    /// Reads until the connection ends.
    pub(crate) async fn rest(mut self) -> Received {
        self.read_some(usize::MAX).await;
        let head = find(&self.text, b"\r\n\r\n").map_or(self.text.len(), |at| at + 4);
        let body = self.text.len() - head;
        let text = String::from_utf8_lossy(&self.text).into_owned();
        let length = text
            .to_ascii_lowercase()
            .split("content-length: ")
            .nth(1)
            .and_then(|rest| rest.split("\r\n").next()?.parse::<usize>().ok());
        let whole = match length {
            Some(length) => body == length,
            None => text.ends_with("0\r\n\r\n"),
        };
        Received {
            text,
            bytes: body,
            whole,
        }
    }
}

fn find(text: &[u8], part: &[u8]) -> Option<usize> {
    text.windows(part.len()).position(|window| window == part)
}

/// Sends a request and reads its whole answer.
pub(crate) async fn ask(to: SocketAddr, method: &str, path: &str, headers: &str) -> Received {
    let text =
        format!("{method} {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\n{headers}\r\n");
    Raw::send(to, &text)
        .await
        .expect("the instance takes connections")
        .rest()
        .await
}
