//! Sends messages to other instances over TCP.
//!
//! Each peer has a bounded queue and a task that holds one connection. The task ends after
//! an idle time-out, so an instance has open connections only to the peers it currently
//! exchanges messages with.

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

const QUEUE_CAPACITY: usize = 256;
/// Time after which an unused connection is closed. A heartbeat goes to a random peer every
/// second, so with a long time-out an instance would end up with a connection to each peer.
const IDLE_TIMEOUT: Duration = Duration::from_secs(6);
/// Maximum number of concurrent calls per connection. A small number is enough, as the messages
/// to a peer are sent one after the other.
const MAX_IN_FLIGHT_CALLS: usize = 4;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit of a delivery. After it, the message is out of date; the connection is considered
/// unresponsive and is closed.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends messages to other instances.
#[derive(Debug)]
pub struct Sender {
    queues: Mutex<HashMap<SocketAddr, mpsc::Sender<Vec<u8>>>>,
    counters: Arc<Counters>,
}

impl Sender {
    /// Creates a sender without connections.
    pub fn new(counters: Arc<Counters>) -> Self {
        Self {
            queues: Mutex::new(HashMap::new()),
            counters,
        }
    }

    /// Queues a message for a peer; drops it if the queue is full or the message too large.
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
        let start_task = || {
            let (queue, receiver) = mpsc::channel(QUEUE_CAPACITY);
            tokio::spawn(deliver_queue(to, receiver, self.counters.clone()));
            queue
        };
        queues.entry(to).or_insert_with(start_task).clone()
    }
}

async fn deliver_queue(
    to: SocketAddr,
    mut receiver: mpsc::Receiver<Vec<u8>>,
    counters: Arc<Counters>,
) {
    let mut connection = None;
    while let Ok(Some(payload)) = tokio::time::timeout(IDLE_TIMEOUT, receiver.recv()).await {
        let bytes = payload.len();
        let was_open = connection.is_some();
        let mut delivered = deliver(to, &mut connection, payload.clone()).await;
        if delivered == Err(DeliveryError::Disconnected) && was_open {
            // The peer has restarted since the last message and closed the connection.
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

/// Reason why a message was not delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DeliveryError {
    /// The peer cannot be reached or has closed the connection.
    Disconnected,
    /// The peer did not answer within [`DELIVERY_TIMEOUT`].
    TimedOut,
}

async fn deliver(
    to: SocketAddr,
    connection: &mut Option<DeliveryClient>,
    payload: Vec<u8>,
) -> Result<(), DeliveryError> {
    if connection.is_none() {
        *connection = connect(to).await;
    }
    let client = connection.as_ref().ok_or(DeliveryError::Disconnected)?;
    let mut context = context::current();
    context.deadline = Instant::now() + DELIVERY_TIMEOUT;
    match client.deliver(context, VERSION, payload).await {
        Ok(_) => Ok(()),
        Err(error) => {
            *connection = None;
            Err(match error {
                RpcError::DeadlineExceeded => DeliveryError::TimedOut,
                _ => DeliveryError::Disconnected,
            })
        }
    }
}

async fn connect(to: SocketAddr) -> Option<DeliveryClient> {
    let mut connecting = tcp::connect(to, Bincode::default);
    connecting
        .config_mut()
        .max_frame_length(MAX_MESSAGE_BYTES * 2);
    let transport = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
        .await
        .ok()?
        .ok()?;
    let mut config = client::Config::default();
    config.max_in_flight_requests = MAX_IN_FLIGHT_CALLS;
    config.pending_request_buffer = MAX_IN_FLIGHT_CALLS;
    Some(DeliveryClient::new(config, transport).spawn())
}
