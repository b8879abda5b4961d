//! Releases and targets' entries, as the registry delivers them.

use std::sync::Arc;

use model::configuration::Route;
use model::configuration::Service;
use model::configuration::Target;
use serde::Deserialize;
use serde::Serialize;

/// A complete configuration, with a number that only increases.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Release {
    /// Number of the release.
    pub number: u64,
    /// All services.
    pub services: Vec<Service>,
    /// All routes.
    pub routes: Vec<Route>,
    /// Time for which callers keep idle connections open, in milliseconds.
    pub idle_limit_ms: Option<u64>,
}

/// A target's entry in the registry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetEntry {
    /// The entry exists, with these values.
    Present(Target),
    /// The entry was removed.
    Removed(Arc<str>),
}

/// All changes of targets between two revisions of a registry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryChanges {
    /// The revision before the changes.
    pub after: u64,
    /// The revision that includes all changes.
    pub revision: u64,
    /// Revision up to which the entries include every change. Of the later changes they
    /// contain only the net difference, which omits a target that was added and removed in
    /// between. An instance that has applied a change after this revision must therefore
    /// not apply these changes.
    pub complete_to: u64,
    /// The changes, in order.
    pub entries: Vec<TargetEntry>,
    /// Time for which targets whose entries were removed are retained, in milliseconds, as
    /// decided by the sending instance; the registry itself does not set it.
    pub retain_ms: u64,
}
