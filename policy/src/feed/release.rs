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
