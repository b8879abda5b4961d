//! Generates the load of a trial and records its results.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hdrhistogram::Histogram;
use parking_lot::Mutex;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::caller::Caller;
use super::caller::TrialRequest;
use super::caller::TrialResponse;
use super::environment::Endpoint;

const LIVE_REQUESTS_PER_S: f64 = 120.0;
const COMMANDS_PER_S: f64 = 20.0;
const EXPORTS_PER_S: f64 = 2.0;
const LATENCY_PROBES_PER_S: f64 = 20.0;

/// Results of the requests, shared by all streams of the load.
pub(super) struct Results {
    /// Number of requests by service and by the outcome that the caller received.
    pub(super) outcomes: Mutex<BTreeMap<(Arc<str>, String), u64>>,
    /// Id of each command and the last outcome that its caller received.
    pub(super) commands: Mutex<Vec<(String, String)>>,
    /// Responses with status 200 that were incomplete or belonged to another request.
    pub(super) invalid_responses: AtomicU64,
    /// Durations of latency probes through an instance, in microseconds.
    pub(super) proxied_us: Mutex<Histogram<u64>>,
    /// Durations of latency probes sent directly to a backend server, in microseconds.
    pub(super) direct_us: Mutex<Histogram<u64>>,
    /// Whether the load continues; the streams stop once it is false.
    pub(super) running: AtomicBool,
    next_request_id: AtomicU64,
}

/// Addresses and endpoints that the load is sent to.
pub(super) struct LoadDestinations {
    pub(super) instances: Mutex<Vec<SocketAddr>>,
    /// Backend server that receives the direct latency probes.
    pub(super) direct_address: SocketAddr,
    pub(super) live: Endpoint,
    pub(super) command: Endpoint,
    pub(super) export: Endpoint,
    pub(super) export_bytes: usize,
}

impl Results {
    pub(super) fn new() -> Arc<Self> {
        let histogram = || {
            Mutex::new(
                Histogram::new_with_bounds(1, 60_000_000, 3)
                    .unwrap_or_else(|_| unreachable!("the bounds are valid")),
            )
        };
        Arc::new(Self {
            outcomes: Mutex::new(BTreeMap::new()),
            commands: Mutex::new(Vec::new()),
            invalid_responses: AtomicU64::new(0),
            proxied_us: histogram(),
            direct_us: histogram(),
            running: AtomicBool::new(true),
            next_request_id: AtomicU64::new(0),
        })
    }

    fn new_request_id(&self) -> String {
        format!(
            "mark-{}",
            self.next_request_id.fetch_add(1, Ordering::Relaxed)
        )
    }

    fn count_outcome(&self, service: &Arc<str>, response: &TrialResponse) {
        let key = (service.clone(), response.outcome.clone());
        *self.outcomes.lock().entry(key).or_default() += 1;
    }

    /// Checks that a response with status 200 belongs to the request and, if `bytes` is
    /// given, has that length.
    fn check_response(&self, response: &TrialResponse, request_id: &str, bytes: Option<usize>) {
        if response.status != 200 {
            return;
        }
        let is_valid =
            response.echo == request_id && bytes.is_none_or(|bytes| response.bytes == bytes);
        if !is_valid {
            self.invalid_responses.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Runs the load until [`Results::running`] is false, and waits for all responses.
pub(super) async fn run(destinations: Arc<LoadDestinations>, results: Arc<Results>, seed: u64) {
    let kinds = [
        (LIVE_REQUESTS_PER_S, RequestKind::Live),
        (COMMANDS_PER_S, RequestKind::Command),
        (EXPORTS_PER_S, RequestKind::Export),
        (LATENCY_PROBES_PER_S, RequestKind::LatencyProbe),
    ];
    let mut streams = tokio::task::JoinSet::new();
    for (index, (per_s, kind)) in kinds.into_iter().enumerate() {
        let rng = ChaCha8Rng::seed_from_u64(seed + index as u64);
        streams.spawn(run_stream(
            destinations.clone(),
            results.clone(),
            rng,
            per_s,
            kind,
        ));
    }
    while streams.join_next().await.is_some() {}
}

impl LoadDestinations {
    /// Removes an instance from the load, as a load balancer does with one that is not
    /// ready.
    pub(super) fn remove_instance(&self, instance: SocketAddr) {
        self.instances.lock().retain(|other| *other != instance);
    }

    /// Chooses an instance for a request and, independently, one for its retry; they may be
    /// the same.
    fn choose_instances(&self, rng: &mut ChaCha8Rng) -> (SocketAddr, SocketAddr) {
        let instances = self.instances.lock();
        let mut choose = || instances[rng.random_range(0..instances.len())];
        (choose(), choose())
    }
}

#[derive(Clone, Copy, Debug)]
enum RequestKind {
    Live,
    Command,
    Export,
    LatencyProbe,
}

async fn run_stream(
    destinations: Arc<LoadDestinations>,
    results: Arc<Results>,
    mut rng: ChaCha8Rng,
    per_s: f64,
    kind: RequestKind,
) {
    let caller = Caller::new();
    let mut in_flight = tokio::task::JoinSet::new();
    while results.running.load(Ordering::Relaxed) {
        let gap_s = -(1.0 - rng.random::<f64>()).ln() / per_s;
        tokio::time::sleep(Duration::from_secs_f64(gap_s)).await;
        let (instance, retry_instance) = destinations.choose_instances(&mut rng);
        let (destinations, results, caller) =
            (destinations.clone(), results.clone(), caller.clone());
        let uses_ticket = rng.random_bool(0.5);
        in_flight.spawn(async move {
            match kind {
                RequestKind::Live => {
                    send_request(&caller, &results, instance, &destinations.live, None).await
                }
                RequestKind::Export => {
                    send_request(
                        &caller,
                        &results,
                        instance,
                        &destinations.export,
                        Some(destinations.export_bytes),
                    )
                    .await
                }
                RequestKind::Command => {
                    send_command(
                        &caller,
                        &results,
                        instance,
                        retry_instance,
                        &destinations.command,
                        uses_ticket,
                    )
                    .await
                }
                RequestKind::LatencyProbe => {
                    measure_added_time(&caller, &results, instance, &destinations).await
                }
            }
        });
        while in_flight.try_join_next().is_some() {}
    }
    while in_flight.join_next().await.is_some() {}
}

async fn send_request(
    caller: &Caller,
    results: &Results,
    instance: SocketAddr,
    endpoint: &Endpoint,
    bytes: Option<usize>,
) {
    let request_id = results.new_request_id();
    let request = TrialRequest {
        path: endpoint.path.to_string(),
        is_post: false,
        headers: vec![("echo", request_id.clone())],
    };
    let response = caller.send(instance, &request).await;
    results.check_response(&response, &request_id, bytes);
    results.count_outcome(&endpoint.service, &response);
}

/// Sends a command, and repeats it under the same ticket or idempotency key if the
/// first outcome is not `ran`.
async fn send_command(
    caller: &Caller,
    results: &Results,
    instance: SocketAddr,
    retry_instance: SocketAddr,
    endpoint: &Endpoint,
    uses_ticket: bool,
) {
    let request_id = results.new_request_id();
    let key_header = if uses_ticket {
        match caller.fetch_ticket(instance).await {
            Some(ticket) => ("sniperun-ticket", ticket),
            None => return,
        }
    } else {
        ("idempotency-key", request_id.clone())
    };
    let request = TrialRequest {
        path: endpoint.path.to_string(),
        is_post: true,
        headers: vec![
            ("echo", request_id.clone()),
            ("command-id", request_id.clone()),
            key_header,
        ],
    };
    let mut response = caller.send(instance, &request).await;
    results.check_response(&response, &request_id, None);
    results.count_outcome(&endpoint.service, &response);
    if response.outcome != "ran" {
        response = caller.send(retry_instance, &request).await;
        results.check_response(&response, &request_id, None);
        results.count_outcome(&endpoint.service, &response);
    }
    results.commands.lock().push((request_id, response.outcome));
}

/// Sends a request through an instance and then directly to a backend server, both
/// without processing time, to measure the time that an instance adds.
async fn measure_added_time(
    caller: &Caller,
    results: &Results,
    instance: SocketAddr,
    destinations: &LoadDestinations,
) {
    let request = TrialRequest {
        path: destinations.live.path.to_string(),
        is_post: false,
        headers: vec![("stand-in-quick", "1".to_owned())],
    };
    let proxied = caller.send(instance, &request).await;
    let direct = caller.send(destinations.direct_address, &request).await;
    if proxied.status == 200 && direct.status == 200 {
        record_time(&results.proxied_us, proxied.elapsed);
        record_time(&results.direct_us, direct.elapsed);
    }
}

fn record_time(histogram: &Mutex<Histogram<u64>>, elapsed: Duration) {
    histogram
        .lock()
        .saturating_record(elapsed.as_micros() as u64);
}
