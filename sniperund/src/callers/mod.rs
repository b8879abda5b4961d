//! Callers' requests, from the connection to the answer.

mod background;
mod body;
mod call;
mod check;
mod command;
mod entry;
mod headers;
mod listener;
mod native_header_protocol;
mod owner;
mod pass_body;
mod reply;
mod request_log;
mod runner;
mod sending;
mod service;
mod waiting_room;

pub use background::Background;
pub use body::AnswerBody;
pub use body::BoxError;
pub use entry::Entry;
pub use headers::names;
pub use listener::CallerListener;
pub use native_header_protocol::NativeHeaderProtocol;
pub use waiting_room::WaitingRoom;
