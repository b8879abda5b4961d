//! The release note, as operators write it and as the platform stores it.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::Delta;
use crate::configuration::Closing;
use crate::configuration::Customer;
use crate::configuration::Link;
use crate::configuration::Route;
use crate::configuration::Service;
use crate::configuration::Target;

/// Maximum size of a note, in bytes of the JSON that the platform stores.
pub const MAX_NOTE_BYTES: usize = 900_000;

/// A release note: a set of configuration changes that take effect together.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Note {
    /// Short description of the note's purpose.
    pub title: Arc<str>,
    /// Id of the submission; generated on submission if empty.
    #[serde(default)]
    pub submission: Arc<str>,
    /// Time of submission in milliseconds since the Unix epoch; set on submission.
    #[serde(default)]
    pub submitted_at_ms: u64,
    /// Changes to services.
    #[serde(default)]
    pub services: Delta<Service>,
    /// Changes to targets.
    #[serde(default)]
    pub targets: Delta<Target>,
    /// Changes to routes.
    #[serde(default)]
    pub routes: Delta<Route>,
    /// Changes to customers.
    #[serde(default)]
    pub customers: Delta<Customer>,
    /// Whether callers need keys even if no customer has any, so that the removal of the last
    /// customer does not admit every caller; `None` leaves it unchanged.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub keys_required: Option<bool>,
    /// Changes to closings.
    #[serde(default)]
    pub closings: Delta<Closing>,
    /// Links to add or replace.
    #[serde(default)]
    pub links: Vec<Link>,
}
