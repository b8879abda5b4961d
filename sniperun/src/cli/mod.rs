//! Arguments of the command line.

mod args;

pub use args::Args;
pub use args::Command;
pub use args::ConfigurationArgs;
pub use args::ConfigurationCheckArgs;
pub use args::ConfigurationCommand;
pub use args::Deployment;
pub use args::ExplainArgs;
pub use args::NoteArgs;
pub use args::NoteCommand;
pub use args::SettingsArgs;
pub use args::SettingsCommand;
pub use args::StandInArgs;
pub use args::StandInCommand;
pub use args::StatusArgs;
pub use args::TryArgs;
