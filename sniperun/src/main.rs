//! Entry point of the `sniperun` command line for operators.

use std::process::ExitCode;

use sniperun::cli::Args;
use sniperun::commands;
use sniperun::commands::CommandError;

const EXIT_FAILED: u8 = 1;
const EXIT_UNREADABLE: u8 = 2;

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let runtime = match tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => return report_failure(EXIT_FAILED, &error.to_string()),
    };
    match runtime.block_on(commands::run(args)) {
        Ok(output) => {
            print!("{}", output.text);
            match output.has_errors {
                true => ExitCode::from(EXIT_FAILED),
                false => ExitCode::SUCCESS,
            }
        }
        Err(error) => {
            let is_unreadable = matches!(error, CommandError::Unreadable { .. });
            let code = if is_unreadable {
                EXIT_UNREADABLE
            } else {
                EXIT_FAILED
            };
            report_failure(code, &error.to_string())
        }
    }
}

fn report_failure(code: u8, reason: &str) -> ExitCode {
    eprintln!("sniperun: {reason}");
    ExitCode::from(code)
}
