//! Settings file of one instance: parsing and validation.

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
    /// Id of the instance, unique among all instances that run at the same time.
    pub id: Arc<str>,
    /// Data centre that the instance runs in.
    pub data_centre: Arc<str>,
    /// Address to listen on for callers.
    pub callers: SocketAddr,
    /// Address to listen on for other instances.
    pub peers: SocketAddr,
    /// Address at which other instances reach this one, if it differs from `peers`.
    #[serde(default)]
    pub advertised_peers: Option<SocketAddr>,
    /// Address to listen on for readiness, metrics and status.
    pub admin: SocketAddr,
    /// Address of the key-value platform, such as `10.0.0.1:7000`.
    pub platform: Arc<str>,
    /// Addresses of peers to contact while the platform is unreachable.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Timeout of a call to the platform, in milliseconds.
    #[serde(default = "default_platform_limit_ms")]
    pub platform_limit_ms: u64,
    /// Time between reporting not ready and refusing new connections, in milliseconds.
    #[serde(default = "default_drain_grace_ms")]
    pub drain_grace_ms: u64,
    /// Least severe level that is logged.
    #[serde(default = "default_log_level")]
    pub log_level: LevelFilter,
    /// Resource limits.
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
    /// Loads settings from a file.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] if the file cannot be read or its content is invalid.
    pub fn load(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path).map_err(|source| SettingsError::File {
            path: path.display().to_string(),
            source,
        })?;
        Self::parse(&text)
    }

    /// Parses settings from JSON with comments.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] if the text is invalid.
    pub fn parse(text: &str) -> Result<Self> {
        let settings: Self = model::document::read(text)?;
        settings.validate()?;
        Ok(settings)
    }

    fn validate(&self) -> Result<()> {
        let is_allowed_char = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        let is_valid_id = !self.id.is_empty()
            && self.id.len() <= MAX_ID_BYTES
            && self.id.chars().all(is_allowed_char);
        require(
            is_valid_id,
            "id",
            "expected 1 to 64 letters, digits and - _ .",
        )?;
        require(
            !self.data_centre.is_empty(),
            "data_centre",
            "expected a non-empty name",
        )?;
        require(
            self.platform_limit_ms > 0,
            "platform_limit_ms",
            "expected more than 0",
        )?;
        let addresses = [self.callers, self.peers, self.admin];
        let has_fixed_port = |address: &&SocketAddr| address.port() != 0;
        let has_duplicates = addresses
            .iter()
            .filter(has_fixed_port)
            .any(|a| addresses.iter().filter(|b| *b == a).count() > 1);
        require(
            !has_duplicates,
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
        )?;
        require(
            limits.body_memory_bytes >= 1 << 20,
            "limits.body_memory_bytes",
            "expected at least 1048576",
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
