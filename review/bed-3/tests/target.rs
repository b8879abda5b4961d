//! A target that can lose a part of its answers after it has run the requests, start again under its
//! id, and say that it leaves.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use standin::users::wire::RawMessage;
use standin::users::wire::header;
use standin::users::wire::read_message;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;

const WORK_TIME: Duration = Duration::from_millis(15);

/// A request that a target has run.
#[derive(Clone)]
pub struct Run {
    pub at: Instant,
    pub id: String,
    pub target: String,
}

/// A target. While it loses answers, it loses the answers of two requests in five.
pub struct Target {
    pub address: SocketAddr,
    state: Arc<State>,
}

struct State {
    id: String,
    loses_answers: AtomicBool,
    leaves: AtomicBool,
    restarted: Notify,
    served: AtomicUsize,
    runs: Mutex<Vec<Run>>,
}

impl Target {
    pub async fn start(id: &str) -> io::Result<Target> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let state = Arc::new(State {
            id: id.to_owned(),
            loses_answers: AtomicBool::new(false),
            leaves: AtomicBool::new(false),
            restarted: Notify::new(),
            served: AtomicUsize::new(0),
            runs: Mutex::new(Vec::new()),
        });
        let shared = state.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let state = shared.clone();
                tokio::spawn(async move {
                    tokio::select! {
                        _ = state.serve(stream) => {}
                        () = state.restarted.notified() => {}
                    }
                });
            }
        });
        Ok(Target { address, state })
    }

    /// Ends all channels; the next lifetime has the same id and address.
    pub fn restart(&self) {
        self.state.restarted.notify_waiters();
    }

    /// Says in all answers from now on that it leaves.
    pub fn leave(&self) {
        self.state.leaves.store(true, Ordering::SeqCst);
    }

    /// Entry in the store.
    pub fn entry(&self, service: &str) -> Value {
        self.entry_of_lifetime(service, 1_700_000_000_000)
    }

    /// Entry in the store of the lifetime that began at `born`.
    pub fn entry_of_lifetime(&self, service: &str, born: u64) -> Value {
        json!({
            "service": service,
            "address": self.address.to_string(),
            "zone": "north",
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "warmupLeft": "0ms",
            "seq": 1,
            "born": born,
        })
    }

    pub fn set_loses_answers(&self, loses_answers: bool) {
        self.state
            .loses_answers
            .store(loses_answers, Ordering::SeqCst);
    }

    pub fn runs(&self) -> Vec<Run> {
        self.state.runs.lock().unwrap().clone()
    }
}

impl State {
    async fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut bytes = Vec::new();
        while let Some(RawMessage { head, .. }) = read_message(&mut stream, &mut bytes).await? {
            let own = &self.id;
            let leaves = self.leaves.load(Ordering::SeqCst);
            // A target that leaves says so in all its answers.
            let sign = if leaves { "server-leaving: 1\r\n" } else { "" };
            if head.starts_with("GET /health ") {
                let status = match leaves {
                    true => "503 Service Unavailable",
                    false => "200 OK",
                };
                let text = format!(
                    "HTTP/1.1 {status}\r\nx-instance-id: {own}\r\n{sign}content-length: 0\r\n\r\n"
                );
                stream.write_all(text.as_bytes()).await?;
                continue;
            }
            let id = header(&head, "x-attempt-id").unwrap_or_default();
            let expected = header(&head, "x-expect-instance");
            if expected.is_some_and(|expected| expected != *own) {
                let text = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nx-attempt-id: {id}\r\nx-not-executed: 1\r\n{sign}content-length: 0\r\n\r\n"
                );
                stream.write_all(text.as_bytes()).await?;
                continue;
            }
            self.runs.lock().unwrap().push(Run {
                at: Instant::now(),
                id: id.clone(),
                target: own.clone(),
            });
            tokio::time::sleep(WORK_TIME).await;
            let number = self.served.fetch_add(1, Ordering::SeqCst);
            if self.loses_answers.load(Ordering::SeqCst) && number % 5 < 2 {
                return stream.set_zero_linger();
            }
            let body = format!("ran {id} at {own}");
            let leaves = self.leaves.load(Ordering::SeqCst);
            let sign = if leaves { "server-leaving: 1\r\n" } else { "" };
            let text = format!(
                "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-response-signature: 3e1b.07\r\n{sign}content-length: {}\r\n\r\n{body}",
                body.len()
            );
            stream.write_all(text.as_bytes()).await?;
        }
        Ok(())
    }
}
