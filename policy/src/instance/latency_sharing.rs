//! One latency distribution a service for the whole fleet.
//!
//! Every instance sends latencies of its responses to the owner of the service, which fits the
//! distribution and broadcasts it whenever it has changed notably. Owners are not told of each
//! response: beyond a bounded rate, which is enough for a fit within a second, responses are
//! sampled at random. A new owner starts without samples, and until it has some everyone keeps
//! the distribution known last. A new instance asks its first peers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use rand::RngExt;
use serde::Deserialize;
use serde::Serialize;

use super::Instance;
use super::Message;
use crate::evidence::LatencyFit;
use crate::evidence::LatencyProfile;
use crate::notes::IdRange;

const FLUSH_PERIOD_US: u64 = 500_000;
/// Latencies per second that all instances together send to the owner of a service.
const SAMPLES_PER_S: f64 = 20.0;
/// Largest number of latencies of one service in a message.
const MAX_SAMPLES: usize = 16;
const MICROS_PER_MILLI: u64 = 1_000;

/// Latencies of some responses of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LatencySamples {
    /// The service's name.
    pub service: Arc<str>,
    /// The latencies, in milliseconds.
    pub latencies_ms: Vec<u32>,
}

/// The latency distribution of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceProfile {
    /// The service's name.
    pub service: Arc<str>,
    /// Its distribution.
    pub profile: LatencyProfile,
}

/// Samples that wait to be sent, and the fits of the services that this instance owns.
#[derive(Debug, Default)]
pub(super) struct LatencySharing {
    pending: BTreeMap<Arc<str>, Vec<u32>>,
    fits: BTreeMap<Arc<str>, LatencyFit>,
    next_flush_us: u64,
}

impl Instance {
    /// Keeps the latency of a good response for the owner of its service, if it is sampled.
    pub(super) fn sample_latency(&mut self, service: &Arc<str>, latency_us: u64) {
        let Some(table) = self.routing_table.services.get(service) else {
            return;
        };
        let fleet_rate_milli = table.load.fleet_rate_milli.load(Ordering::Relaxed);
        let share = SAMPLES_PER_S * 1e3 / fleet_rate_milli.max(1) as f64;
        if !self.rng.random_bool(share.min(1.0)) {
            return;
        }
        let samples = self.latency_sharing.pending.entry(service.clone());
        let samples = samples.or_default();
        if samples.len() < MAX_SAMPLES {
            samples.push((latency_us / MICROS_PER_MILLI).min(u64::from(u32::MAX)) as u32);
        }
    }

    /// Sends the samples kept since the last time, if it is time.
    pub(super) fn send_latency_samples(&mut self, now_us: u64) {
        if now_us < self.latency_sharing.next_flush_us {
            return;
        }
        self.latency_sharing.next_flush_us = now_us + FLUSH_PERIOD_US;
        for (service, latencies_ms) in std::mem::take(&mut self.latency_sharing.pending) {
            let owner = self
                .owners
                .of(&service, &self.membership)
                .into_iter()
                .next();
            if let Some(owner) = owner {
                let samples = LatencySamples {
                    service,
                    latencies_ms,
                };
                self.send(now_us, &owner, Message::LatencySamples(samples));
            }
        }
    }

    /// Fits the distribution of an owned service to the samples of an instance.
    pub(super) fn fit_latencies(&mut self, now_us: u64, samples: &LatencySamples) {
        let configuration = self.note_log.configuration();
        if !configuration.services.contains_key(&samples.service) {
            return;
        }
        let fit = self.latency_sharing.fits.entry(samples.service.clone());
        let fit = fit.or_default();
        for latency_ms in samples.latencies_ms.iter().take(MAX_SAMPLES) {
            fit.add(u64::from(*latency_ms) * MICROS_PER_MILLI);
        }
        let Some(profile) = fit.take_change() else {
            return;
        };
        let profile = ServiceProfile {
            service: samples.service.clone(),
            profile,
        };
        self.apply_latency_profiles(std::slice::from_ref(&profile));
        let ids = self.other_ids();
        self.broadcast_latency_profiles(now_us, &[profile], &ids);
    }

    /// Applies distributions from another instance, and forwards them within `id_range`.
    pub(super) fn handle_latency_profiles(
        &mut self,
        now_us: u64,
        profiles: &[ServiceProfile],
        id_range: Option<&IdRange>,
    ) {
        if let Some(id_range) = id_range {
            let ids = id_range.select_ids(&self.other_ids());
            self.broadcast_latency_profiles(now_us, profiles, &ids);
        }
        self.apply_latency_profiles(profiles);
    }

    /// Sends the known distributions to an instance that has just started.
    pub(super) fn send_latency_profiles(&mut self, now_us: u64, to: &Arc<str>) {
        let tables = self.routing_table.services.iter();
        let known = tables.filter_map(|(service, table)| {
            Some(ServiceProfile {
                service: service.clone(),
                profile: table.load.latency_profile()?,
            })
        });
        let profiles: Vec<ServiceProfile> = known.collect();
        if !profiles.is_empty() {
            let message = Message::LatencyProfiles {
                profiles,
                id_range: None,
            };
            self.send(now_us, to, message);
        }
    }

    /// Drops the fits of services that are no longer in the configuration.
    pub(super) fn drop_withdrawn_latencies(&mut self) {
        let services = &self.note_log.configuration().services;
        self.latency_sharing
            .fits
            .retain(|service, _| services.contains_key(service));
    }

    fn apply_latency_profiles(&mut self, profiles: &[ServiceProfile]) {
        for entry in profiles {
            let service = self.note_log.configuration().services.get(&entry.service);
            if let Some(service) = service.cloned() {
                let load = self.table_builder.service_load(&service);
                load.set_latency_profile(entry.profile);
                load.median_us
                    .store(entry.profile.median_us, Ordering::Relaxed);
            }
        }
    }

    fn broadcast_latency_profiles(
        &mut self,
        now_us: u64,
        profiles: &[ServiceProfile],
        ids: &[Arc<str>],
    ) {
        for (to, id_range) in crate::notes::partition_receivers(ids, &mut self.rng) {
            let profiles = profiles.to_vec();
            self.send(now_us, &to, Message::LatencyProfiles { profiles, id_range });
        }
    }
}
