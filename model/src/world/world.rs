//! The configuration in force, as a persistent structure.
//!
//! A clone shares everything with its origin, so a note costs its own size
//! and not that of the configuration.

use std::sync::Arc;

use imbl::HashMap;
use imbl::OrdMap;

use super::Closing;
use super::Customer;
use super::Link;
use super::Route;
use super::Service;
use super::Target;

/// Segments of a path that a lookup looks at.
const MAX_ROUTE_SEGMENTS: usize = 16;

/// The configuration after a release note.
#[derive(Clone, Debug, Default)]
pub struct World {
    /// Number of the note in force; 0 before the first.
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
    /// Links between data centres, by both ends in order.
    pub links: HashMap<(Arc<str>, Arc<str>), Arc<Link>>,
    /// Submissions of the latest notes, by number.
    pub submissions: OrdMap<u64, Arc<str>>,
    /// Targets by service and name.
    targets_by_service: HashMap<Arc<str>, OrdMap<Arc<str>, Arc<Target>>>,
    /// Routes by host and path.
    routes_by_path: HashMap<Arc<str>, Arc<Route>>,
}

impl World {
    /// The route for a request, the longest path first.
    ///
    /// The cost depends on the path's segments, not on the number of routes.
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

    /// The targets of a service, ordered by name.
    pub fn targets_of(&self, service: &str) -> impl Iterator<Item = &Arc<Target>> {
        self.targets_by_service
            .get(service)
            .into_iter()
            .flat_map(OrdMap::values)
    }

    /// One-way time between two data centres in microseconds; 0 within one.
    pub fn one_way_us(&self, from: &str, to: &str) -> u64 {
        if from == to {
            return 0;
        }
        self.links
            .get(&link_key(from, to))
            .map_or(0, |link| link.one_way_us)
    }

    /// Puts a target in, in place of one of the same name.
    pub fn put_target(&mut self, target: Target) {
        self.take_target(&target.name.clone());
        let target = Arc::new(target);
        self.targets_by_service
            .entry(target.service.clone())
            .or_default()
            .insert(target.name.clone(), target.clone());
        self.targets.insert(target.name.clone(), target);
    }

    /// Takes a target out.
    pub fn take_target(&mut self, name: &str) {
        let Some(target) = self.targets.remove(name) else {
            return;
        };
        if let Some(siblings) = self.targets_by_service.get_mut(&target.service) {
            siblings.remove(name);
        }
    }

    /// Puts a route in, in place of one of the same name.
    pub fn put_route(&mut self, route: Route) {
        self.take_route(&route.name.clone());
        let route = Arc::new(route);
        self.routes_by_path
            .insert(key_of(&route).into(), route.clone());
        self.routes.insert(route.name.clone(), route);
    }

    /// Takes a route out.
    pub fn take_route(&mut self, name: &str) {
        if let Some(route) = self.routes.remove(name) {
            self.routes_by_path.remove(key_of(&route).as_str());
        }
    }

    /// The route that stands for the same host and path, if one does.
    pub fn route_at(&self, route: &Route) -> Option<&Arc<Route>> {
        self.routes_by_path.get(key_of(route).as_str())
    }

    /// Puts a link in, in place of one between the same ends.
    pub fn put_link(&mut self, link: Link) {
        self.links
            .insert(link_key(&link.from, &link.to), Arc::new(link));
    }

    /// The open closing that covers a service at `now_ms`.
    pub fn closing_over(&self, service: &str, now_ms: u64) -> Option<&Arc<Closing>> {
        self.closings
            .values()
            .find(|closing| closing.is_open(now_ms) && closing.covers(service))
    }
}

fn key_of(route: &Route) -> String {
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
