//! Settings of an instance.

mod limits;
mod settings;
mod settings_error;

pub use limits::Limits;
pub use settings::Settings;
pub use settings_error::Result;
pub use settings_error::SettingsError;
