//! Routes, which map requests to services by host and path.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::Class;
use super::Named;
use super::Repeat;

/// A service that receives a weighted share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Share {
    /// Name of the service.
    pub service: Arc<str>,
    /// Weight relative to the other shares; a share of weight 0 receives no requests.
    pub weight: u32,
}

/// Settings of a route that override those of its service.
///
/// With `None`, the setting of the service applies, if it has one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RouteTerms {
    /// Whether a request may be sent more than once.
    pub repeat: Option<Repeat>,
    /// Priority class of the requests.
    pub class: Option<Class>,
    /// Upper bound on the time limit of a request, in milliseconds.
    pub time_limit_ms: Option<u64>,
    /// Latency objective of a response, in milliseconds.
    pub objective_ms: Option<u64>,
    /// Maximum number of targets that one request is sent to, including the first.
    pub max_attempts: Option<u32>,
    /// Whether callers need no key, although customers have keys.
    #[serde(skip_serializing_if = "is_false")]
    pub is_public: bool,
    /// Priority of the requests, 0 being the most urgent; the customer's takes precedence.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub priority: Option<u8>,
}

fn is_false(value: &bool) -> bool {
    !value
}

/// A rule that sends requests whose path starts with a prefix to one or more services.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Unique name of the route.
    pub name: Arc<str>,
    /// Host that the route applies to; `None` for all hosts.
    #[serde(default)]
    pub host: Option<Arc<str>>,
    /// Path prefix that the route applies to, such as `/levels`, matched by complete
    /// segments. A prefix with a trailing slash does not match the path without it.
    pub path: Arc<str>,
    /// Name of the service; with several shares, that of the first share.
    pub service: Arc<str>,
    /// Services between which the requests are split by weight; if empty, all
    /// requests go to `service`.
    #[serde(default)]
    pub shares: Vec<Share>,
    /// Settings that override those of the service.
    #[serde(default)]
    pub terms: RouteTerms,
}

impl Route {
    /// Returns the names of all services that the route refers to.
    pub fn services(&self) -> impl Iterator<Item = &Arc<str>> {
        let shared = self.shares.iter().map(|share| &share.service);
        std::iter::once(&self.service).chain(shared)
    }

    /// Picks the service for a request by weight; `sample` is uniform in `[0, 1)`.
    pub fn pick_service(&self, sample: f64) -> &Arc<str> {
        let total: u64 = self
            .shares
            .iter()
            .map(|share| u64::from(share.weight))
            .sum();
        let mut point = (sample * total as f64) as u64;
        for share in &self.shares {
            if point < u64::from(share.weight) {
                return &share.service;
            }
            point -= u64::from(share.weight);
        }
        &self.service
    }

    /// Whether the route matches a path that starts with the route's segments.
    ///
    /// Only a route with a trailing slash can fail to match such a path.
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
