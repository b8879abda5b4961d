//! Settings that change while an instance runs.
//!
//! The file is looked at when a signal asks for it, and now and then, as it may
//! change without one. What can take effect does; the rest is named in the log,
//! as it takes a restart. A file that does not fit changes nothing.

use std::path::PathBuf;

use platform::Boot;
use platform::Store;
use policy::Input;

use super::App;
use super::surroundings::users_retries;
use super::surroundings::users_stop_limit_ms;
use crate::Settings;

/// Follows the settings file of an instance.
pub struct Reload {
    path: PathBuf,
    /// The text that was read last.
    text: String,
    source: Source,
}

enum Source {
    Own(Box<Settings>),
    Users { boot: Box<Boot>, store: Store },
}

/// What a change of the settings came to.
#[derive(Debug, Default, PartialEq, Eq)]
struct Applied {
    changed: Vec<&'static str>,
    restart_needed: Vec<&'static str>,
}

impl Applied {
    /// Notes a setting that takes a restart, if it has changed.
    fn restart(&mut self, name: &'static str, is_same: bool) {
        if !is_same {
            self.restart_needed.push(name);
        }
    }
}

impl Reload {
    /// Follows the project's own settings, as they were read from `path`.
    pub fn own(path: PathBuf, settings: Settings) -> Self {
        Self {
            path,
            text: String::new(),
            source: Source::Own(Box::new(settings)),
        }
    }

    /// Follows the settings of the users' platform; `store` moves with them.
    pub fn users(path: PathBuf, boot: Boot, store: Store) -> Self {
        let boot = Box::new(boot);
        Self {
            path,
            text: String::new(),
            source: Source::Users { boot, store },
        }
    }

    /// Looks at the file and applies what has changed; `asked` by a signal, the look
    /// is logged in any case.
    pub fn look(&mut self, app: &mut App, asked: bool) {
        let applied = match std::fs::read_to_string(&self.path) {
            Ok(text) if text == self.text => Ok(Applied::default()),
            Ok(text) => {
                let applied = self.source.apply(&text, app);
                self.text = text;
                applied
            }
            Err(error) => Err(error.to_string()),
        };
        match applied {
            Ok(applied) if asked || applied != Applied::default() => log::info!(
                "event=reload changed=\"{}\" restart_needed=\"{}\"",
                applied.changed.join(","),
                applied.restart_needed.join(",")
            ),
            Ok(_) => {}
            Err(reason) => log::warn!("event=reload-failed reason=\"{reason}\""),
        }
    }
}

impl Source {
    /// Applies settings; the reason if they do not fit.
    fn apply(&mut self, text: &str, app: &mut App) -> Result<Applied, String> {
        match self {
            Self::Own(running) => {
                let settings = Settings::parse(text).map_err(|error| error.to_string())?;
                let applied = apply_own(running, &settings);
                **running = settings;
                Ok(applied)
            }
            Self::Users { boot, store } => {
                let fresh = Boot::parse(text).map_err(|error| error.to_string())?;
                let applied = apply_users(boot, &fresh, store, app);
                **boot = fresh;
                Ok(applied)
            }
        }
    }
}

fn apply_own(running: &Settings, settings: &Settings) -> Applied {
    let mut applied = Applied::default();
    if settings.log_level != running.log_level {
        log::set_max_level(settings.log_level);
        applied.changed.push("log_level");
    }
    let rest = Settings {
        log_level: running.log_level,
        ..settings.clone()
    };
    applied.restart("others", rest == *running);
    applied
}

fn apply_users(running: &Boot, fresh: &Boot, store: &Store, app: &mut App) -> Applied {
    let mut applied = Applied::default();
    if fresh.store != running.store {
        store.move_to(&fresh.store);
        applied.changed.push("store");
    }
    if users_retries(fresh) != users_retries(running) {
        app.control().tell(Input::Retries(users_retries(fresh)));
        applied.changed.push("retries");
    }
    if fresh.stop_limit_ms != running.stop_limit_ms {
        app.set_stop_limit_ms(users_stop_limit_ms(fresh));
        applied.changed.push("stop_limit");
    }
    applied.restart("id", fresh.id == running.id);
    applied.restart("data_centre", fresh.data_centre == running.data_centre);
    applied.restart("ip", fresh.ip == running.ip);
    applied.restart("callers", fresh.callers == running.callers);
    applied.restart("ready", fresh.ready == running.ready);
    applied.restart("peer_port", fresh.peer_port == running.peer_port);
    applied.restart("seeds", fresh.seeds == running.seeds);
    applied.restart("cores", fresh.cores == running.cores);
    applied.restart("floor_share", fresh.floor_share == running.floor_share);
    applied
}
