//! Targets that have said in their responses that they leave.
//!
//! The statement is a property of the target's process, which does not take it back, whatever the
//! registry says of the target, and as long as no other process stands behind its name. The records
//! therefore outlive the entries of the targets and their load counters.
//!
//! What a target has said to this instance closes it here after a time limit. What other instances
//! have heard closes nothing, as it may be wrong; but requests go to other targets where there are
//! any. The first instance that hears it broadcasts it.

use std::collections::BTreeMap;
use std::sync::Arc;

use model::configuration::UNKNOWN_INCARNATION;

use super::Action;
use super::Instance;
use super::LogEvent;
use super::Message;
use crate::notes::IdRange;
use crate::routing::ChoiceStrategy;
use crate::routing::TargetLoad;
use crate::routing::TargetProcess;

/// Time for which the statement of a target without an entry is kept, in microseconds: entries may
/// lapse in an outage of the registry and return after it.
const KEEP_US: u64 = 15 * 60 * 1_000_000;
/// Time for which the statement of a process of unknown incarnation is kept, in microseconds: the
/// next process under its name cannot be told from it.
const KEEP_UNKNOWN_US: u64 = 60 * 1_000_000;
/// Interval at which old statements are looked for, in microseconds.
const CLEANUP_PERIOD_US: u64 = 10 * 1_000_000;
/// Maximum number of processes in a message.
const PROCESSES_PER_MESSAGE: usize = 1_000;

/// The processes that leave by their own word.
#[derive(Debug, Default)]
pub(super) struct Departures {
    records: BTreeMap<TargetProcess, Departure>,
    next_cleanup_us: u64,
}

#[derive(Clone, Copy, Debug)]
struct Departure {
    /// When the process first said so to this instance; `None` if only others have heard it.
    stated_us: Option<u64>,
    /// When it was last heard of, in microseconds.
    heard_us: u64,
}

impl Departures {
    /// Records that a process has said to this instance that it leaves. Returns whether this was
    /// not known from another instance either.
    pub(super) fn record_statement(&mut self, now_us: u64, process: &TargetProcess) -> bool {
        let known = self.records.get(process);
        let departure = Departure {
            stated_us: known.and_then(|known| known.stated_us).or(Some(now_us)),
            heard_us: now_us,
        };
        self.records.insert(process.clone(), departure).is_none()
    }

    /// Records that a process has said to another instance that it leaves. Returns whether this was
    /// not known.
    pub(super) fn record_report(&mut self, now_us: u64, process: &TargetProcess) -> bool {
        let is_new = !self.records.contains_key(process);
        if is_new {
            let departure = Departure {
                stated_us: None,
                heard_us: now_us,
            };
            self.records.insert(process.clone(), departure);
        }
        is_new
    }

    /// Passes on to the load counters of a process what is known of its departure.
    pub(super) fn apply(&self, process: &TargetProcess, load: &TargetLoad) {
        let Some(departure) = self.records.get(process) else {
            return;
        };
        match departure.stated_us {
            Some(stated_us) => load.record_departure(stated_us),
            None => load.report_departure(),
        }
    }

    /// The processes that leave.
    pub(super) fn processes(&self) -> impl Iterator<Item = &TargetProcess> {
        self.records.keys()
    }

    /// Forgets a process that another one has replaced although their incarnations are unknown.
    pub(super) fn forget_unknown(&mut self, process: &TargetProcess) {
        if process.incarnation == UNKNOWN_INCARNATION {
            self.records.remove(process);
        }
    }

    /// Forgets processes without an entry after a time. Returns whether the cleanup was due.
    pub(super) fn cleanup(
        &mut self,
        now_us: u64,
        has_entry: impl Fn(&TargetProcess) -> bool,
    ) -> bool {
        if now_us < self.next_cleanup_us {
            return false;
        }
        self.next_cleanup_us = now_us + CLEANUP_PERIOD_US;
        self.records.retain(|process, departure| {
            let age_us = now_us.saturating_sub(departure.heard_us);
            match process.incarnation {
                UNKNOWN_INCARNATION => age_us < KEEP_UNKNOWN_US,
                _ => age_us < KEEP_US || has_entry(process),
            }
        });
        true
    }
}

impl Instance {
    /// Records that a target has said to this instance that it leaves.
    pub(super) fn record_stated_departure(&mut self, now_us: u64, process: &TargetProcess) {
        let departures = &mut self.table_builder.departures;
        let is_new = departures.record_statement(now_us, process);
        self.mark_leaving(process);
        if is_new {
            self.apply_new_departure(now_us, process);
            let own = self.membership.own().id.clone();
            self.log_departure(process, &own);
            let ids = self.other_ids();
            self.broadcast_departures(now_us, std::slice::from_ref(process), &ids);
        }
    }

    /// Records departures that other instances have heard of, and forwards them within `id_range`.
    pub(super) fn handle_departures(
        &mut self,
        now_us: u64,
        from: &Arc<str>,
        processes: &[TargetProcess],
        id_range: Option<&IdRange>,
    ) {
        if let Some(id_range) = id_range {
            let ids = id_range.select_ids(&self.other_ids());
            self.broadcast_departures(now_us, processes, &ids);
        }
        for process in processes {
            let departures = &mut self.table_builder.departures;
            if departures.record_report(now_us, process) {
                self.mark_leaving(process);
                self.apply_new_departure(now_us, process);
                self.log_departure(process, from);
            }
        }
    }

    /// Sends the known departures to an instance that has just started.
    pub(super) fn send_departures(&mut self, now_us: u64, to: &Arc<str>) {
        let processes = self.table_builder.departures.processes();
        let processes: Vec<TargetProcess> = processes.cloned().collect();
        for processes in processes.chunks(PROCESSES_PER_MESSAGE) {
            let processes = processes.to_vec();
            let id_range = None;
            self.send(
                now_us,
                to,
                Message::Departures {
                    processes,
                    id_range,
                },
            );
        }
    }

    pub(super) fn forget_old_departures(&mut self, now_us: u64) {
        let targets = &self.note_log.configuration().targets;
        let has_entry = |process: &TargetProcess| {
            let configured = targets.get(&process.target);
            configured.is_some_and(|target| target.incarnation == process.incarnation)
        };
        self.table_builder.forget_former(now_us, has_entry);
    }

    /// Updates what depends on the capacity of a target that leaves, if it is in the configuration.
    fn apply_new_departure(&mut self, now_us: u64, process: &TargetProcess) {
        let Some(target) = self.target_of(process) else {
            return;
        };
        if self.table_builder.choice_strategy == ChoiceStrategy::HealthState {
            self.rebuild_service(&target.service);
        }
        self.update_overload(now_us, &target.service);
    }

    /// Passes a departure on to the load counters of its target, if it is in the configuration.
    fn mark_leaving(&mut self, process: &TargetProcess) {
        if let Some(target) = self.target_of(process) {
            let load = self.table_builder.load_of(&target);
            self.table_builder.departures.apply(process, &load);
        }
    }

    fn log_departure(&mut self, process: &TargetProcess, by: &Arc<str>) {
        self.actions.push(Action::Log(LogEvent::DepartureStated {
            process: process.clone(),
            by: by.clone(),
        }));
    }

    fn broadcast_departures(&mut self, now_us: u64, processes: &[TargetProcess], ids: &[Arc<str>]) {
        for (to, id_range) in crate::notes::partition_receivers(ids, &mut self.rng) {
            let processes = processes.to_vec();
            self.send(
                now_us,
                &to,
                Message::Departures {
                    processes,
                    id_range,
                },
            );
        }
    }
}
