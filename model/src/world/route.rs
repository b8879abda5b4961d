//! Which requests go to which service.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::Class;
use super::Named;
use super::Repeat;

/// A service that gets a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Share {
    /// Name of the service.
    pub service: Arc<str>,
    /// Its weight against the other shares; a share of weight 0 gets nothing.
    pub weight: u32,
}

/// What a route sets for its requests in place of its service's contract.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RouteTerms {
    /// Whether requests may be repeated.
    pub repeat: Option<Repeat>,
    /// How urgent requests are.
    pub class: Option<Class>,
    /// Longest time that a request is kept waiting, in milliseconds.
    pub time_limit_ms: Option<u64>,
    /// Time in which an answer has its full worth, in milliseconds.
    pub objective_ms: Option<u64>,
    /// Targets that one request may be sent to.
    pub max_attempts: Option<u32>,
}

/// A rule that sends the requests below a path to a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The route's name.
    pub name: Arc<str>,
    /// Host that it holds for; all hosts if absent.
    #[serde(default)]
    pub host: Option<Arc<str>>,
    /// Path below which it holds, such as `/levels`; whole segments. With a slash
    /// at its end it does not hold for the path without that slash.
    pub path: Arc<str>,
    /// Name of the service; of the first share where there are several.
    pub service: Arc<str>,
    /// Services that share the requests by weight; none if all go to `service`.
    #[serde(default)]
    pub shares: Vec<Share>,
    /// What differs from the service's contract.
    #[serde(default)]
    pub terms: RouteTerms,
}

impl Route {
    /// The services that the route's requests go to.
    pub fn services(&self) -> impl Iterator<Item = &Arc<str>> {
        let shared = self.shares.iter().map(|share| &share.service);
        std::iter::once(&self.service).chain(shared)
    }

    /// The service for a request; `draw` is uniform from 0 to 1, 1 left out.
    pub fn draw(&self, draw: f64) -> &Arc<str> {
        let total: u64 = self
            .shares
            .iter()
            .map(|share| u64::from(share.weight))
            .sum();
        let mut point = (draw * total as f64) as u64;
        for share in &self.shares {
            if point < u64::from(share.weight) {
                return &share.service;
            }
            point -= u64::from(share.weight);
        }
        &self.service
    }

    /// Whether a path that has the route's segments lies below the route.
    pub(crate) fn covers(&self, path: &str) -> bool {
        !self.path.ends_with('/') || path.starts_with(&*self.path)
    }
}

impl Named for Route {
    const KIND: &'static str = "route";

    fn name(&self) -> &Arc<str> {
        &self.name
    }
}
