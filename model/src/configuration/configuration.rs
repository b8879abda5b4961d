//! The configuration in force, held in persistent data structures.
//!
//! A clone shares its data with the original, so the cost of applying a note
//! depends on the size of the note and not on that of the configuration.

use std::ops::RangeInclusive;
use std::sync::Arc;

use imbl::HashMap;
use imbl::OrdMap;

use super::Closing;
use super::Customer;
use super::KeyDigest;
use super::Link;
use super::Route;
use super::Service;
use super::Target;

/// Number of leading path segments considered by a route lookup.
pub const MAX_ROUTE_SEGMENTS: usize = 16;

/// One version of the configuration: the state after a release note.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    /// Number of the note in force; 0 before the first note.
    pub number: u64,
    /// Services by name.
    pub services: HashMap<Arc<str>, Arc<Service>>,
    /// Targets by name.
    pub targets: HashMap<Arc<str>, Arc<Target>>,
    /// Routes by name.
    pub routes: HashMap<Arc<str>, Arc<Route>>,
    /// Customers by name.
    pub customers: HashMap<Arc<str>, Arc<Customer>>,
    /// Closings by name.
    pub closings: HashMap<Arc<str>, Arc<Closing>>,
    /// Links between data centres, by their two ends in lexicographic order.
    pub links: HashMap<(Arc<str>, Arc<str>), Arc<Link>>,
    /// Submission ids of the most recent notes, by note number.
    pub submissions: OrdMap<u64, Arc<str>>,
    /// Targets by service, then by name.
    targets_by_service: HashMap<Arc<str>, OrdMap<Arc<str>, Arc<Target>>>,
    /// Routes by host and path.
    routes_by_path: HashMap<Arc<str>, Arc<Route>>,
    /// Customers by the digests of their keys.
    customers_by_key: HashMap<KeyDigest, Arc<Customer>>,
    /// Number of customers whose callers identify themselves by keys.
    keyed_customers: usize,
    /// Number of routes and customers with a priority.
    prioritized: usize,
    /// Whether callers need keys even if no customer has any.
    pub(crate) are_keys_required: bool,
}

impl Configuration {
    /// Returns the route with the longest path that matches a request.
    ///
    /// For equal paths, a route for the given host takes precedence over one for
    /// all hosts. The cost depends on the number of segments in the path, not on
    /// the number of routes.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let mut prefix = path.trim_end_matches('/');
        let excess = prefix
            .matches('/')
            .count()
            .saturating_sub(MAX_ROUTE_SEGMENTS);
        for _ in 0..excess {
            prefix = &prefix[..prefix.rfind('/')?];
        }
        loop {
            let route = self
                .routes_by_path
                .get(route_key(Some(host), prefix).as_str())
                .or_else(|| self.routes_by_path.get(route_key(None, prefix).as_str()));
            if route.is_some_and(|route| route.covers(path)) {
                return route;
            }
            prefix = &prefix[..prefix.rfind('/')?];
        }
    }

    /// Returns the targets of a service, ordered by name.
    pub fn targets_of(&self, service: &str) -> impl Iterator<Item = &Arc<Target>> {
        self.targets_by_service
            .get(service)
            .into_iter()
            .flat_map(OrdMap::values)
    }

    /// Returns the one-way latency between two data centres in microseconds.
    ///
    /// The latency is 0 within a data centre and where no link is configured.
    pub fn one_way_us(&self, from: &str, to: &str) -> u64 {
        if from == to {
            return 0;
        }
        self.links
            .get(&link_key(from, to))
            .map_or(0, |link| link.one_way_us)
    }

    /// Inserts a target, replacing any target of the same name.
    pub fn insert_target(&mut self, target: Target) {
        self.remove_target(&target.name.clone());
        let target = Arc::new(target);
        self.targets_by_service
            .entry(target.service.clone())
            .or_default()
            .insert(target.name.clone(), target.clone());
        self.targets.insert(target.name.clone(), target);
    }

    /// Removes a target, if it exists.
    pub fn remove_target(&mut self, name: &str) {
        let Some(target) = self.targets.remove(name) else {
            return;
        };
        if let Some(siblings) = self.targets_by_service.get_mut(&target.service) {
            siblings.remove(name);
        }
    }

    /// Inserts a route, replacing any route of the same name.
    pub fn insert_route(&mut self, route: Route) {
        self.remove_route(&route.name.clone());
        let route = Arc::new(route);
        self.prioritized += usize::from(route.terms.priority.is_some());
        self.routes_by_path
            .insert(key_of_route(&route).into(), route.clone());
        self.routes.insert(route.name.clone(), route);
    }

    /// Removes a route, if it exists.
    pub fn remove_route(&mut self, name: &str) {
        if let Some(route) = self.routes.remove(name) {
            self.prioritized -= usize::from(route.terms.priority.is_some());
            self.routes_by_path.remove(key_of_route(&route).as_str());
        }
    }

    /// Returns the existing route with the same host and path as `route`.
    pub fn route_with_same_path(&self, route: &Route) -> Option<&Arc<Route>> {
        self.routes_by_path.get(key_of_route(route).as_str())
    }

    /// Whether callers identify themselves by keys, except on public routes.
    pub fn requires_keys(&self) -> bool {
        self.are_keys_required || self.keyed_customers > 0
    }

    /// Whether callers need keys even if no customer has any.
    pub fn are_keys_required(&self) -> bool {
        self.are_keys_required
    }

    /// Returns the customer that holds a key.
    pub fn customer_by_key(&self, key: &KeyDigest) -> Option<&Arc<Customer>> {
        self.customers_by_key.get(key)
    }

    /// Returns the range of the priorities that requests of a service may have; `None` if none has
    /// one.
    pub fn priorities_of(&self, service: &str) -> Option<RangeInclusive<u8>> {
        if self.prioritized == 0 {
            return None;
        }
        let refers = |route: &&Arc<Route>| route.services().any(|name| **name == *service);
        let mut range: Option<RangeInclusive<u8>> = None;
        let mut add = |priority: u8| {
            let (start, end) = range
                .as_ref()
                .map_or((priority, priority), |range| (*range.start(), *range.end()));
            range = Some(start.min(priority)..=end.max(priority));
        };
        for route in self.routes.values().filter(refers) {
            let terms = &route.terms;
            let needs_key = self.requires_keys() && !terms.is_public;
            let customers = self.customers.values().filter(|_| !terms.is_public);
            let own = customers.filter_map(|customer| customer.priority.or(terms.priority));
            own.for_each(&mut add);
            terms
                .priority
                .filter(|_| !needs_key)
                .into_iter()
                .for_each(&mut add);
        }
        range
    }

    /// Inserts a customer, replacing any customer of the same name.
    pub fn insert_customer(&mut self, customer: Customer) {
        self.remove_customer(&customer.name.clone());
        let customer = Arc::new(customer);
        self.prioritized += usize::from(customer.priority.is_some());
        if let Some(keys) = &customer.keys {
            self.keyed_customers += 1;
            for key in keys {
                self.customers_by_key.insert(*key, customer.clone());
            }
        }
        self.customers.insert(customer.name.clone(), customer);
    }

    /// Removes a customer, if it exists.
    pub fn remove_customer(&mut self, name: &str) {
        let Some(customer) = self.customers.remove(name) else {
            return;
        };
        self.prioritized -= usize::from(customer.priority.is_some());
        let Some(keys) = &customer.keys else {
            return;
        };
        self.keyed_customers -= 1;
        for key in keys {
            let holder = self.customers_by_key.get(key);
            if holder.is_some_and(|holder| holder.name == customer.name) {
                self.customers_by_key.remove(key);
            }
        }
    }

    /// Inserts a link, replacing any link between the same data centres.
    pub fn insert_link(&mut self, link: Link) {
        self.links
            .insert(link_key(&link.from, &link.to), Arc::new(link));
    }

    /// Returns a closing that is open at `now_ms` and covers the service.
    pub fn open_closing_for(&self, service: &str, now_ms: u64) -> Option<&Arc<Closing>> {
        self.closings
            .values()
            .find(|closing| closing.is_open(now_ms) && closing.covers(service))
    }
}

fn key_of_route(route: &Route) -> String {
    route_key(route.host.as_deref(), route.path.trim_end_matches('/'))
}

fn route_key(host: Option<&str>, path: &str) -> String {
    format!("{}|{path}", host.unwrap_or("*"))
}

fn link_key(from: &str, to: &str) -> (Arc<str>, Arc<str>) {
    if from <= to {
        (from.into(), to.into())
    } else {
        (to.into(), from.into())
    }
}
