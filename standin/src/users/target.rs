//! A fake of a users' target.
//!
//! Writes its responses as raw bytes, so that it can send malformed ones.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use parking_lot::Mutex;
use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::JoinHandle;

use super::wire::RawMessage;
use super::wire::header;
use super::wire::read_message;

/// Delay before the next attempt after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time that the end of a crashing target's process takes.
const CRASH_DURATION: Duration = Duration::from_millis(20);

/// Behaviour of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TargetScript {
    /// Works normally.
    #[default]
    Good,
    /// Reads each request and resets the connection without running it.
    Resets,
    /// Ends at the first request: resets its connection and accepts no others.
    Crashes,
    /// Runs each request and resets the connection instead of responding.
    LosesAnswers,
    /// Rejects each request with status 503 and `x-not-executed`.
    Sheds,
    /// Rejects each request like [`TargetScript::Sheds`], and writes the rejection once more.
    ShedsTwice,
    /// Stops in the middle of the response head and closes the connection.
    CutsHead,
    /// Responds 421, as if the request was meant for another target at its address.
    Misdirects,
    /// Runs each request and responds 500.
    Errors,
    /// Never responds and does not run the request.
    Hangs,
    /// Echoes the attempt id of another request.
    ForeignId,
    /// Responds with this status, also if it is none of HTTP.
    Status(u16),
    /// Omits the response signature.
    Unsigned,
    /// Adds a `content-encoding` to its responses.
    Encodes,
    /// Sends half of the response body and closes the connection.
    Cuts,
    /// Sends each response twice.
    AnswersTwice,
    /// Sends endless bytes that are not an HTTP response.
    EndlessBytes,
    /// Sends a response head that never ends.
    EndlessHead,
    /// Sends a response body that never ends.
    EndlessBody,
    /// Sends interim responses without end.
    EndlessInterim,
    /// Sends header lines without end.
    EndlessHeaderLines,
    /// Sends a chunk size whose zeros never end.
    EndlessChunkSize,
    /// Sends an extension of a chunk that never ends.
    EndlessChunkExtension,
    /// Sends the data of a chunk of 2^60 bytes.
    HugeChunk,
    /// Sends trailers without end.
    EndlessTrailers,
    /// Sends bytes without end after a response with an empty body.
    EndlessAfterEmpty,
    /// Sends bytes without end after a response without a body.
    EndlessAfterNoContent,
}

/// A request that a target received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Time at which the request was complete.
    pub at: Instant,
    /// Attempt id, from `x-attempt-id`.
    pub id: String,
}

/// Record of the requests that a target handled.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetActivity {
    /// Heads of the received requests, in order.
    pub heads: Vec<String>,
    /// Times and ids of the received requests, in order.
    pub arrivals: Vec<Arrival>,
    /// Ids of the requests that were run, in order.
    pub ran: Vec<String>,
    /// Bytes sent of each endless response, recorded when the caller closes the connection.
    pub endless_bytes: Vec<u64>,
}

#[derive(Default)]
struct State {
    id: String,
    script: Mutex<TargetScript>,
    work_time: Mutex<Duration>,
    extra_headers: Mutex<String>,
    activity: Mutex<TargetActivity>,
    crashed: Notify,
}

/// A fake of a users' target that stops accepting connections when dropped.
pub struct UsersTarget {
    state: Arc<State>,
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl UsersTarget {
    /// Starts a target at `address` with the instance id `id`.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub async fn bind(address: SocketAddr, id: &str) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(State {
            id: id.to_owned(),
            ..State::default()
        });
        let shared = state.clone();
        let task = tokio::spawn(async move {
            loop {
                let accepted = tokio::select! {
                    accepted = listener.accept() => accepted,
                    () = shared.crashed.notified() => return,
                };
                let Ok((stream, _)) = accepted else {
                    // Out of file descriptors; some may be closed in the meantime.
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                };
                let state = shared.clone();
                tokio::spawn(async move {
                    // An I/O error means that the caller has closed the connection.
                    let _ = serve(stream, &state).await;
                });
            }
        });
        Ok(Self {
            state,
            address,
            task,
        })
    }

    /// Id under which the target registers.
    pub fn id(&self) -> &str {
        &self.state.id
    }

    /// Address that the target is bound to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Registration entry of the target in the store.
    pub fn entry(&self, service: &str, state: &str) -> Value {
        self.entry_at(self.address, service, state)
    }

    /// Registration entry with another address, such as that of a proxy in front.
    pub fn entry_at(&self, address: SocketAddr, service: &str, state: &str) -> Value {
        json!({
            "service": service,
            "address": address.to_string(),
            "zone": "north",
            "version": "v1",
            "slots": 6,
            "state": state,
            "warmupLeft": "0ms",
            "seq": 1,
            "born": 1_700_000_000_000_u64,
        })
    }

    /// Sets the behaviour for requests received from now on.
    pub fn set_script(&self, script: TargetScript) {
        *self.state.script.lock() = script;
    }

    /// Sets the processing time of a request.
    pub fn set_work_time(&self, work_time: Duration) {
        *self.state.work_time.lock() = work_time;
    }

    /// Sets header lines that are added to each response, whatever the script.
    pub fn set_extra_headers(&self, lines: &[(&str, &str)]) {
        let lines = lines
            .iter()
            .map(|(name, value)| format!("{name}: {value}\r\n"));
        *self.state.extra_headers.lock() = lines.collect();
    }

    /// Returns a copy of the record so far.
    pub fn observed(&self) -> TargetActivity {
        self.state.activity.lock().clone()
    }
}

impl Drop for UsersTarget {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn serve(mut stream: TcpStream, state: &State) -> io::Result<()> {
    let mut bytes = Vec::new();
    loop {
        let Some(RawMessage { head, .. }) = read_message(&mut stream, &mut bytes).await? else {
            return Ok(());
        };
        let id = header(&head, "x-attempt-id").unwrap_or_default();
        let expected = header(&head, "x-expect-instance");
        let arrival = Arrival {
            at: Instant::now(),
            id: id.clone(),
        };
        {
            let mut activity = state.activity.lock();
            activity.heads.push(head);
            activity.arrivals.push(arrival);
        }
        let script = *state.script.lock();
        let extra = state.extra_headers.lock().clone();
        if expected.is_some_and(|expected| expected != state.id)
            || script == TargetScript::Misdirects
        {
            let response = format!(
                "HTTP/1.1 421 Misdirected Request\r\nx-instance-id: {}\r\ncontent-length: 0\r\n\r\n",
                state.id
            );
            stream.write_all(response.as_bytes()).await?;
            continue;
        }
        match script {
            TargetScript::Resets => {
                stream.set_zero_linger()?;
                return Ok(());
            }
            TargetScript::Crashes => {
                state.crashed.notify_one();
                // The listener is closed before the caller sees the reset.
                tokio::time::sleep(CRASH_DURATION).await;
                stream.set_zero_linger()?;
                return Ok(());
            }
            TargetScript::Sheds => {
                let response = format!(
                    "HTTP/1.1 503 Service Unavailable\r\nx-attempt-id: {id}\r\nx-not-executed: 1\r\n{extra}content-length: 0\r\n\r\n"
                );
                stream.write_all(response.as_bytes()).await?;
                continue;
            }
            TargetScript::ShedsTwice => {
                let response = "HTTP/1.1 503 Service Unavailable\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n";
                stream.write_all(response.repeat(2).as_bytes()).await?;
                continue;
            }
            TargetScript::CutsHead => {
                let head = format!("HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-response-sig");
                stream.write_all(head.as_bytes()).await?;
                return Ok(());
            }
            TargetScript::Hangs => std::future::pending().await,
            _ => {}
        }
        state.activity.lock().ran.push(id.clone());
        let work_time = *state.work_time.lock();
        tokio::time::sleep(work_time).await;
        if script == TargetScript::LosesAnswers {
            stream.set_zero_linger()?;
            return Ok(());
        }
        if let Some((first, rest)) = endless_response(script, &id) {
            let sent = write_until_closed(&mut stream, first.as_bytes(), &rest).await;
            state.activity.lock().endless_bytes.push(sent);
            return Ok(());
        }
        stream
            .write_all(&build_response(script, &id, &state.id, &extra))
            .await?;
        if script == TargetScript::Cuts {
            return Ok(());
        }
    }
}

/// First bytes of an endless response, and the bytes to repeat after them.
fn endless_response(script: TargetScript, id: &str) -> Option<(String, Vec<u8>)> {
    let fields = format!("x-attempt-id: {id}\r\nx-response-signature: 3e1b.07\r\n");
    let head = format!("HTTP/1.1 200 OK\r\n{fields}");
    let chunked = format!("{head}transfer-encoding: chunked\r\n\r\n");
    let repeated = |text: &str| text.repeat(256).into_bytes();
    let letters = || repeated("aaaaaaaaaaaaaaaa");
    Some(match script {
        TargetScript::EndlessBytes => (String::new(), vec![0x5a; 4096]),
        TargetScript::EndlessHead => (head + "x-more: ", letters()),
        TargetScript::EndlessBody => (head + "\r\n", letters()),
        TargetScript::EndlessInterim => (String::new(), repeated("HTTP/1.1 100 Continue\r\n\r\n")),
        TargetScript::EndlessHeaderLines => (head, repeated("x-more: a\r\n")),
        TargetScript::EndlessChunkSize => (chunked, repeated("0000000000000000")),
        TargetScript::EndlessChunkExtension => (chunked + "1;", letters()),
        TargetScript::HugeChunk => (chunked + "1000000000000000\r\n", letters()),
        TargetScript::EndlessTrailers => (chunked + "0\r\n", repeated("x-more: a\r\n")),
        TargetScript::EndlessAfterEmpty => (head + "content-length: 0\r\n\r\n", letters()),
        TargetScript::EndlessAfterNoContent => {
            let head = format!("HTTP/1.1 204 No Content\r\n{fields}\r\n");
            (head, letters())
        }
        _ => return None,
    })
}

/// Writes until the caller closes the connection; returns the bytes written.
async fn write_until_closed(stream: &mut TcpStream, first: &[u8], rest: &[u8]) -> u64 {
    let mut sent = 0;
    let mut next = first;
    while stream.write_all(next).await.is_ok() {
        sent += next.len() as u64;
        next = rest;
    }
    sent
}

/// Formats the response to a request that was run.
fn build_response(script: TargetScript, id: &str, target: &str, extra: &str) -> Vec<u8> {
    let body = format!("ran {id} at {target}");
    let status = match script {
        TargetScript::Errors => "500 Internal Server Error".to_owned(),
        TargetScript::Status(status) => format!("{status:03} Odd"),
        _ => "200 OK".to_owned(),
    };
    let echoed = match script {
        TargetScript::ForeignId => "0000000000000000",
        _ => id,
    };
    let signature = match script {
        TargetScript::Unsigned => String::new(),
        _ => "x-response-signature: 3e1b.07\r\n".to_owned(),
    };
    let encoding = match script {
        TargetScript::Encodes => "content-encoding: gzip\r\n",
        _ => "",
    };
    let length = body.len();
    let sent = match script {
        TargetScript::Cuts => &body[..length / 2],
        _ => &body,
    };
    let text = format!(
        "HTTP/1.1 {status}\r\nx-attempt-id: {echoed}\r\n{signature}{encoding}{extra}content-length: {length}\r\n\r\n{sent}"
    );
    match script {
        TargetScript::AnswersTwice => text.repeat(2).into_bytes(),
        _ => text.into_bytes(),
    }
}
