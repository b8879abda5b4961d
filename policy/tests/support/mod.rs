//! Fixtures shared by several tests.

use model::configuration::Class;
use model::configuration::Repeat;
use model::configuration::Service;

/// A service of class `Command`.
pub(crate) fn service(name: &str) -> Service {
    Service {
        name: name.into(),
        class: Class::Command,
        repeat: Repeat::Never,
        time_limit_ms: 8_000,
        floor_share: 0.7,
        false_ejection_rate: 1e-6,
        missed_detection_rate: 1e-6,
        retry_share: 0.2,
        queue: 32,
        probe_path: "/health".into(),
    }
}
