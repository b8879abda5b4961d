//! Implementations of the commands.

mod command_error;
mod configuration;
mod explain;
mod fetch;
mod note;
mod output;
mod run;
mod settings;
mod stand_in;
mod status;

pub use command_error::CommandError;
pub use command_error::Result;
pub use output::Output;
pub use run::run;
