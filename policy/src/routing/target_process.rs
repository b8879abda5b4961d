//! The process behind a target's name.

use std::sync::Arc;

use model::configuration::Target;
use serde::Deserialize;
use serde::Serialize;

/// A process of a target; another one may have the same name later.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TargetProcess {
    /// The target's name.
    pub target: Arc<str>,
    /// Incarnation of the process.
    pub incarnation: u64,
}

impl TargetProcess {
    /// The process that a target of the configuration names.
    pub fn of(target: &Target) -> Self {
        Self {
            target: target.name.clone(),
            incarnation: target.incarnation,
        }
    }
}
