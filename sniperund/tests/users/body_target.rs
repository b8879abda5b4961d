//! A target that reads the bodies of requests in ways that an HTTP library does not.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use serde_json::Value;
use serde_json::json;
use standin::users::configuration;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::deployment::Deployment;
use crate::deployment::ephemeral_address;
use crate::deployment::wait_until;

/// How a target reads a body.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Reading {
    /// Pauses after the head, then reads the body and responds.
    After(Duration),
    /// Reads nothing after the head and does not respond.
    Never,
    /// Responds at the head with a body without end.
    Endless,
    /// Responds at the head, and reads the body in this time.
    Over(Duration),
}

/// What a target has read of one request.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReadBody {
    pub(crate) id: String,
    pub(crate) bytes: usize,
    pub(crate) is_whole: bool,
    /// Number of the connection.
    pub(crate) connection: usize,
}

#[derive(Debug, Default)]
struct State {
    connections: usize,
    bodies: Vec<ReadBody>,
}

/// A target that stops when dropped.
pub(crate) struct BodyTarget {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    task: JoinHandle<()>,
}

impl BodyTarget {
    pub(crate) async fn start(reading: Reading) -> Self {
        let listener = TcpListener::bind(ephemeral_address()).await;
        let listener = listener.expect("failed to start a target");
        let address = listener.local_addr().expect("no address");
        let state = Arc::new(Mutex::new(State::default()));
        let shared = state.clone();
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let state = shared.clone();
                tokio::spawn(async move {
                    let connection = {
                        let mut state = state.lock();
                        state.connections += 1;
                        state.connections
                    };
                    serve(stream, reading, connection, &state).await
                });
            }
        });
        Self {
            address,
            state,
            task,
        }
    }

    /// The bodies that were read, in the order of their requests.
    pub(crate) fn bodies(&self) -> Vec<ReadBody> {
        self.state.lock().bodies.clone()
    }

    fn entry(&self, service: &str) -> Value {
        json!({
            "service": service, "address": self.address.to_string(), "zone": "north", "version": "v1",
            "slots": 600, "state": "ready", "warmupLeft": "0ms", "seq": 1, "born": 1_700_000_000_000_u64,
        })
    }
}

impl Drop for BodyTarget {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn serve(
    mut stream: TcpStream,
    reading: Reading,
    connection: usize,
    state: &Mutex<State>,
) -> Option<()> {
    let mut bytes = Vec::new();
    loop {
        let end = loop {
            if let Some(end) = find(&bytes, b"\r\n\r\n") {
                break end + 4;
            }
            let mut buffer = [0; 1_024];
            match stream.read(&mut buffer).await {
                Ok(count @ 1..) => bytes.extend_from_slice(&buffer[..count]),
                _ => return None,
            }
        };
        let head = String::from_utf8_lossy(&bytes[..end]).to_lowercase();
        bytes.drain(..end);
        let id = field(&head, "x-attempt-id").unwrap_or_default();
        let length: Option<usize> =
            field(&head, "content-length").and_then(|text| text.parse().ok());
        let number = {
            let mut state = state.lock();
            state.bodies.push(ReadBody {
                id: id.clone(),
                connection,
                ..ReadBody::default()
            });
            state.bodies.len() - 1
        };
        let response = format!(
            "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-response-signature: 3e1b.07\r\ncontent-length: 2\r\n\r\nok"
        );
        match reading {
            Reading::Never => std::future::pending().await,
            Reading::Endless => {
                let response = response.replace("content-length: 2\r\n\r\nok", "\r\n");
                stream.write_all(response.as_bytes()).await.ok()?;
                let part = vec![b'o'; 64 << 10];
                while stream.write_all(&part).await.is_ok() {}
                return None;
            }
            Reading::After(pause) => tokio::time::sleep(pause).await,
            Reading::Over(_) => stream.write_all(response.as_bytes()).await.ok()?,
        }
        let mut buffer = vec![0; 64 << 10];
        let mut count = bytes.len();
        let mut tail = std::mem::take(&mut bytes);
        loop {
            let is_whole = match length {
                Some(length) => count >= length,
                None => tail.ends_with(b"0\r\n\r\n") || field(&head, "transfer-encoding").is_none(),
            };
            {
                let body = &mut state.lock().bodies[number];
                (body.bytes, body.is_whole) = (count, is_whole);
            }
            if is_whole {
                break;
            }
            if let (Reading::Over(time), Some(length)) = (reading, length) {
                tokio::time::sleep(time * (64 << 10) / length as u32).await;
            }
            let read = stream
                .read(&mut buffer)
                .await
                .ok()
                .filter(|read| *read > 0)?;
            count += read;
            tail.extend_from_slice(&buffer[..read]);
            tail.drain(..tail.len().saturating_sub(8));
        }
        if !matches!(reading, Reading::Over(_)) {
            stream.write_all(response.as_bytes()).await.ok()?;
        }
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}

fn field(head: &str, name: &str) -> Option<String> {
    let mut lines = head.lines().filter_map(|line| line.split_once(": "));
    let found = lines.find(|(field, _)| *field == name);
    found.map(|(_, value)| value.trim().to_owned())
}

/// Starts an instance with `memory_mb` and further targets by service, whose route `/upload/` leads to
/// the service `uploads`, and ends requests after `timeout`.
pub(crate) async fn start(
    targets: &[(&str, &BodyTarget)],
    memory_mb: u64,
    timeout: Duration,
) -> Deployment {
    let mut deployment = Deployment::start(1).await;
    let mut document = configuration(6, "reads");
    document["routes"]["r-upload"] = document["routes"]["r-command"].clone();
    document["routes"]["r-upload"]["pathPrefix"] = "/upload/".into();
    document["routes"]["r-upload"]["service"] = "uploads".into();
    document["routes"]["r-upload"]["timeout"] = format!("{}ms", timeout.as_millis()).into();
    document["services"]["uploads"] = document["services"]["gates"].clone();
    deployment.store.put("op/config", &document);
    for (number, (service, target)) in targets.iter().enumerate() {
        let key = format!("servers/i-up-{number}");
        deployment.store.put(&key, &target.entry(service));
    }
    let instance = &mut deployment.instances[0];
    instance.change_settings(|settings| {
        settings["self"]["limits"]["memoryMb"] = memory_mb.into();
    });
    instance.restart();
    wait_until("readiness", async || {
        instance.readiness_status().await == Some(200)
    })
    .await;
    deployment
}
