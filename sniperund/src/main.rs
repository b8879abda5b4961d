//! Program `sniperund`: runs an entry instance until a signal stops it.

mod cli;

use std::process::ExitCode;
use std::time::Duration;

use platform::BootSettings;
use platform::Store;
use sniperund::App;
use sniperund::Settings;
use sniperund::app::Environment;
use sniperund::app::Reloader;
use sniperund::app::users_settings;
use sniperund::logs;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

const EXIT_INVALID_SETTINGS: u8 = 2;
const EXIT_START_FAILED: u8 = 1;

fn main() -> ExitCode {
    let args: cli::Args = argh::from_env();
    let mut startup = match Startup::from_args(&args) {
        Ok(startup) => startup,
        Err(reason) => return fail(&reason, EXIT_INVALID_SETTINGS),
    };
    if args.advertise_peers.is_some() {
        startup.settings.advertised_peers = args.advertise_peers;
    }
    if let Err(error) = logs::start(startup.settings.log_level) {
        return fail(&error.to_string(), EXIT_START_FAILED);
    }
    // On a single core, a second worker thread would only add context switches.
    let mut builder = match startup.cores {
        Some(1) => tokio::runtime::Builder::new_current_thread(),
        _ => tokio::runtime::Builder::new_multi_thread(),
    };
    if let Some(cores) = startup.cores.filter(|cores| *cores > 1) {
        builder.worker_threads(cores);
    }
    let runtime = match builder.enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return fail(&error.to_string(), EXIT_START_FAILED),
    };
    runtime.block_on(run(startup))
}

/// Time between two checks of the settings file, which may change without a signal. The users
/// specify no upper bound on the delay.
const SETTINGS_CHECK_PERIOD: Duration = Duration::from_secs(2);

/// Inputs for starting an instance.
struct Startup {
    settings: Settings,
    environment: Environment,
    reloader: Reloader,
    /// Number of worker threads; `None` for one per core of the machine.
    cores: Option<usize>,
}

impl Startup {
    fn from_args(args: &cli::Args) -> Result<Self, String> {
        match (&args.settings, args.users_platform) {
            (Some(path), false) => {
                let settings = Settings::load(path).map_err(|error| error.to_string())?;
                let environment = Environment::native(&settings);
                let reloader = Reloader::native(path.clone(), settings.clone());
                Ok(Self {
                    settings,
                    environment,
                    reloader,
                    cores: None,
                })
            }
            (None, true) => {
                let path = BootSettings::path().map_err(|error| error.to_string())?;
                let boot = BootSettings::load().map_err(|error| error.to_string())?;
                let store = Store::new(&boot.store);
                Ok(Self {
                    settings: users_settings(&boot),
                    environment: Environment::users(&boot, store.clone()),
                    cores: Some(boot.cores),
                    reloader: Reloader::users(path, boot, store),
                })
            }
            _ => Err("expected either --settings FILE or --users-platform".to_owned()),
        }
    }
}

async fn run(mut startup: Startup) -> ExitCode {
    let mut app = match App::start_with(&startup.settings, &startup.environment).await {
        Ok(app) => app,
        Err(error) => return fail(&error.to_string(), EXIT_START_FAILED),
    };
    run_until_stopped(&mut app, &mut startup.reloader).await;
    app.drain().await;
    logs::flush_queue();
    ExitCode::SUCCESS
}

/// Reloads the settings when they change, until SIGTERM or SIGINT; SIGHUP requests a check at once.
async fn run_until_stopped(app: &mut App, reloader: &mut Reloader) {
    let (Ok(mut terminate), Ok(mut interrupt), Ok(mut hang_up)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
        signal(SignalKind::hangup()),
    ) else {
        log::error!("event=signals-unavailable");
        return std::future::pending().await;
    };
    let mut settings_checks = tokio::time::interval(SETTINGS_CHECK_PERIOD);
    loop {
        tokio::select! {
            _ = terminate.recv() => return,
            _ = interrupt.recv() => return,
            _ = hang_up.recv() => reloader.check(app, true),
            _ = settings_checks.tick() => reloader.check(app, false),
        }
    }
}

fn fail(reason: &str, code: u8) -> ExitCode {
    eprintln!("sniperund: {reason}");
    ExitCode::from(code)
}
