//! Sending messages.
//!
//! Each peer has a short queue and a task that holds one connection. The task
//! ends after a while without messages, so an instance keeps connections only
//! to those it talks to.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use parking_lot::Mutex;
use policy::instance::Envelope;
use tarpc::client;
use tarpc::client::RpcError;
use tarpc::context;
use tarpc::serde_transport::tcp;
use tarpc::tokio_serde::formats::Bincode;
use tokio::sync::mpsc;

use super::Counters;
use super::MAX_MESSAGE_BYTES;
use super::VERSION;
use super::codec;
use super::service::DeliveryClient;

const QUEUE: usize = 256;
/// Time after which an unused connection is closed. Heartbeats go to a random peer a
/// second: held for long, they would add up to a connection to each peer.
const IDLE: Duration = Duration::from_secs(6);
/// Calls that a connection holds at once; messages to a peer go one after the other.
const CALLS: usize = 4;
const CONNECT_LIMIT: Duration = Duration::from_secs(1);
/// Time after which a message is out of date, and its connection silent.
const DELIVERY_LIMIT: Duration = Duration::from_secs(1);

/// Sends messages to other instances.
#[derive(Debug)]
pub struct Sender {
    queues: Mutex<HashMap<SocketAddr, mpsc::Sender<Vec<u8>>>>,
    counters: Arc<Counters>,
}

impl Sender {
    /// A sender without connections.
    pub fn new(counters: Arc<Counters>) -> Self {
        Self {
            queues: Mutex::new(HashMap::new()),
            counters,
        }
    }

    /// Sends a message, or drops it if the peer does not keep up.
    pub fn send(&self, to: SocketAddr, envelope: &Envelope) {
        let Ok(payload) = codec::encode(envelope) else {
            Counters::add(&self.counters.dropped, 1);
            return;
        };
        if self.queue_of(to).try_send(payload).is_err() {
            Counters::add(&self.counters.dropped, 1);
        }
    }

    fn queue_of(&self, to: SocketAddr) -> mpsc::Sender<Vec<u8>> {
        let mut queues = self.queues.lock();
        queues.retain(|_, queue| !queue.is_closed());
        let start = || {
            let (queue, waiting) = mpsc::channel(QUEUE);
            tokio::spawn(drain(to, waiting, self.counters.clone()));
            queue
        };
        queues.entry(to).or_insert_with(start).clone()
    }
}

async fn drain(to: SocketAddr, mut waiting: mpsc::Receiver<Vec<u8>>, counters: Arc<Counters>) {
    let mut connection = None;
    while let Ok(Some(payload)) = tokio::time::timeout(IDLE, waiting.recv()).await {
        let bytes = payload.len();
        let was_open = connection.is_some();
        let mut delivered = deliver(to, &mut connection, payload.clone()).await;
        if delivered == Err(Lost::Broken) && was_open {
            // The peer has started again since the last message.
            delivered = deliver(to, &mut connection, payload).await;
        }
        match delivered {
            Ok(()) => {
                Counters::add(&counters.sent, 1);
                Counters::add(&counters.sent_bytes, bytes);
            }
            Err(_) => Counters::add(&counters.dropped, 1),
        }
    }
}

/// Why a message was not delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Lost {
    /// The peer cannot be reached or has ended the connection.
    Broken,
    /// The peer does not answer.
    Silent,
}

async fn deliver(
    to: SocketAddr,
    connection: &mut Option<DeliveryClient>,
    payload: Vec<u8>,
) -> Result<(), Lost> {
    if connection.is_none() {
        *connection = connect(to).await;
    }
    let client = connection.as_ref().ok_or(Lost::Broken)?;
    let mut context = context::current();
    context.deadline = Instant::now() + DELIVERY_LIMIT;
    match client.deliver(context, VERSION, payload).await {
        Ok(_) => Ok(()),
        Err(error) => {
            *connection = None;
            Err(match error {
                RpcError::DeadlineExceeded => Lost::Silent,
                _ => Lost::Broken,
            })
        }
    }
}

async fn connect(to: SocketAddr) -> Option<DeliveryClient> {
    let mut connecting = tcp::connect(to, Bincode::default);
    connecting
        .config_mut()
        .max_frame_length(MAX_MESSAGE_BYTES * 2);
    let transport = tokio::time::timeout(CONNECT_LIMIT, connecting)
        .await
        .ok()?
        .ok()?;
    let mut config = client::Config::default();
    config.max_in_flight_requests = CALLS;
    config.pending_request_buffer = CALLS;
    Some(DeliveryClient::new(config, transport).spawn())
}
