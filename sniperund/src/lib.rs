//! An entry instance of the proxy fleet: forwards callers' requests to backend servers.
//!
//! [`App`] wires the components together: [`callers`] accepts requests, [`control`] runs the
//! decision logic of the `policy` package, and [`targets`] connects to the backend servers.

pub mod admin;
pub mod app;
pub mod bodies;
pub mod callers;
pub mod clock;
pub mod control;
pub mod logs;
pub mod metrics;
pub mod settings;
mod single_line;
pub mod targets;

pub use app::App;
pub use clock::Clock;
pub use settings::Settings;
