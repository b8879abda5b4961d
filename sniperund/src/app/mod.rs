//! A running instance.

mod app;
mod app_error;
mod reload;
mod surroundings;

pub use app::App;
pub use app_error::AppError;
pub use app_error::Result;
pub use reload::Reload;
pub use surroundings::ReadyAddress;
pub use surroundings::Surroundings;
pub use surroundings::users_settings;
