//! The program of an entry instance.

mod cli;

use std::process::ExitCode;
use std::time::Duration;

use platform::Boot;
use platform::Store;
use sniperund::App;
use sniperund::Settings;
use sniperund::app::Reload;
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
    runtime.block_on(run(start))
}

/// Pause between two looks at the settings, which may change without a signal; their
/// users name no bound.
const LOOK_PERIOD: Duration = Duration::from_secs(2);

/// What an instance starts with.
struct Start {
    settings: Settings,
    around: Surroundings,
    reload: Reload,
    cores: Option<usize>,
}

impl Start {
    fn of(args: &cli::Args) -> Result<Self, String> {
        match (&args.settings, args.users_platform) {
            (Some(path), false) => {
                let settings = Settings::load(path).map_err(|error| error.to_string())?;
                let around = Surroundings::own(&settings);
                let reload = Reload::own(path.clone(), settings.clone());
                Ok(Self {
                    settings,
                    around,
                    reload,
                    cores: None,
                })
            }
            (None, true) => {
                let path = Boot::path().map_err(|error| error.to_string())?;
                let boot = Boot::load().map_err(|error| error.to_string())?;
                let store = Store::new(&boot.store);
                Ok(Self {
                    settings: users_settings(&boot),
                    around: Surroundings::users(&boot, store.clone()),
                    cores: Some(boot.cores),
                    reload: Reload::users(path, boot, store),
                })
            }
            _ => Err("expected either --settings FILE or --users-platform".to_owned()),
        }
    }
}

async fn run(mut start: Start) -> ExitCode {
    let mut app = match App::start_between(&start.settings, &start.around).await {
        Ok(app) => app,
        Err(error) => return fail(&error.to_string(), EXIT_START),
    };
    run_until_stopped(&mut app, &mut start.reload).await;
    app.drain().await;
    logs::finish();
    ExitCode::SUCCESS
}

/// Follows the settings until SIGTERM or SIGINT; SIGHUP asks for a look at them.
async fn run_until_stopped(app: &mut App, reload: &mut Reload) {
    let (Ok(mut terminate), Ok(mut interrupt), Ok(mut hang_up)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
        signal(SignalKind::hangup()),
    ) else {
        log::error!("event=signals-unavailable");
        return std::future::pending().await;
    };
    let mut looks = tokio::time::interval(LOOK_PERIOD);
    loop {
        tokio::select! {
            _ = terminate.recv() => return,
            _ = interrupt.recv() => return,
            _ = hang_up.recv() => reload.look(app, true),
            _ = looks.tick() => reload.look(app, false),
        }
    }
}

fn fail(reason: &str, code: u8) -> ExitCode {
    eprintln!("sniperund: {reason}");
    ExitCode::from(code)
}
