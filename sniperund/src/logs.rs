//! The log: one line of key=value pairs an event, on standard error.

use std::time::SystemTime;

use log::LevelFilter;

/// Starts the log.
///
/// # Errors
///
/// Returns an error if a log was started before.
pub fn start(level: LevelFilter) -> Result<(), log::SetLoggerError> {
    fern::Dispatch::new()
        .format(|out, message, record| {
            let time = humantime::format_rfc3339_millis(SystemTime::now());
            let level = record.level().as_str().to_ascii_lowercase();
            out.finish(format_args!("time={time} level={level} {message}"));
        })
        .level(level)
        .level_for("tarpc", LevelFilter::Off)
        .chain(std::io::stderr())
        .apply()
}
