//! A running instance.

mod app;
mod app_error;

pub use app::App;
pub use app_error::AppError;
pub use app_error::Result;
