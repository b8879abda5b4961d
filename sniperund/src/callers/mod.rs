//! Handles callers' requests from the connection to the answer.
//!
//! The listener accepts connections, the check layer rejects malformed requests, the
//! service routes and admits a request, and the runner carries out its exchange.

mod background_tasks;
mod body;
mod call;
mod check;
mod command;
mod forwarded_body;
mod headers;
mod listener;
mod native_header_protocol;
mod proxy_state;
mod reply;
mod request_log;
mod request_queues;
mod runner;
mod sending;
mod service;
mod ticket_relay;

pub use background_tasks::BackgroundTasks;
pub use body::AnswerBody;
pub use body::BoxError;
pub use headers::names;
pub use listener::CallerListener;
pub use native_header_protocol::NativeHeaderProtocol;
pub use proxy_state::ProxyState;
pub use request_queues::RequestQueues;
