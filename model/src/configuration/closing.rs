//! Closings: periods in which the covered services must not be changed or withdrawn.

use std::sync::Arc;
use std::time::UNIX_EPOCH;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error as _;

use super::Named;

/// A closing: a period in which notes may not change or withdraw the listed services.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Closing {
    /// Unique name of the closing.
    pub name: Arc<str>,
    /// Names of the covered services.
    pub services: Vec<Arc<str>>,
    /// Start, inclusive, in milliseconds since the Unix epoch; RFC 3339 in documents.
    #[serde(rename = "from", with = "rfc3339")]
    pub from_ms: u64,
    /// End, exclusive, in milliseconds since the Unix epoch; RFC 3339 in documents.
    #[serde(rename = "until", with = "rfc3339")]
    pub until_ms: u64,
}

impl Closing {
    /// Whether `now_ms` lies within the period.
    pub fn is_open(&self, now_ms: u64) -> bool {
        self.from_ms <= now_ms && now_ms < self.until_ms
    }

    /// Whether the closing applies to the service.
    pub fn covers(&self, service: &str) -> bool {
        self.services.iter().any(|name| &**name == service)
    }
}

impl Named for Closing {
    const KIND: &'static str = "closing";

    fn name(&self) -> &Arc<str> {
        &self.name
    }
}

mod rfc3339 {
    use std::time::Duration;

    use super::*;

    pub(super) fn serialize<S: Serializer>(
        time_ms: &u64,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        let time = UNIX_EPOCH + Duration::from_millis(*time_ms);
        serializer.collect_str(&humantime::format_rfc3339_millis(time))
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
        let text = String::deserialize(deserializer)?;
        let time = humantime::parse_rfc3339_weak(&text).map_err(|error| {
            D::Error::custom(format!(
                "expected a time like 2026-12-31T20:00:00Z: {error}"
            ))
        })?;
        let since = time
            .duration_since(UNIX_EPOCH)
            .map_err(|_| D::Error::custom("expected a time after 1970"))?;
        Ok(since.as_millis() as u64)
    }
}
