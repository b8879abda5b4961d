//! An entry instance of the proxy fleet.
//!
//! [`App`] wires the components together: [`callers`] accepts requests, [`control`] runs the
//! decisions of the `policy` package, and [`targets`] sends requests to backend servers.

pub mod admin;
pub mod app;
pub mod callers;
pub mod clock;
pub mod control;
pub mod logs;
pub mod metrics;
pub mod settings;
pub mod targets;

pub use app::App;
pub use clock::Clock;
pub use settings::Settings;
