//! Dispatch of parsed arguments to the commands.

use super::Output;
use super::Result;
use super::configuration;
use super::explain;
use super::note;
use super::settings;
use super::stand_in;
use super::status;
use crate::cli::Args;
use crate::cli::Command;
use crate::cli::ConfigurationCommand;
use crate::cli::NoteCommand;
use crate::cli::SettingsCommand;
use crate::cli::StandInCommand;
use crate::trial;

/// Runs a command and returns its output.
///
/// # Errors
///
/// Returns [`super::CommandError`] if the command fails.
pub async fn run(args: Args) -> Result<Output> {
    let text = match args.command {
        Command::Configuration(args) => match args.command {
            ConfigurationCommand::Check(args) => return configuration::check(&args),
        },
        Command::Note(args) => match args.command {
            NoteCommand::Check(args) => note::check(&args.file, args.platform.as_deref()).await,
            NoteCommand::Submit(args) => {
                note::submit(&args.file, &args.platform, args.submission).await
            }
            NoteCommand::InForce(args) => note::show_in_force(&args.platform, &args.instance).await,
            NoteCommand::Show(args) => note::show(&args.platform, args.number).await,
            NoteCommand::List(args) => note::list(&args.platform, args.last).await,
            NoteCommand::Diff(args) => note::diff(&args.file, &args.platform).await,
        },
        Command::Settings(args) => match args.command {
            SettingsCommand::Check(args) => settings::check(&args.file),
        },
        Command::Status(args) => status::show(&args.instance, args.json).await,
        Command::Explain(args) => explain::explain(&args.id, &args.logs),
        Command::Try(args) => trial::run(&args).await,
        Command::StandIn(args) => match args.command {
            StandInCommand::Platform(args) => stand_in::run_platform(args.address).await,
            StandInCommand::Backends(args) => stand_in::run_backends(&args.note).await,
        },
    };
    text.map(Output::from)
}
