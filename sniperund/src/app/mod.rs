//! Instance life cycle: startup, settings reload and graceful shutdown.

mod app;
mod app_error;
mod environment;
mod reloader;

pub use app::App;
pub use app_error::AppError;
pub use app_error::Result;
pub use environment::Environment;
pub use environment::ReadyAddress;
pub use environment::users_settings;
pub use reloader::Reloader;
