//! Targets that have said in their responses that they leave.
//!
//! The statement is a property of the target's process, which does not take it back, whatever the
//! registry says of the target, and as long as no other process stands behind its name. The records
//! therefore outlive the entries of the targets and their load counters.
//!
//! A response does not name its process, which is that of the target's entry as far as known. After
//! a restart the entry may come late, so that the next process has spoken under the incarnation of
//! the former one. A process that follows one that leaves therefore counts as leaving too, until the
//! response to a status check shows whether it does: a target that leaves says so in all responses.
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
/// Time after which a status check without a usable response is repeated, in microseconds. It is
/// longer than the check may take.
const RECHECK_PERIOD_US: u64 = 2_500_000;
/// Interval at which old statements are looked for, in microseconds.
const CLEANUP_PERIOD_US: u64 = 10 * 1_000_000;
/// Maximum number of processes in a message.
const PROCESSES_PER_MESSAGE: usize = 1_000;

/// The processes that leave by their own word.
#[derive(Debug, Default)]
pub(super) struct Departures {
    records: BTreeMap<TargetProcess, Departure>,
    /// The last statement under each name that may be one of the next process.
    statements: BTreeMap<Arc<str>, Statement>,
    /// Processes that count as leaving until they are checked, and when to check them.
    unchecked: BTreeMap<TargetProcess, Check>,
    next_cleanup_us: u64,
}

/// What was said under a name to this instance.
#[derive(Clone, Copy, Debug)]
struct Statement {
    /// Incarnation in the target's entry at that time.
    incarnation: u64,
    first_us: u64,
    last_us: u64,
}

/// A status check by which a process is to show whether it leaves.
#[derive(Clone, Copy, Debug)]
struct Check {
    /// When it was started, in microseconds; `None` before.
    started_us: Option<u64>,
    /// When it is due, or due again, in microseconds.
    due_us: u64,
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
        let statement = self.statements.entry(process.target.clone());
        let statement = statement.or_insert(Statement {
            incarnation: process.incarnation,
            first_us: now_us,
            last_us: now_us,
        });
        statement.incarnation = process.incarnation;
        statement.last_us = now_us;
        let known = self.records.get(process);
        let known_us = known.and_then(|known| known.stated_us);
        let departure = Departure {
            // What was kept for the process before may have been the word of this one.
            stated_us: known_us.or(Some(statement.first_us)),
            heard_us: now_us,
        };
        self.unchecked.remove(process);
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

    /// Passes on to the load counters of a process what is known of its departure. If another process
    /// has said under the same name that it leaves, a check of this one becomes due.
    pub(super) fn apply(&mut self, process: &TargetProcess, load: &TargetLoad) {
        let known = self.records.get(process);
        if let Some(stated_us) = known.and_then(|known| known.stated_us) {
            return load.record_departure(stated_us);
        }
        if known.is_some() {
            load.report_departure();
        }
        let statement = self.statements.get(&process.target);
        if let Some(statement) = statement
            && statement.incarnation != process.incarnation
        {
            load.record_departure(statement.first_us);
            self.unchecked.entry(process.clone()).or_insert(Check {
                started_us: None,
                due_us: 0,
            });
        }
    }

    /// Whether a process leaves by its own word, or counts as leaving until it is checked.
    pub(super) fn has_stated(&self, process: &TargetProcess) -> bool {
        let known = self.records.get(process);
        known.is_some_and(|known| known.stated_us.is_some()) || self.unchecked.contains_key(process)
    }

    /// Starts the checks that are due; returns their processes.
    fn start_checks(&mut self, now_us: u64) -> Vec<TargetProcess> {
        let due = self.unchecked.iter_mut();
        let due = due.filter(|(_, check)| check.due_us <= now_us);
        due.map(|(process, check)| {
            check.started_us = Some(now_us);
            check.due_us = now_us + RECHECK_PERIOD_US;
            process.clone()
        })
        .collect()
    }

    /// Forgets the check of a process without an entry.
    fn cancel_check(&mut self, process: &TargetProcess) {
        self.unchecked.remove(process);
    }

    /// Records that a process has responded to its check without saying that it leaves. Returns
    /// whether it therefore does not leave: what was said under its name since the check was started
    /// may be its own word.
    fn refute(&mut self, process: &TargetProcess) -> bool {
        let Some(check) = self.unchecked.get_mut(process) else {
            return false;
        };
        let Some(started_us) = check.started_us else {
            return false;
        };
        let statement = self.statements.get(&process.target);
        if statement.is_some_and(|statement| statement.last_us >= started_us) {
            check.due_us = 0;
            return false;
        }
        self.unchecked.remove(process);
        self.statements.remove(&process.target);
        true
    }

    /// The processes that leave.
    pub(super) fn processes(&self) -> impl Iterator<Item = &TargetProcess> {
        self.records.keys()
    }

    /// Forgets a process that another one has replaced although their incarnations are unknown.
    pub(super) fn forget_unknown(&mut self, process: &TargetProcess) {
        if process.incarnation == UNKNOWN_INCARNATION {
            self.records.remove(process);
            self.statements.remove(&process.target);
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
        let records = &self.records;
        self.statements.retain(|name, statement| {
            records.contains_key(&TargetProcess {
                target: name.clone(),
                incarnation: statement.incarnation,
            })
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
        self.suspect_successor(process);
        if is_new {
            self.apply_new_departure(now_us, process);
            let own = self.membership.own().id.clone();
            self.log_departure(process, &own);
            let ids = self.other_ids();
            self.broadcast_departures(now_us, std::slice::from_ref(process), &ids);
        }
    }

    /// Starts the status checks of processes that follow one that leaves.
    pub(super) fn check_departures(&mut self, now_us: u64) {
        for process in self.table_builder.departures.start_checks(now_us) {
            let target = self.target_of(&process);
            let services = &self.note_log.configuration().services;
            let service = target
                .as_ref()
                .and_then(|target| services.get(&target.service));
            match (&target, service) {
                (Some(target), Some(service)) => self.actions.push(Action::CheckDeparture {
                    target: target.clone(),
                    path: service.probe_path.clone(),
                }),
                _ => self.table_builder.departures.cancel_check(&process),
            }
        }
    }

    /// Applies the response to a status check: whether the process says that it leaves. Without a
    /// usable response it is checked again.
    pub(super) fn handle_departure_check(
        &mut self,
        now_us: u64,
        process: &TargetProcess,
        is_leaving: Option<bool>,
    ) {
        match is_leaving {
            Some(true) => self.record_stated_departure(now_us, process),
            Some(false) if self.table_builder.departures.refute(process) => {
                let Some(target) = self.target_of(process) else {
                    return;
                };
                self.table_builder.load_of(&target).clear_departure();
                let process = process.clone();
                self.actions
                    .push(Action::Log(LogEvent::DepartureRefuted { process }));
                self.rebuild_service(&target.service);
                self.update_overload(now_us, &target.service);
            }
            Some(false) | None => {}
        }
    }

    /// Lets the present process of a target count as leaving after a statement for another one,
    /// until it is checked.
    fn suspect_successor(&mut self, process: &TargetProcess) {
        let targets = &self.note_log.configuration().targets;
        let configured = targets.get(&process.target).cloned();
        if let Some(target) = configured.filter(|target| target.incarnation != process.incarnation)
        {
            let load = self.table_builder.load_of(&target);
            let present = TargetProcess::of(&target);
            self.table_builder.departures.apply(&present, &load);
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
