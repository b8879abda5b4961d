//! An entry instance.
//!
//! [`App`] ties the parts together: callers come in through [`callers`], the
//! decisions are made by the `policy` package behind [`control`], requests go
//! out through [`targets`].

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
