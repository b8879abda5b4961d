//! Commands and their options.
//!
//! The doc comments of the argument types are the help texts that `--help` prints.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use argh::FromArgs;

/// Manage a fleet of sniperun instances with release notes.
///
/// Examples:
///   sniperun try
///   sniperun note submit note.jsonc --platform 127.0.0.1:7000
///   sniperun status --instance 127.0.0.1:7202
#[derive(Debug, FromArgs)]
pub struct Args {
    /// command to run
    #[argh(subcommand)]
    pub command: Command,
}

/// A command.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Check, submit and read release notes.
    Note(NoteArgs),
    /// Check configurations of the users' platform.
    Configuration(ConfigurationArgs),
    /// Check settings of instances.
    Settings(SettingsArgs),
    /// Show the state that instances report.
    Status(StatusArgs),
    /// Show what happened to a request.
    Explain(ExplainArgs),
    /// Run a trial with fakes in this process.
    Try(TryArgs),
    /// Run a fake platform or fake backend servers.
    StandIn(StandInArgs),
}

/// Show what happened to a request, from the logs of the instances.
///
/// Example: sniperun explain d8965cd2e24216f5 edge-1.log edge-2.log
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArgs {
    /// the request's id
    #[argh(positional)]
    pub id: String,
    /// log files of the instances
    #[argh(positional)]
    pub logs: Vec<PathBuf>,
}

/// Check, submit and read release notes.
///
/// Example: sniperun note in-force --platform 127.0.0.1:7000
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "note")]
pub struct NoteArgs {
    /// command to run
    #[argh(subcommand)]
    pub command: NoteCommand,
}

/// A command on release notes.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum NoteCommand {
    /// Check a note.
    Check(CheckArgs),
    /// Submit a note.
    Submit(SubmitArgs),
    /// Show which note is in force.
    InForce(InForceArgs),
    /// Show a note.
    Show(ShowArgs),
    /// List notes.
    List(ListArgs),
    /// Show what a note would change.
    Diff(DiffArgs),
}

/// Check a note, against the configuration in force if a platform is given.
///
/// Example: sniperun note check note.jsonc
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckArgs {
    /// file with the note, JSON with comments
    #[argh(positional)]
    pub file: PathBuf,
    /// address of the platform
    #[argh(option)]
    pub platform: Option<String>,
}

/// Submit a note atomically. If the platform's answer is lost, the actual result
/// is read back.
///
/// Example: sniperun note submit note.jsonc --platform 127.0.0.1:7000
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "submit")]
pub struct SubmitArgs {
    /// file with the note, JSON with comments
    #[argh(positional)]
    pub file: PathBuf,
    /// address of the platform
    #[argh(option)]
    pub platform: String,
    /// id of the submission; give the same one to submit again after a failure
    #[argh(option)]
    pub submission: Option<String>,
}

/// Show the number of the note in force.
///
/// Example: sniperun note in-force --platform 127.0.0.1:7000
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "in-force")]
pub struct InForceArgs {
    /// address of the platform
    #[argh(option)]
    pub platform: String,
    /// administrative address of an instance to query as well; can be repeated
    #[argh(option)]
    pub instance: Vec<SocketAddr>,
}

/// Show a note.
///
/// Example: sniperun note show 3 --platform 127.0.0.1:7000
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "show")]
pub struct ShowArgs {
    /// the note's number
    #[argh(positional)]
    pub number: u64,
    /// address of the platform
    #[argh(option)]
    pub platform: String,
}

/// List the latest notes, oldest first.
///
/// Example: sniperun note list --platform 127.0.0.1:7000 --last 10
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
pub struct ListArgs {
    /// address of the platform
    #[argh(option)]
    pub platform: String,
    /// how many notes to list (default 20)
    #[argh(option, default = "20")]
    pub last: u64,
}

/// Show what a note would change.
///
/// Example: sniperun note diff note.jsonc --platform 127.0.0.1:7000
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct DiffArgs {
    /// file with the note, JSON with comments
    #[argh(positional)]
    pub file: PathBuf,
    /// address of the platform
    #[argh(option)]
    pub platform: String,
}

/// Check configurations of the users' platform.
///
/// Example: sniperun configuration check new.json --against old.json
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "configuration")]
pub struct ConfigurationArgs {
    /// command to run
    #[argh(subcommand)]
    pub command: ConfigurationCommand,
}

/// A command on configurations of the users' platform.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum ConfigurationCommand {
    /// Check a configuration.
    Check(ConfigurationCheckArgs),
}

/// Check a configuration before it is rolled out.
///
/// Exits with 0 without errors, 1 with errors, and 2 if a file cannot be read.
///
/// Example: sniperun configuration check new.json --against old.json
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct ConfigurationCheckArgs {
    /// file with the configuration, JSON
    #[argh(positional)]
    pub file: PathBuf,
    /// file with the configuration in force, to show what would change
    #[argh(option)]
    pub against: Option<PathBuf>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Check settings of instances.
///
/// Example: sniperun settings check settings.jsonc
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "settings")]
pub struct SettingsArgs {
    /// command to run
    #[argh(subcommand)]
    pub command: SettingsCommand,
}

/// A command on settings.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum SettingsCommand {
    /// Check a settings file.
    Check(SettingsCheckArgs),
}

/// Check the settings of an instance.
///
/// Example: sniperun settings check settings.jsonc
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct SettingsCheckArgs {
    /// file with the settings, JSON with comments
    #[argh(positional)]
    pub file: PathBuf,
}

/// Show the state that instances report: note in force, readiness, targets.
///
/// Example: sniperun status --instance 127.0.0.1:7202 --instance 127.0.0.1:7212
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusArgs {
    /// administrative address of an instance; can be repeated
    #[argh(option)]
    pub instance: Vec<SocketAddr>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Example deployment that a trial runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deployment {
    /// The note in `examples/rodopi`.
    Rodopi,
    /// The note in `examples/kinderhut`.
    Kinderhut,
}

impl FromStr for Deployment {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "rodopi" => Ok(Self::Rodopi),
            "kinderhut" => Ok(Self::Kinderhut),
            _ => Err("expected rodopi or kinderhut".to_owned()),
        }
    }
}

/// Run three instances against fakes in this process, under load and faults.
///
/// Exits with a non-zero status if a guarantee is violated.
///
/// Example: sniperun try --deployment kinderhut --seconds 20
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "try")]
pub struct TryArgs {
    /// duration of the load in seconds (default 15, at least 6)
    #[argh(option, default = "15")]
    pub seconds: u64,
    /// seed of the load (default 1)
    #[argh(option, default = "1")]
    pub seed: u64,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
    /// rodopi or kinderhut (default rodopi)
    #[argh(option, default = "Deployment::Rodopi")]
    pub deployment: Deployment,
}

/// Run a fake platform or fake backend servers, for trials with several processes.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "stand-in")]
pub struct StandInArgs {
    /// fake to run
    #[argh(subcommand)]
    pub command: StandInCommand,
}

/// A fake to run.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum StandInCommand {
    /// A fake platform.
    Platform(StandInPlatformArgs),
    /// Fake backend servers for the targets of a note.
    Backends(StandInBackendsArgs),
}

/// Run a fake platform.
///
/// Example: sniperun stand-in platform --address 127.0.0.1:7000
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "platform")]
pub struct StandInPlatformArgs {
    /// address to listen on
    #[argh(option)]
    pub address: SocketAddr,
}

/// Run a fake backend server for each target of a note.
///
/// Example: sniperun stand-in backends --note examples/rodopi/note.jsonc
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "backends")]
pub struct StandInBackendsArgs {
    /// file with the note
    #[argh(option)]
    pub note: PathBuf,
}
