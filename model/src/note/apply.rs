//! Applies a note to a configuration to produce the next one.
//!
//! The result depends only on the note and the configuration before it, so all
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
use crate::Configuration;
use crate::configuration::Named;
use crate::configuration::Service;

/// Number of recent submission ids that a configuration stores in order to detect a
/// repeated submission.
const MAX_STORED_SUBMISSIONS: usize = 4_096;

impl Note {
    /// Returns the configuration that results from applying the note to `configuration`.
    ///
    /// # Errors
    ///
    /// Returns [`NoteError`] if the note cannot be applied to `configuration`.
    pub fn apply(&self, configuration: &Configuration) -> Result<Configuration> {
        self.check_size()?;
        self.apply_unbounded(configuration)
    }

    /// Like [`Note::apply`], for a note that is not stored and may therefore have any size.
    ///
    /// # Errors
    ///
    /// Returns [`NoteError`] if the note cannot be applied to `configuration`.
    pub fn apply_unbounded(&self, configuration: &Configuration) -> Result<Configuration> {
        self.check_closings(configuration)?;
        let mut next = self.skip(configuration);
        self.check_existence(configuration)?;
        self.apply_changes(&mut next)?;
        self.check_values(&next)?;
        check_references(self, &next)?;
        Ok(next)
    }

    /// Returns the configuration after a note that does not take effect.
    ///
    /// Only the number advances and the submission is recorded.
    pub fn skip(&self, configuration: &Configuration) -> Configuration {
        let mut next = configuration.clone();
        next.number += 1;
        next.submissions
            .insert(next.number, self.submission.clone());
        if next.submissions.len() > MAX_STORED_SUBMISSIONS {
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

    fn check_existence(&self, configuration: &Configuration) -> Result<()> {
        check_delta_existence(&self.services, &configuration.services)?;
        check_delta_existence(&self.targets, &configuration.targets)?;
        check_delta_existence(&self.routes, &configuration.routes)?;
        check_delta_existence(&self.customers, &configuration.customers)?;
        check_delta_existence(&self.closings, &configuration.closings)
    }

    fn apply_changes(&self, next: &mut Configuration) -> Result<()> {
        apply_delta(&self.services, &mut next.services);
        apply_delta(&self.closings, &mut next.closings);
        // All old keys are removed first, so that a key can move to another customer.
        let changed = self.customers.change.iter().map(|customer| &customer.name);
        for name in self.customers.withdraw.iter().chain(changed) {
            next.remove_customer(name);
        }
        next.are_keys_required = self.keys_required.unwrap_or(next.are_keys_required);
        for customer in self.customers.add.iter().chain(&self.customers.change) {
            customer.check(next)?;
            next.insert_customer(customer.clone());
        }
        for name in &self.targets.withdraw {
            next.remove_target(name);
        }
        for target in self.targets.add.iter().chain(&self.targets.change) {
            next.insert_target(target.clone());
        }
        // All old routes are removed first, so that routes can swap their paths.
        let changed = self.routes.change.iter().map(|route| &route.name);
        for name in self.routes.withdraw.iter().chain(changed) {
            next.remove_route(name);
        }
        for route in self.routes.add.iter().chain(&self.routes.change) {
            route.check(next)?;
            next.insert_route(route.clone());
        }
        for link in &self.links {
            next.insert_link(link.clone());
        }
        Ok(())
    }

    fn check_values(&self, next: &Configuration) -> Result<()> {
        check_delta_values(&self.services, next)?;
        check_delta_values(&self.targets, next)?;
        check_delta_values(&self.routes, next)?;
        check_delta_values(&self.customers, next)?;
        check_delta_values(&self.closings, next)
    }

    /// Rejects changes to, and withdrawals of, objects that an open closing covers.
    ///
    /// Ending a closing early and adding capacity are allowed.
    fn check_closings(&self, configuration: &Configuration) -> Result<()> {
        if configuration.closings.is_empty() {
            return Ok(());
        }
        for service in self.affected_services(configuration) {
            if let Some(closing) = configuration.open_closing_for(&service, self.submitted_at_ms) {
                return Err(NoteError::Closing {
                    closing: closing.name.to_string(),
                    service: service.to_string(),
                });
            }
        }
        Ok(())
    }

    fn affected_services(&self, configuration: &Configuration) -> Vec<Arc<str>> {
        let services = self
            .services
            .change
            .iter()
            .map(|service| service.name.clone());
        let changed_targets = self.targets.change.iter().map(|target| &target.name);
        let targets = changed_targets
            .chain(&self.targets.withdraw)
            .filter_map(|name| configuration.targets.get(name))
            .map(|target| target.service.clone());
        let changed_routes = self.routes.change.iter().map(|route| &route.name);
        let routes = changed_routes
            .chain(&self.routes.withdraw)
            .filter_map(|name| configuration.routes.get(name))
            .flat_map(|route| route.services().cloned());
        services
            .chain(self.services.withdraw.iter().cloned())
            .chain(targets)
            .chain(routes)
            .collect()
    }
}

fn check_delta_existence<T: Named>(
    delta: &Delta<T>,
    map: &HashMap<Arc<str>, Arc<T>>,
) -> Result<()> {
    let mut seen = HashSet::new();
    for object in &delta.add {
        let is_repeated = !seen.insert(object.name());
        if is_repeated || map.contains_key(object.name()) {
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
                referenced_by: "the note".to_owned(),
            });
        }
    }
    Ok(())
}

fn apply_delta<T: Named + Clone>(delta: &Delta<T>, map: &mut HashMap<Arc<str>, Arc<T>>) {
    for name in &delta.withdraw {
        map.remove(name);
    }
    for object in delta.add.iter().chain(&delta.change) {
        map.insert(object.name().clone(), Arc::new(object.clone()));
    }
}

fn check_delta_values<T: Check>(delta: &Delta<T>, next: &Configuration) -> Result<()> {
    delta
        .add
        .iter()
        .chain(&delta.change)
        .try_for_each(|object| object.check(next))
}

/// Rejects the withdrawal of a service that targets, routes or closings still refer to.
fn check_references(note: &Note, next: &Configuration) -> Result<()> {
    for service in &note.services.withdraw {
        let target = next
            .targets_of(service)
            .next()
            .map(|target| reference_of(&**target));
        let route = next
            .routes
            .values()
            .find(|route| route.services().any(|name| name == service))
            .map(|route| reference_of(&**route));
        let closing = next
            .closings
            .values()
            .find(|closing| closing.covers(service))
            .map(|closing| reference_of(&**closing));
        if let Some(referenced_by) = target.or(route).or(closing) {
            return Err(NoteError::Missing {
                kind: Service::KIND,
                name: service.to_string(),
                referenced_by,
            });
        }
    }
    Ok(())
}

fn reference_of<T: Named>(object: &T) -> String {
    format!("{} `{}`", T::KIND, object.name())
}
