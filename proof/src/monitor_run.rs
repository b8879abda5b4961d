//! A single health monitor without a network, which receives one outcome at a time.

use std::sync::Arc;

use model::Configuration;
use policy::evidence::HealthEvent;
use policy::evidence::HealthMonitor;
use policy::evidence::Report;
use policy::evidence::Tally;
use policy::evidence::TargetReport;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::Deployment;

/// Health monitor of a deployment's first service.
pub struct MonitorRun<'a> {
    /// Random number generator of the run.
    pub rng: ChaCha8Rng,
    deployment: &'a Deployment,
    configuration: Configuration,
    health_monitor: HealthMonitor,
}

impl<'a> MonitorRun<'a> {
    /// Creates a monitor that has received no outcomes yet.
    ///
    /// # Panics
    ///
    /// Panics if the deployment's note cannot be applied to an empty configuration.
    pub fn new(deployment: &'a Deployment, seed: u64) -> Self {
        let configuration = deployment.note.apply(&Configuration::default());
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            deployment,
            configuration: configuration
                .expect("the deployment's note applies to an empty configuration"),
            health_monitor: HealthMonitor::default(),
        }
    }

    /// Returns the index of a random target.
    pub fn random_target(&mut self) -> usize {
        self.rng
            .random_range(0..self.deployment.note.targets.add.len())
    }

    /// Reports one outcome of a target, observed in a random data centre.
    pub fn report_outcome(
        &mut self,
        now_us: u64,
        target: usize,
        abnormal: bool,
    ) -> Vec<HealthEvent> {
        let data_centres = &self.deployment.data_centres;
        let observer = &data_centres[self.rng.random_range(0..data_centres.len())];
        let report = Report {
            service: self.deployment.note.services.add[0].name.clone(),
            sampling_shift: 0,
            has_latency_estimate: true,
            samples_us: Vec::new(),
            targets: vec![TargetReport {
                target: self.deployment.note.targets.add[target].name.clone(),
                tally: Tally {
                    normal: u32::from(!abnormal),
                    abnormal: u32::from(abnormal),
                },
            }],
        };
        self.health_monitor
            .report(now_us, &self.configuration, observer, &report)
    }

    /// Runs the periodic work due at `now_us`.
    pub fn tick(&mut self, now_us: u64) -> Vec<HealthEvent> {
        self.health_monitor.tick(now_us, &self.configuration)
    }

    /// Reports a successful probe.
    pub fn apply_probe_result(&mut self, now_us: u64, service: &str, target: &Arc<str>) {
        self.health_monitor
            .apply_probe_result(now_us, &self.configuration, service, target, true);
    }
}
