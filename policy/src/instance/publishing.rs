//! Rebuilding the routing tables affected by a note or a health decision, and publishing
//! them.

use std::sync::Arc;

use model::Note;

use super::Instance;
use crate::invariant;
use crate::invariant::Invariant;
use crate::routing::SubsetPlace;
use crate::routing::permits_subsets;

impl Instance {
    /// Rebuilds the tables affected by a note.
    pub(super) fn rebuild_for_note(&mut self, text: &str) {
        if let Ok(note) = serde_json::from_str::<Note>(text) {
            self.rebuild_for_change(&note);
        }
    }

    /// Rebuilds the tables affected by a change that the configuration already contains.
    pub(super) fn rebuild_for_change(&mut self, note: &Note) {
        for name in &note.targets.withdraw {
            self.table_builder.withdraw(name);
        }
        let configuration = self.note_log.configuration().clone();
        let old = &self.routing_table.configuration;
        let mut services: Vec<Arc<str>> = note.services.withdraw.clone();
        services.extend(
            note.services
                .add
                .iter()
                .chain(&note.services.change)
                .map(|service| service.name.clone()),
        );
        services.extend(
            note.targets
                .add
                .iter()
                .chain(&note.targets.change)
                .map(|target| target.service.clone()),
        );
        let removed_or_changed = note
            .targets
            .withdraw
            .iter()
            .chain(note.targets.change.iter().map(|target| &target.name));
        services.extend(
            removed_or_changed
                .filter_map(|name| old.targets.get(name))
                .map(|target| target.service.clone()),
        );
        let changes_subsets = permits_subsets(&configuration) != permits_subsets(old);
        if !note.links.is_empty() || changes_subsets {
            services = configuration.services.keys().cloned().collect();
        }
        self.routing_table.configuration = configuration;
        for service in services {
            self.rebuild_service(&service);
        }
        self.has_unpublished_table = true;
        self.drop_withdrawn_services();
    }

    /// Adopts the number of a note that has no effect; no service table changes.
    pub(super) fn apply_void_note(&mut self) {
        self.routing_table.configuration = self.note_log.configuration().clone();
        self.has_unpublished_table = true;
    }

    pub(super) fn drop_withdrawn_services(&mut self) {
        let configuration = self.note_log.configuration();
        let keep = |name: &str| configuration.services.contains_key(name);
        self.observer.retain(keep);
        self.local_evidence.retain(keep);
        self.owners.retain(keep);
        self.health_monitor.retain(configuration, keep);
        self.drop_withdrawn_latencies();
    }

    /// Rebuilds the tables of all services.
    pub(super) fn rebuild_all(&mut self) {
        let configuration = self.note_log.configuration().clone();
        let withdrawn: Vec<Arc<str>> = self
            .routing_table
            .configuration
            .targets
            .keys()
            .filter(|name| !configuration.targets.contains_key(*name))
            .cloned()
            .collect();
        for name in withdrawn {
            self.table_builder.withdraw(&name);
        }
        self.routing_table.services.clear();
        let services: Vec<Arc<str>> = configuration.services.keys().cloned().collect();
        self.routing_table.configuration = configuration;
        for service in services {
            self.rebuild_service(&service);
        }
        self.drop_withdrawn_services();
    }

    /// Determines the instance's place among the present ones, and rebuilds the tables if their
    /// subsets may have changed.
    pub(super) fn update_subset_place(&mut self) {
        let own = self.membership.own();
        let present = self.membership.present();
        let instances = present.map(|member| (&member.id, &member.data_centre));
        let place = SubsetPlace::new(&own.id, &own.data_centre, instances);
        if self.table_builder.subset_place == place {
            return;
        }
        self.table_builder.subset_place = place;
        if !permits_subsets(&self.routing_table.configuration) {
            return;
        }
        let services: Vec<Arc<str>> = self.routing_table.services.keys().cloned().collect();
        for service in services {
            self.rebuild_service(&service);
        }
    }

    pub(super) fn rebuild_service_of_target(&mut self, target: &str) {
        let service = self
            .note_log
            .configuration()
            .targets
            .get(target)
            .map(|target| target.service.clone());
        if let Some(service) = service {
            self.rebuild_service(&service);
        }
    }

    pub(super) fn rebuild_service(&mut self, name: &Arc<str>) {
        self.has_unpublished_table = true;
        let configuration = self.note_log.configuration();
        let Some(service) = configuration.services.get(name).cloned() else {
            self.routing_table.services.remove(name);
            return;
        };
        let own_data_centre = &self.membership.own().data_centre;
        let table = self.table_builder.build(
            configuration,
            &service,
            &self.decision_table,
            own_data_centre,
        );
        self.routing_table.services.insert(name.clone(), table);
    }

    pub(super) fn publish(&mut self) {
        if !self.has_unpublished_table {
            return;
        }
        self.has_unpublished_table = false;
        let before = self.shared.table().configuration.number;
        if invariant::check(
            Invariant::NoRevert,
            self.routing_table.configuration.number >= before,
        ) {
            self.shared.publish(self.routing_table.clone());
        }
    }
}
