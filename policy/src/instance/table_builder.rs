//! Building the routing tables that the request path reads.

use std::collections::BTreeMap;
use std::sync::Arc;

use model::Configuration;
use model::configuration::Service;
use model::configuration::Target;

use super::TargetRateLimit;
use super::departures::Departures;
use super::former_loads::FormerLoads;
use super::settings::can_share_load;
use crate::evidence::DecisionTable;
use crate::limits::RetryBudget;
use crate::quarantine::QuarantineView;
use crate::routing::Candidate;
use crate::routing::ChoiceStrategy;
use crate::routing::ServiceLoad;
use crate::routing::ServiceTable;
use crate::routing::Subset;
use crate::routing::SubsetPlace;
use crate::routing::TableFreshness;
use crate::routing::TargetLoad;
use crate::routing::TargetProcess;
use crate::routing::enforce_floor;
use crate::routing::permits_subsets;

/// Builder of service tables, and owner of the load counters, which outlive the tables that
/// refer to them.
#[derive(Debug, Default)]
pub(super) struct TableBuilder {
    targets: BTreeMap<Arc<str>, (Arc<Target>, Arc<TargetLoad>)>,
    services: BTreeMap<Arc<str>, Arc<ServiceLoad>>,
    table_freshness: Arc<TableFreshness>,
    quarantine: Arc<QuarantineView>,
    /// The processes that leave by their own word.
    pub(super) departures: Departures,
    departure_limit_us: u64,
    former_loads: FormerLoads,
    pub(super) retry_reserve: RetryReserve,
    pub(super) choice_strategy: ChoiceStrategy,
    pub(super) subset_place: SubsetPlace,
}

/// Whose bound holds for the retries to a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum RetryReserve {
    /// The instance's own.
    #[default]
    Own,
    /// The fleet's, of which a former process of the instance may have spent a part.
    Shared,
    /// The fleet's, of which nobody has spent anything.
    SharedUnspent,
}

impl TableBuilder {
    /// Creates a builder without counters whose tables share `table_freshness` and `quarantine`.
    pub(super) fn new(
        table_freshness: Arc<TableFreshness>,
        quarantine: Arc<QuarantineView>,
        departure_limit_us: u64,
    ) -> Self {
        Self {
            table_freshness,
            quarantine,
            departure_limit_us,
            ..Self::default()
        }
    }

    /// Returns the counters of a target, and replaces them after a change of its address,
    /// slots or process.
    pub(super) fn load_of(&mut self, target: &Arc<Target>) -> Arc<TargetLoad> {
        let known = self.targets.get(&target.name);
        if let Some((_, load)) = known.filter(|(old, _)| Arc::ptr_eq(old, target)) {
            return load.clone();
        }
        let load = match known {
            Some((old, load)) if can_share_load(old, target) => load.clone(),
            replaced => {
                let former_load = self.former_loads.take(target);
                let load = former_load.unwrap_or_else(|| {
                    let load = TargetLoad::new(target.slots);
                    Arc::new(load.with_departure_limit(self.departure_limit_us))
                });
                if !self.departures.has_stated(&TargetProcess::of(target)) {
                    load.clear_departure();
                }
                // Tables still in use may refer to the target's former address or process.
                if let Some((former, former_load)) = replaced {
                    former_load.close();
                    let is_same_process =
                        former.has_known_incarnation() && former.incarnation == target.incarnation;
                    if is_same_process {
                        load.inherit_statements(former_load);
                    } else if former.address != target.address {
                        self.departures.forget_unknown(&TargetProcess::of(target));
                    }
                }
                load
            }
        };
        self.departures.apply(&TargetProcess::of(target), &load);
        if target.leaving {
            load.close();
        } else {
            load.open();
        }
        self.targets
            .insert(target.name.clone(), (target.clone(), load.clone()));
        load
    }

    /// Returns the targets whose failure probability exceeds `level`, each with its
    /// probability.
    pub(super) fn suspect(&self, now_us: u64, level: f64) -> impl Iterator<Item = (&Target, f64)> {
        let all = self.targets.values();
        all.map(move |(target, load)| (&**target, load.failure_probability(now_us)))
            .filter(move |(_, failure_probability)| *failure_probability > level)
    }

    /// Returns the rate limits that targets have named.
    pub(super) fn rate_limits(&self) -> impl Iterator<Item = TargetRateLimit> {
        self.targets.values().filter_map(|(target, load)| {
            let limit_milli = load.rate_limit_milli()?;
            Some(TargetRateLimit {
                process: TargetProcess::of(target),
                limit_milli: Some(limit_milli),
            })
        })
    }

    /// Returns the counters of a service.
    pub(super) fn service_load(&mut self, service: &Service) -> Arc<ServiceLoad> {
        let new_load = || {
            let retries = match self.retry_reserve {
                RetryReserve::Own => RetryBudget::new(service.retry_share),
                RetryReserve::Shared => RetryBudget::without_reserve(service.retry_share),
                RetryReserve::SharedUnspent => {
                    RetryBudget::with_unspent_reserve(service.retry_share)
                }
            };
            let load = ServiceLoad::with_retries(retries, self.table_freshness.clone());
            Arc::new(load.with_quarantine(self.quarantine.clone()))
        };
        self.services
            .entry(service.name.clone())
            .or_insert_with(new_load)
            .clone()
    }

    /// Closes a withdrawn target in tables still in use.
    pub(super) fn withdraw(&mut self, target: &str) {
        if let Some((target, load)) = self.targets.remove(target) {
            load.close();
            self.former_loads.keep(target, load);
        }
    }

    /// Forgets what is known of processes whose entries have been gone for long.
    pub(super) fn forget_former(
        &mut self,
        now_us: u64,
        has_entry: impl Fn(&TargetProcess) -> bool,
    ) {
        if self.departures.cleanup(now_us, has_entry) {
            self.former_loads.cleanup(now_us);
        }
    }

    /// Builds the table of one service.
    pub(super) fn build(
        &mut self,
        configuration: &Configuration,
        service: &Arc<Service>,
        decision_table: &DecisionTable,
        own_data_centre: &str,
    ) -> Arc<ServiceTable> {
        let targets: Vec<Arc<Target>> = configuration.targets_of(&service.name).cloned().collect();
        let targets_with_health = targets.iter().map(|target| {
            let health = decision_table.health(&target.name);
            let local_evidence = self.load_of(target).local_evidence();
            (target.clone(), health, local_evidence)
        });
        let targets_with_health: Vec<_> = targets_with_health.collect();
        // Targets that leave by their own word are candidates for the case that no other is left,
        // but count for no floor.
        let (leaving, staying) = targets_with_health
            .into_iter()
            .partition(|(target, _, _)| self.load_of(target).is_leaving());
        let leaving: Vec<_> = leaving;
        let leaving = leaving.into_iter().filter(|(target, _, _)| !target.leaving);
        let leaving = leaving.map(|(target, health, _)| (target, health));
        let set = enforce_floor(service, staying);
        let candidates: Vec<Candidate> = set
            .members
            .into_iter()
            .chain(leaving)
            .map(|(target, health)| Candidate {
                load: self.load_of(&target),
                is_local: *target.data_centre == *own_data_centre,
                round_trip_us: 2 * configuration.one_way_us(own_data_centre, &target.data_centre),
                target,
                health,
            })
            .collect();
        let load = self.service_load(service);
        load.priorities
            .set(configuration.priorities_of(&service.name));
        let subset = (self.choice_strategy == ChoiceStrategy::FailureProbability
            && permits_subsets(configuration))
        .then(|| Subset::new(&self.subset_place, &candidates))
        .flatten();
        Arc::new(ServiceTable {
            service: service.clone(),
            load,
            candidates,
            choice_strategy: self.choice_strategy,
            subset,
        })
    }
}
