//! A fake of a users' target, byte by byte, so that it can answer wrongly.

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
use tokio::task::JoinHandle;

use super::wire::Frame;
use super::wire::header;
use super::wire::read_frame;

/// Pause after a connection that could not be taken.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// How a target behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TargetScript {
    /// As it should.
    #[default]
    Good,
    /// It reads each request and resets the connection.
    Resets,
    /// It runs each request and resets the connection instead of answering.
    LosesAnswers,
    /// It refuses each request without running it.
    Sheds,
    /// It says that another target has its address.
    Misdirects,
    /// It answers 500.
    Errors,
    /// It never answers.
    Hangs,
    /// It answers with the id of another request.
    ForeignId,
    /// It answers without its signature.
    Unsigned,
    /// It encodes its answer.
    Encodes,
    /// It sends half of its answer.
    Cuts,
    /// It sends a second answer after the first.
    AnswersTwice,
    /// It sends bytes without end that are no answer.
    EndlessBytes,
    /// It sends the head of an answer without end.
    EndlessHead,
    /// It sends the body of an answer without end.
    EndlessBody,
}

/// A request that reached a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// When its last byte came.
    pub at: Instant,
    /// Its id.
    pub id: String,
}

/// What a target got.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Got {
    /// The heads of the requests that it got.
    pub heads: Vec<String>,
    /// The requests that it got, in order.
    pub arrivals: Vec<Arrival>,
    /// The ids of the requests that it ran.
    pub ran: Vec<String>,
    /// Bytes of each answer without end that its caller has closed.
    pub endless_bytes: Vec<u64>,
}

#[derive(Default)]
struct State {
    id: String,
    script: Mutex<TargetScript>,
    work: Mutex<Duration>,
    got: Mutex<Got>,
}

/// A fake of a users' target; it stops when dropped.
pub struct UsersTarget {
    state: Arc<State>,
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl UsersTarget {
    /// Serves at a free port of `address` under an id.
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
                let Ok((stream, _)) = listener.accept().await else {
                    // For want of files; others may be closed meanwhile.
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                    continue;
                };
                let state = shared.clone();
                tokio::spawn(async move {
                    // A caller that goes away ends the connection.
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

    /// The id that it registers under.
    pub fn id(&self) -> &str {
        &self.state.id
    }

    /// The address that it serves at.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The entry that it keeps in the store.
    pub fn entry(&self, service: &str, state: &str) -> Value {
        self.entry_at(self.address, service, state)
    }

    /// Its entry if it is reached by another address.
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

    /// Changes the behaviour from now on.
    pub fn set_script(&self, script: TargetScript) {
        *self.state.script.lock() = script;
    }

    /// Sets the time that a request takes.
    pub fn set_work(&self, work: Duration) {
        *self.state.work.lock() = work;
    }

    /// What it got so far.
    pub fn got(&self) -> Got {
        self.state.got.lock().clone()
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
        let Some(Frame { head, .. }) = read_frame(&mut stream, &mut bytes).await? else {
            return Ok(());
        };
        let id = header(&head, "x-attempt-id").unwrap_or_default();
        let expected = header(&head, "x-expect-instance");
        let arrival = Arrival {
            at: Instant::now(),
            id: id.clone(),
        };
        {
            let mut got = state.got.lock();
            got.heads.push(head);
            got.arrivals.push(arrival);
        }
        let script = *state.script.lock();
        if expected.is_some_and(|expected| expected != state.id)
            || script == TargetScript::Misdirects
        {
            let answer = format!(
                "HTTP/1.1 421 Misdirected Request\r\nx-instance-id: {}\r\ncontent-length: 0\r\n\r\n",
                state.id
            );
            stream.write_all(answer.as_bytes()).await?;
            continue;
        }
        match script {
            TargetScript::Resets => {
                stream.set_zero_linger()?;
                return Ok(());
            }
            TargetScript::Sheds => {
                let answer = format!(
                    "HTTP/1.1 503 Service Unavailable\r\nx-attempt-id: {id}\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n"
                );
                stream.write_all(answer.as_bytes()).await?;
                continue;
            }
            TargetScript::Hangs => std::future::pending().await,
            _ => {}
        }
        state.got.lock().ran.push(id.clone());
        let work = *state.work.lock();
        tokio::time::sleep(work).await;
        if script == TargetScript::LosesAnswers {
            stream.set_zero_linger()?;
            return Ok(());
        }
        if let Some((first, rest)) = endless_answer(script, &id) {
            let sent = write_until_closed(&mut stream, first.as_bytes(), rest).await;
            state.got.lock().endless_bytes.push(sent);
            return Ok(());
        }
        stream.write_all(&answer(script, &id, &state.id)).await?;
        if script == TargetScript::Cuts {
            return Ok(());
        }
    }
}

/// How an answer without end begins, and what it goes on with.
fn endless_answer(script: TargetScript, id: &str) -> Option<(String, &'static [u8])> {
    let head =
        format!("HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-response-signature: 3e1b.07\r\n");
    match script {
        TargetScript::EndlessBytes => Some((String::new(), &[0x5a; 4096])),
        TargetScript::EndlessHead => Some((head + "x-more: ", &[b'a'; 4096])),
        TargetScript::EndlessBody => Some((head + "\r\n", &[b'b'; 4096])),
        _ => None,
    }
}

/// Writes until the other side closes; gives the bytes that were taken.
async fn write_until_closed(stream: &mut TcpStream, first: &[u8], rest: &[u8]) -> u64 {
    let mut sent = 0;
    let mut next = first;
    while stream.write_all(next).await.is_ok() {
        sent += next.len() as u64;
        next = rest;
    }
    sent
}

/// The bytes of an answer of a request that ran.
fn answer(script: TargetScript, id: &str, target: &str) -> Vec<u8> {
    let body = format!("ran {id} at {target}");
    let status = match script {
        TargetScript::Errors => "500 Internal Server Error",
        _ => "200 OK",
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
        "HTTP/1.1 {status}\r\nx-attempt-id: {echoed}\r\n{signature}{encoding}content-length: {length}\r\n\r\n{sent}"
    );
    match script {
        TargetScript::AnswersTwice => text.repeat(2).into_bytes(),
        _ => text.into_bytes(),
    }
}
