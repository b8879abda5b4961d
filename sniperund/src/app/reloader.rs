//! Reload of the settings file while an instance runs.
//!
//! The file is read on a signal and also periodically, as it may change without a signal.
//! Settings that can change at run time are applied; the others are logged as needing a restart.
//! If the file is invalid, none of it is applied and the running settings stay in effect.

use std::path::PathBuf;

use platform::BootSettings;
use platform::Store;
use policy::Input;

use super::App;
use super::environment::users_retries;
use super::environment::users_stop_limit_ms;
use crate::Settings;

/// Applies changes of an instance's settings file.
pub struct Reloader {
    path: PathBuf,
    /// Content of the file at the last read.
    text: String,
    source: Source,
}

enum Source {
    Native(Box<Settings>),
    Users {
        boot: Box<BootSettings>,
        store: Store,
    },
}

/// Names of the settings that a reload applied, and of those that need a restart.
#[derive(Debug, Default, PartialEq, Eq)]
struct SettingsChanges {
    changed: Vec<&'static str>,
    restart_needed: Vec<&'static str>,
}

impl SettingsChanges {
    /// Records that a setting needs a restart to take effect, unless it is unchanged.
    fn require_restart_unless(&mut self, name: &'static str, is_same: bool) {
        if !is_same {
            self.restart_needed.push(name);
        }
    }
}

impl Reloader {
    /// Creates a reloader for native settings that were loaded from `path`.
    pub fn native(path: PathBuf, settings: Settings) -> Self {
        Self {
            path,
            text: String::new(),
            source: Source::Native(Box::new(settings)),
        }
    }

    /// Creates a reloader for settings of the users' platform; `store` is redirected when its
    /// address changes.
    pub fn users(path: PathBuf, boot: BootSettings, store: Store) -> Self {
        let boot = Box::new(boot);
        Self {
            path,
            text: String::new(),
            source: Source::Users { boot, store },
        }
    }

    /// Reads the file and applies changed settings. A reload requested by a signal is logged even
    /// if no setting has changed.
    pub fn check(&mut self, app: &mut App, is_requested: bool) {
        let changes = match std::fs::read_to_string(&self.path) {
            Ok(text) if text == self.text => Ok(SettingsChanges::default()),
            Ok(text) => {
                let changes = self.source.apply(&text, app);
                self.text = text;
                changes
            }
            Err(error) => Err(error.to_string()),
        };
        match changes {
            Ok(changes) if is_requested || changes != SettingsChanges::default() => log::info!(
                "event=reload changed=\"{}\" restart_needed=\"{}\"",
                changes.changed.join(","),
                changes.restart_needed.join(",")
            ),
            Ok(_) => {}
            Err(reason) => log::warn!("event=reload-failed reason=\"{reason}\""),
        }
    }
}

impl Source {
    /// Parses and applies settings; returns the reason as an error if they are invalid.
    fn apply(&mut self, text: &str, app: &mut App) -> Result<SettingsChanges, String> {
        match self {
            Self::Native(running) => {
                let settings = Settings::parse(text).map_err(|error| error.to_string())?;
                let changes = apply_native(running, &settings);
                **running = settings;
                Ok(changes)
            }
            Self::Users { boot, store } => {
                let updated = BootSettings::parse(text).map_err(|error| error.to_string())?;
                let changes = apply_users(boot, &updated, store, app);
                **boot = updated;
                Ok(changes)
            }
        }
    }
}

fn apply_native(running: &Settings, settings: &Settings) -> SettingsChanges {
    let mut changes = SettingsChanges::default();
    if settings.log_level != running.log_level {
        log::set_max_level(settings.log_level);
        changes.changed.push("log_level");
    }
    let with_running_level = Settings {
        log_level: running.log_level,
        ..settings.clone()
    };
    changes.require_restart_unless("others", with_running_level == *running);
    changes
}

fn apply_users(
    running: &BootSettings,
    updated: &BootSettings,
    store: &Store,
    app: &mut App,
) -> SettingsChanges {
    let mut changes = SettingsChanges::default();
    if updated.store != running.store {
        store.set_address(&updated.store);
        changes.changed.push("store");
    }
    if users_retries(updated) != users_retries(running) {
        app.control().send(Input::Retries(users_retries(updated)));
        changes.changed.push("retries");
    }
    if updated.stop_limit_ms != running.stop_limit_ms {
        app.set_stop_limit_ms(users_stop_limit_ms(updated));
        changes.changed.push("stop_limit");
    }
    changes.require_restart_unless("id", updated.id == running.id);
    changes.require_restart_unless("data_centre", updated.data_centre == running.data_centre);
    changes.require_restart_unless("ip", updated.ip == running.ip);
    changes.require_restart_unless("callers", updated.callers == running.callers);
    changes.require_restart_unless("ready", updated.ready == running.ready);
    changes.require_restart_unless("peer_port", updated.peer_port == running.peer_port);
    changes.require_restart_unless("seeds", updated.seeds == running.seeds);
    changes.require_restart_unless("cores", updated.cores == running.cores);
    changes.require_restart_unless(
        "departure_limit",
        updated.departure_limit_ms == running.departure_limit_ms,
    );
    changes.require_restart_unless("floor_share", updated.floor_share == running.floor_share);
    changes
}
