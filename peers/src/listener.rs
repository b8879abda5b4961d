//! Receives messages of other instances over TCP.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use futures::StreamExt;
use model::ResultCode;
use policy::instance::Envelope;
use tarpc::ClientMessage;
use tarpc::Response;
use tarpc::context;
use tarpc::serde_transport::tcp;
use tarpc::server;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use tarpc::tokio_serde::formats::Bincode;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;

use super::CodecError;
use super::Counters;
use super::Delivery;
use super::MAX_MESSAGE_BYTES;
use super::Receipt;
use super::codec;
use super::service::DeliveryRequest;
use super::service::DeliveryResponse;

/// Upper bound on the bytes of a call in addition to its payload.
const MAX_CALL_OVERHEAD_BYTES: usize = 1_024;

/// Maximum number of responses per connection that wait to be written.
const MAX_PENDING_RESPONSES: usize = 4;

/// Callback that processes a received message.
pub type Handler = Arc<dyn Fn(Envelope) + Send + Sync>;

/// Receives the messages of other instances until it is dropped.
#[derive(Debug)]
pub struct Listener {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Listener {
    /// Listens on `address` and serves up to `connections` connections concurrently. Further
    /// connections are closed and counted as refused.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub async fn bind(
        address: SocketAddr,
        connections: usize,
        counters: Arc<Counters>,
        handler: Handler,
    ) -> io::Result<Self> {
        let mut incoming = tcp::listen(address, Bincode::default).await?;
        incoming
            .config_mut()
            .max_frame_length(MAX_MESSAGE_BYTES + MAX_CALL_OVERHEAD_BYTES);
        let address = incoming.local_addr();
        let receiver = Receiver { handler, counters };
        let connection_permits = Arc::new(Semaphore::new(connections));
        let task = tokio::spawn(async move {
            while let Some(accepted) = incoming.next().await {
                let (Ok(transport), Ok(connection_permit)) =
                    (accepted, connection_permits.clone().try_acquire_owned())
                else {
                    Counters::add(&receiver.counters.refused, 1);
                    continue;
                };
                let receiver = receiver.clone();
                tokio::spawn(async move {
                    serve(transport, receiver).await;
                    drop(connection_permit);
                });
            }
        });
        Ok(Self { address, task })
    }

    /// Address that the listener is bound to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.task.abort();
    }
}

type Transport = tarpc::serde_transport::Transport<
    TcpStream,
    ClientMessage<DeliveryRequest>,
    Response<DeliveryResponse>,
    Bincode<ClientMessage<DeliveryRequest>, Response<DeliveryResponse>>,
>;

/// Serves one connection until the peer closes it or sends a malformed frame.
async fn serve(transport: Transport, receiver: Receiver) {
    let config = server::Config {
        pending_response_buffer: MAX_PENDING_RESPONSES,
    };
    let channel = BaseChannel::new(config, transport);
    let mut requests = std::pin::pin!(channel.requests());
    while let Some(request) = requests.next().await {
        match request {
            Ok(request) => request.execute(receiver.clone().serve()).await,
            Err(error) => {
                Counters::add(&receiver.counters.refused, 1);
                let code = ResultCode::PeerMessageUndecodable.number();
                log::warn!("event=peer-connection-refused code={code} reason=\"{error}\"");
                return;
            }
        }
    }
}

#[derive(Clone)]
struct Receiver {
    handler: Handler,
    counters: Arc<Counters>,
}

impl Delivery for Receiver {
    async fn deliver(self, _context: context::Context, version: u16, payload: Vec<u8>) -> Receipt {
        match codec::decode(version, &payload) {
            Ok(envelope) => {
                Counters::add(&self.counters.received, 1);
                Counters::add(&self.counters.received_bytes, payload.len());
                (self.handler)(envelope);
                Receipt::Accepted
            }
            Err(error) => {
                Counters::add(&self.counters.refused, 1);
                let code = result_code(error);
                log::warn!(
                    "event=peer-message-refused code={} reason=\"{}\"",
                    code.number(),
                    code.phrase()
                );
                Receipt::Refused {
                    code: code.number(),
                }
            }
        }
    }
}

fn result_code(error: CodecError) -> ResultCode {
    match error {
        CodecError::Oversized => ResultCode::PeerMessageTooLarge,
        CodecError::Version => ResultCode::PeerVersionMismatch,
        CodecError::Malformed => ResultCode::PeerMessageUndecodable,
    }
}
