//! Entry point of the `sniperun` command line for operators.

use std::process::ExitCode;

use sniperun::cli::Args;
use sniperun::commands;

const EXIT_FAILED: u8 = 1;

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let runtime = match tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => return report_failure(&error.to_string()),
    };
    match runtime.block_on(commands::run(args)) {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => report_failure(&error.to_string()),
    }
}

fn report_failure(reason: &str) -> ExitCode {
    eprintln!("sniperun: {reason}");
    ExitCode::from(EXIT_FAILED)
}
