//! What an operator sets for one instance.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use log::LevelFilter;
use serde::Deserialize;

use super::Limits;
use super::Result;
use super::SettingsError;

/// The settings of one instance.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The instance's id, unique among all that ever ran at once.
    pub id: Arc<str>,
    /// Data centre that it runs in.
    pub data_centre: Arc<str>,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for other instances.
    pub peers: SocketAddr,
    /// Address by which they reach it, if that is another one.
    #[serde(default)]
    pub advertised_peers: Option<SocketAddr>,
    /// Address for administration.
    pub admin: SocketAddr,
    /// Address of the platform, such as `10.0.0.1:7000`.
    pub platform: Arc<str>,
    /// Addresses of peers to ask while the platform is away.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Time limit of a call to the platform in milliseconds.
    #[serde(default = "default_platform_limit_ms")]
    pub platform_limit_ms: u64,
    /// Time from being not ready to taking no new connections, in milliseconds.
    #[serde(default = "default_drain_grace_ms")]
    pub drain_grace_ms: u64,
    /// Level of the log.
    #[serde(default = "default_log_level")]
    pub log_level: LevelFilter,
    /// Bounds.
    #[serde(default)]
    pub limits: Limits,
}

const DEFAULT_PLATFORM_LIMIT_MS: u64 = 1_000;
const DEFAULT_DRAIN_GRACE_MS: u64 = 3_000;
const MAX_ID_BYTES: usize = 64;

fn default_platform_limit_ms() -> u64 {
    DEFAULT_PLATFORM_LIMIT_MS
}

fn default_drain_grace_ms() -> u64 {
    DEFAULT_DRAIN_GRACE_MS
}

fn default_log_level() -> LevelFilter {
    LevelFilter::Info
}

impl Settings {
    /// Reads settings from a file.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] if the file cannot be read or does not fit.
    pub fn load(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path).map_err(|source| SettingsError::File {
            path: path.display().to_string(),
            source,
        })?;
        Self::parse(&text)
    }

    /// Reads settings from JSON with comments.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] if the text does not fit.
    pub fn parse(text: &str) -> Result<Self> {
        let settings: Self = model::document::read(text)?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<()> {
        let plain = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        let id_fits =
            !self.id.is_empty() && self.id.len() <= MAX_ID_BYTES && self.id.chars().all(plain);
        require(id_fits, "id", "expected 1 to 64 letters, digits and - _ .")?;
        require(
            !self.data_centre.is_empty(),
            "data_centre",
            "expected a name",
        )?;
        require(
            self.platform_limit_ms > 0,
            "platform_limit_ms",
            "expected more than 0",
        )?;
        let ports = [self.callers, self.peers, self.admin];
        let fixed = |address: &&SocketAddr| address.port() != 0;
        let same = ports
            .iter()
            .filter(fixed)
            .any(|a| ports.iter().filter(|b| *b == a).count() > 1);
        require(
            !same,
            "admin",
            "expected three different addresses for callers, peers and admin",
        )?;
        let limits = self.limits;
        require(
            limits.in_flight > 0,
            "limits.in_flight",
            "expected more than 0",
        )?;
        require(
            limits.connections > 0,
            "limits.connections",
            "expected more than 0",
        )?;
        require(
            limits.header_bytes >= 1_024,
            "limits.header_bytes",
            "expected at least 1024",
        )
    }
}

fn require(holds: bool, field: &'static str, reason: &'static str) -> Result<()> {
    if holds {
        Ok(())
    } else {
        Err(SettingsError::Value { field, reason })
    }
}
