//! A release note.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::Delta;
use crate::world::Closing;
use crate::world::Customer;
use crate::world::Link;
use crate::world::Route;
use crate::world::Service;
use crate::world::Target;

/// Size of a note at most, in bytes, as the platform stores it.
pub const MAX_NOTE_BYTES: usize = 900_000;

/// A release note: one change of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Note {
    /// What the note is for, in a few words.
    pub title: Arc<str>,
    /// Identifies the submission; filled in at submission if empty.
    #[serde(default)]
    pub submission: Arc<str>,
    /// Time of submission in milliseconds since 1970; filled in at submission.
    #[serde(default)]
    pub submitted_at_ms: u64,
    /// Changes of services.
    #[serde(default)]
    pub services: Delta<Service>,
    /// Changes of targets.
    #[serde(default)]
    pub targets: Delta<Target>,
    /// Changes of routes.
    #[serde(default)]
    pub routes: Delta<Route>,
    /// Changes of customers.
    #[serde(default)]
    pub customers: Delta<Customer>,
    /// Changes of closings.
    #[serde(default)]
    pub closings: Delta<Closing>,
    /// Links that are added or replaced.
    #[serde(default)]
    pub links: Vec<Link>,
}
