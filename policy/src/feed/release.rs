//! What a registry tells.

use std::sync::Arc;

use model::world::Route;
use model::world::Service;
use model::world::Target;
use serde::Deserialize;
use serde::Serialize;

/// A whole configuration under a number that only rises.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Release {
    /// Its number.
    pub number: u64,
    /// All services.
    pub services: Vec<Service>,
    /// All routes.
    pub routes: Vec<Route>,
    /// Time for which callers keep connections without a request, in milliseconds.
    pub idle_limit_ms: Option<u64>,
}

/// What the registry says of one target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetEntry {
    /// It stands, in this shape.
    Stands(Target),
    /// It stands no longer.
    Removed(Arc<str>),
}

/// All changes of targets between two revisions of a registry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryChanges {
    /// The revision after which.
    pub after: u64,
    /// The revision up to which.
    pub revision: u64,
    /// Revision up to which each change is among the entries; of those after it only
    /// what differs in the end, so that they say nothing of a target that came and went
    /// in between. Nothing else is told to one that knows of a change after it.
    pub complete_to: u64,
    /// The changes in order.
    pub entries: Vec<TargetEntry>,
    /// How long targets stay whose entries went, in milliseconds, as the instance
    /// that tells sees it; the registry itself does not say.
    pub stay_ms: u64,
}
