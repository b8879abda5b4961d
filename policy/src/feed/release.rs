//! Releases and targets' entries, as the registry delivers them.

use std::sync::Arc;

use model::configuration::Class;
use model::configuration::Customer;
use model::configuration::KeyDigest;
use model::configuration::Quota;
use model::configuration::Repeat;
use model::configuration::Route;
use model::configuration::RouteTerms;
use model::configuration::Service;
use model::configuration::Share;
use model::configuration::Target;
use serde::Deserialize;
use serde::Serialize;

/// A complete configuration, with a number that only increases.
///
/// Its encoding has the fields of the first version of the message format; the others are sent in
/// a [`ReleaseAccess`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "EncodedRelease", into = "EncodedRelease")]
pub struct Release {
    /// Number of the release.
    pub number: u64,
    /// All services.
    pub services: Vec<Service>,
    /// All routes.
    pub routes: Vec<Route>,
    /// All customers; `None` if callers need no keys.
    pub customers: Option<Vec<Customer>>,
    /// Time for which callers keep idle connections open, in milliseconds.
    pub idle_limit_ms: Option<u64>,
}

impl Release {
    /// What the release contains about customers and priorities beside its encoding; `None` if
    /// there is nothing.
    pub fn access(&self) -> Option<ReleaseAccess> {
        let has_priority = |route: &Route| route.terms.priority.is_some();
        if self.customers.is_none() && !self.routes.iter().any(has_priority) {
            return None;
        }
        let customers = self.customers.as_ref();
        Some(ReleaseAccess {
            customers: customers
                .map(|customers| customers.iter().map(EncodedCustomer::from).collect()),
            routes: self
                .routes
                .iter()
                .map(|route| RouteAccess {
                    is_public: route.terms.is_public,
                    priority: route.terms.priority,
                })
                .collect(),
        })
    }

    /// Adds what was sent beside the encoding.
    pub fn with_access(mut self, access: ReleaseAccess) -> Self {
        for (route, access) in self.routes.iter_mut().zip(access.routes) {
            route.terms.is_public = access.is_public;
            route.terms.priority = access.priority;
        }
        self.customers = access
            .customers
            .map(|customers| customers.into_iter().map(Customer::from).collect());
        self
    }
}

/// The part of a release that concerns customers and priorities.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReleaseAccess {
    customers: Option<Vec<EncodedCustomer>>,
    /// Of the routes, in their order.
    routes: Vec<RouteAccess>,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct RouteAccess {
    is_public: bool,
    priority: Option<u8>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct EncodedCustomer {
    name: Arc<str>,
    in_flight: u32,
    keys: Option<Vec<KeyDigest>>,
    quota: Option<Quota>,
    priority: Option<u8>,
}

impl From<&Customer> for EncodedCustomer {
    fn from(customer: &Customer) -> Self {
        Self {
            name: customer.name.clone(),
            in_flight: customer.in_flight,
            keys: customer.keys.clone(),
            quota: customer.quota,
            priority: customer.priority,
        }
    }
}

impl From<EncodedCustomer> for Customer {
    fn from(customer: EncodedCustomer) -> Self {
        Self {
            name: customer.name,
            in_flight: customer.in_flight,
            keys: customer.keys,
            quota: customer.quota,
            priority: customer.priority,
        }
    }
}

#[derive(Serialize, Deserialize)]
struct EncodedRelease {
    number: u64,
    services: Vec<Service>,
    routes: Vec<EncodedRoute>,
    idle_limit_ms: Option<u64>,
}

#[derive(Serialize, Deserialize)]
struct EncodedRoute {
    name: Arc<str>,
    host: Option<Arc<str>>,
    path: Arc<str>,
    service: Arc<str>,
    shares: Vec<Share>,
    terms: EncodedTerms,
}

#[derive(Serialize, Deserialize)]
struct EncodedTerms {
    repeat: Option<Repeat>,
    class: Option<Class>,
    time_limit_ms: Option<u64>,
    objective_ms: Option<u64>,
    max_attempts: Option<u32>,
}

impl From<Release> for EncodedRelease {
    fn from(release: Release) -> Self {
        Self {
            number: release.number,
            services: release.services,
            routes: release.routes.into_iter().map(EncodedRoute::from).collect(),
            idle_limit_ms: release.idle_limit_ms,
        }
    }
}

impl From<EncodedRelease> for Release {
    fn from(release: EncodedRelease) -> Self {
        Self {
            number: release.number,
            services: release.services,
            routes: release.routes.into_iter().map(Route::from).collect(),
            customers: None,
            idle_limit_ms: release.idle_limit_ms,
        }
    }
}

impl From<Route> for EncodedRoute {
    fn from(route: Route) -> Self {
        Self {
            name: route.name,
            host: route.host,
            path: route.path,
            service: route.service,
            shares: route.shares,
            terms: EncodedTerms {
                repeat: route.terms.repeat,
                class: route.terms.class,
                time_limit_ms: route.terms.time_limit_ms,
                objective_ms: route.terms.objective_ms,
                max_attempts: route.terms.max_attempts,
            },
        }
    }
}

impl From<EncodedRoute> for Route {
    fn from(route: EncodedRoute) -> Self {
        Self {
            name: route.name,
            host: route.host,
            path: route.path,
            service: route.service,
            shares: route.shares,
            terms: RouteTerms {
                repeat: route.terms.repeat,
                class: route.terms.class,
                time_limit_ms: route.terms.time_limit_ms,
                objective_ms: route.terms.objective_ms,
                max_attempts: route.terms.max_attempts,
                is_public: false,
                priority: None,
            },
        }
    }
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
