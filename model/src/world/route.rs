//! Which requests go to which service.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::Named;

/// A rule that sends the requests below a path to a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The route's name.
    pub name: Arc<str>,
    /// Host that it holds for; all hosts if absent.
    #[serde(default)]
    pub host: Option<Arc<str>>,
    /// Path below which it holds, such as `/levels`; whole segments.
    pub path: Arc<str>,
    /// Name of the service.
    pub service: Arc<str>,
}

impl Named for Route {
    const KIND: &'static str = "route";

    fn name(&self) -> &Arc<str> {
        &self.name
    }
}
