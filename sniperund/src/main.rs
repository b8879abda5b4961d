//! The program of an entry instance.

mod cli;

use std::process::ExitCode;

use platform::Boot;
use sniperund::App;
use sniperund::Settings;
use sniperund::app::Surroundings;
use sniperund::app::users_settings;
use sniperund::logs;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

const EXIT_SETTINGS: u8 = 2;
const EXIT_START: u8 = 1;

fn main() -> ExitCode {
    let args: cli::Args = argh::from_env();
    let mut start = match Start::of(&args) {
        Ok(start) => start,
        Err(reason) => return fail(&reason, EXIT_SETTINGS),
    };
    if args.advertise_peers.is_some() {
        start.settings.advertised_peers = args.advertise_peers;
    }
    if let Err(error) = logs::start(start.settings.log_level) {
        return fail(&error.to_string(), EXIT_START);
    }
    // A second thread on a single core only adds switches between threads.
    let mut builder = match start.cores {
        Some(1) => tokio::runtime::Builder::new_current_thread(),
        _ => tokio::runtime::Builder::new_multi_thread(),
    };
    if let Some(cores) = start.cores.filter(|cores| *cores > 1) {
        builder.worker_threads(cores);
    }
    let runtime = match builder.enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return fail(&error.to_string(), EXIT_START),
    };
    runtime.block_on(run(&start))
}

/// What an instance starts with.
struct Start {
    settings: Settings,
    around: Surroundings,
    cores: Option<usize>,
}

impl Start {
    fn of(args: &cli::Args) -> Result<Self, String> {
        match (&args.settings, args.users_platform) {
            (Some(path), false) => {
                let settings = Settings::load(path).map_err(|error| error.to_string())?;
                let around = Surroundings::own(&settings);
                Ok(Self {
                    settings,
                    around,
                    cores: None,
                })
            }
            (None, true) => {
                let boot = Boot::load().map_err(|error| error.to_string())?;
                Ok(Self {
                    settings: users_settings(&boot),
                    around: Surroundings::users(&boot),
                    cores: Some(boot.cores),
                })
            }
            _ => Err("expected either --settings FILE or --users-platform".to_owned()),
        }
    }
}

async fn run(start: &Start) -> ExitCode {
    let app = match App::start_between(&start.settings, &start.around).await {
        Ok(app) => app,
        Err(error) => return fail(&error.to_string(), EXIT_START),
    };
    wait_for_signal().await;
    app.drain().await;
    logs::finish();
    ExitCode::SUCCESS
}

/// Waits for SIGTERM or SIGINT; SIGHUP asks for another look at the settings.
async fn wait_for_signal() {
    let (Ok(mut terminate), Ok(mut interrupt), Ok(mut hang_up)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
        signal(SignalKind::hangup()),
    ) else {
        log::error!("event=signals-unavailable");
        return std::future::pending().await;
    };
    loop {
        tokio::select! {
            _ = terminate.recv() => return,
            _ = interrupt.recv() => return,
            _ = hang_up.recv() => log::info!("event=reload changed=\"\""),
        }
    }
}

fn fail(reason: &str, code: u8) -> ExitCode {
    eprintln!("sniperund: {reason}");
    ExitCode::from(code)
}
