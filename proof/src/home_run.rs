//! One home by itself, fed with one outcome after the other.

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

/// A home of a deployment's first service.
pub struct HomeRun<'a> {
    /// The run's generator.
    pub rng: ChaCha8Rng,
    deployment: &'a Deployment,
    configuration: Configuration,
    health_monitor: HealthMonitor,
}

impl<'a> HomeRun<'a> {
    /// A home that has met nothing yet.
    ///
    /// # Panics
    ///
    /// Panics if the deployment's note does not fit.
    pub fn new(deployment: &'a Deployment, seed: u64) -> Self {
        let configuration = deployment.note.apply(&Configuration::default());
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            deployment,
            configuration: configuration.expect("the note fits"),
            health_monitor: HealthMonitor::default(),
        }
    }

    /// A random target's number.
    pub fn any_target(&mut self) -> usize {
        self.rng
            .random_range(0..self.deployment.note.targets.add.len())
    }

    /// Takes in one outcome of a target, met in a random data centre.
    pub fn meet(&mut self, now_us: u64, target: usize, abnormal: bool) -> Vec<HealthEvent> {
        let centres = &self.deployment.data_centres;
        let observer = &centres[self.rng.random_range(0..centres.len())];
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

    /// Lets time pass.
    pub fn tick(&mut self, now_us: u64) -> Vec<HealthEvent> {
        self.health_monitor.tick(now_us, &self.configuration)
    }

    /// Takes in a good probe.
    pub fn apply_probe_result(&mut self, now_us: u64, service: &str, target: &Arc<str>) {
        self.health_monitor
            .apply_probe_result(now_us, &self.configuration, service, target, true);
    }
}
