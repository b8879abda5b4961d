//! Handles callers' requests from the connection to the response.
//!
//! The listener accepts connections, the check layer rejects malformed requests, the service
//! routes and admits a request, and the runner executes its exchange, that is all attempts at
//! targets up to the end of the response.

mod admitted_request;
mod background_tasks;
mod body;
mod caller_connection;
mod check;
mod command;
mod crash_check;
mod early_response;
mod forwarded_body;
mod hand_over;
mod headers;
mod listener;
mod native_header_protocol;
mod proxy_state;
mod quota;
mod reachability_log;
mod relayed_body;
mod reply;
mod request_log;
mod request_queues;
mod runner;
mod sending;
mod service;
mod ticket_relay;
mod wait_limits;

pub use background_tasks::BackgroundTasks;
pub use body::BoxError;
pub use body::ResponseBody;
pub use headers::names;
pub use listener::CallerListener;
pub use native_header_protocol::NativeHeaderProtocol;
pub use proxy_state::ProxyState;
pub use request_queues::RequestQueues;
