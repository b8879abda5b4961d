//! A promise that was broken.

use std::sync::Arc;

use derive_more::Display;

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
#[display("{promise}: {what}")]
pub struct Broken {
    /// The promise's name.
    pub promise: &'static str,
    /// What broke it.
    pub what: String,
    /// The request concerned, if there is one.
    pub id: Option<Arc<str>>,
}

/// What broke a promise.
pub(super) fn broken(promise: &'static str, id: Option<&Arc<str>>, what: String) -> Broken {
    Broken {
        promise,
        what,
        id: id.cloned(),
    }
}
