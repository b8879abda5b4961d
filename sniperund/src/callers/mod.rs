//! Handles callers' requests from the connection to the answer.
//!
//! The listener accepts connections, the check layer rejects malformed requests, the
//! service routes and admits a request, and the runner carries out its exchange.

mod background;
mod body;
mod call;
mod check;
mod command;
mod entry;
mod forwarded_body;
mod headers;
mod listener;
mod native_header_protocol;
mod reply;
mod request_log;
mod runner;
mod sending;
mod service;
mod ticket_relay;
mod waiting_room;

pub use background::Background;
pub use body::AnswerBody;
pub use body::BoxError;
pub use entry::Entry;
pub use headers::names;
pub use listener::CallerListener;
pub use native_header_protocol::NativeHeaderProtocol;
pub use waiting_room::WaitingRoom;
