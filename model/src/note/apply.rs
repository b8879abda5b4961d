//! Turning one world into the next by a note.
//!
//! The result depends on the note and the world before it alone, so that all
//! instances agree on whether a note takes effect.

use std::collections::HashSet;
use std::sync::Arc;

use imbl::HashMap;

use super::Delta;
use super::MAX_NOTE_BYTES;
use super::Note;
use super::NoteError;
use super::Result;
use super::check::Check;
use crate::World;
use crate::world::Named;
use crate::world::Service;

/// Submissions that a world remembers, so that a repeated one is recognised.
const REMEMBERED_SUBMISSIONS: usize = 4_096;

impl Note {
    /// Applies the note as the one after `world`.
    ///
    /// # Errors
    ///
    /// Returns [`NoteError`] where the note does not fit `world`; `world` is
    /// left as it is.
    pub fn apply(&self, world: &World) -> Result<World> {
        self.check_size()?;
        self.check_closings(world)?;
        let mut next = self.skip(world);
        self.check_existence(world)?;
        self.change(&mut next)?;
        self.check_values(&next)?;
        check_references(self, &next)?;
        Ok(next)
    }

    /// The world after a note that does not take effect.
    pub fn skip(&self, world: &World) -> World {
        let mut next = world.clone();
        next.number += 1;
        next.submissions
            .insert(next.number, self.submission.clone());
        if next.submissions.len() > REMEMBERED_SUBMISSIONS {
            next.submissions = next.submissions.without_min().1;
        }
        next
    }

    fn check_size(&self) -> Result<()> {
        let bytes = serde_json::to_vec(self).map_or(usize::MAX, |text| text.len());
        if bytes > MAX_NOTE_BYTES {
            return Err(NoteError::TooLarge {
                bytes,
                limit: MAX_NOTE_BYTES,
            });
        }
        Ok(())
    }

    fn check_existence(&self, world: &World) -> Result<()> {
        existence(&self.services, &world.services)?;
        existence(&self.targets, &world.targets)?;
        existence(&self.routes, &world.routes)?;
        existence(&self.customers, &world.customers)?;
        existence(&self.closings, &world.closings)
    }

    fn change(&self, next: &mut World) -> Result<()> {
        put_all(&self.services, &mut next.services);
        put_all(&self.customers, &mut next.customers);
        put_all(&self.closings, &mut next.closings);
        for name in &self.targets.withdraw {
            next.take_target(name);
        }
        for target in self.targets.add.iter().chain(&self.targets.change) {
            next.put_target(target.clone());
        }
        // All go first, so that routes may exchange their paths.
        let changed = self.routes.change.iter().map(|route| &route.name);
        for name in self.routes.withdraw.iter().chain(changed) {
            next.take_route(name);
        }
        for route in self.routes.add.iter().chain(&self.routes.change) {
            route.check(next)?;
            next.put_route(route.clone());
        }
        for link in &self.links {
            next.put_link(link.clone());
        }
        Ok(())
    }

    fn check_values(&self, next: &World) -> Result<()> {
        values(&self.services, next)?;
        values(&self.targets, next)?;
        values(&self.routes, next)?;
        values(&self.customers, next)?;
        values(&self.closings, next)
    }

    /// Refuses to change or withdraw what an open closing covers.
    ///
    /// Ending a closing before its time and adding capacity are allowed.
    fn check_closings(&self, world: &World) -> Result<()> {
        if world.closings.is_empty() {
            return Ok(());
        }
        for service in self.touched_services(world) {
            if let Some(closing) = world.closing_over(&service, self.submitted_at_ms) {
                return Err(NoteError::Closing {
                    closing: closing.name.to_string(),
                    service: service.to_string(),
                });
            }
        }
        Ok(())
    }

    fn touched_services(&self, world: &World) -> Vec<Arc<str>> {
        let services = self
            .services
            .change
            .iter()
            .map(|service| service.name.clone());
        let changed_targets = self.targets.change.iter().map(|target| &target.name);
        let targets = changed_targets
            .chain(&self.targets.withdraw)
            .filter_map(|name| world.targets.get(name))
            .map(|target| target.service.clone());
        let changed_routes = self.routes.change.iter().map(|route| &route.name);
        let routes = changed_routes
            .chain(&self.routes.withdraw)
            .filter_map(|name| world.routes.get(name))
            .flat_map(|route| route.services().cloned());
        services
            .chain(self.services.withdraw.iter().cloned())
            .chain(targets)
            .chain(routes)
            .collect()
    }
}

fn existence<T: Named>(delta: &Delta<T>, map: &HashMap<Arc<str>, Arc<T>>) -> Result<()> {
    let mut seen = HashSet::new();
    for object in &delta.add {
        let twice = !seen.insert(object.name());
        if twice || map.contains_key(object.name()) {
            return Err(NoteError::Duplicate {
                kind: T::KIND,
                name: object.name().to_string(),
            });
        }
    }
    let changed = delta.change.iter().map(Named::name);
    for name in changed.chain(&delta.withdraw) {
        if !map.contains_key(name) {
            return Err(NoteError::Missing {
                kind: T::KIND,
                name: name.to_string(),
                by: "the note".to_owned(),
            });
        }
    }
    Ok(())
}

fn put_all<T: Named + Clone>(delta: &Delta<T>, map: &mut HashMap<Arc<str>, Arc<T>>) {
    for name in &delta.withdraw {
        map.remove(name);
    }
    for object in delta.add.iter().chain(&delta.change) {
        map.insert(object.name().clone(), Arc::new(object.clone()));
    }
}

fn values<T: Check>(delta: &Delta<T>, next: &World) -> Result<()> {
    delta
        .add
        .iter()
        .chain(&delta.change)
        .try_for_each(|object| object.check(next))
}

/// Refuses to withdraw a service that targets, routes or closings still name.
fn check_references(note: &Note, next: &World) -> Result<()> {
    for service in &note.services.withdraw {
        let target = next
            .targets_of(service)
            .next()
            .map(|target| named_by(&**target));
        let route = next
            .routes
            .values()
            .find(|route| route.services().any(|name| name == service))
            .map(|route| named_by(&**route));
        let closing = next
            .closings
            .values()
            .find(|closing| closing.covers(service))
            .map(|closing| named_by(&**closing));
        if let Some(by) = target.or(route).or(closing) {
            return Err(NoteError::Missing {
                kind: Service::KIND,
                name: service.to_string(),
                by,
            });
        }
    }
    Ok(())
}

fn named_by<T: Named>(object: &T) -> String {
    format!("{} `{}`", T::KIND, object.name())
}
