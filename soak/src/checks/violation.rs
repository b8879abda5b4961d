//! Violations of invariants, as the checks report them.

use std::sync::Arc;

use derive_more::Display;

/// A violation of an invariant.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
#[display("{invariant}: {description}")]
pub struct Violation {
    /// Name of the invariant.
    pub invariant: &'static str,
    /// Observation that violates the invariant.
    pub description: String,
    /// Id of the affected request. `None` if the violation concerns no single request.
    pub id: Option<Arc<str>>,
}

/// Creates a violation.
pub(super) fn violation(
    invariant: &'static str,
    id: Option<&Arc<str>>,
    description: String,
) -> Violation {
    Violation {
        invariant,
        description,
        id: id.cloned(),
    }
}
