//! A release of more than a hundred routes, while the store turns one of three machines away.
//!
//! Two cases: what that machine does with requests of its own clients, and what it does with the
//! requests that another machine hands to it.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use standin::UsersStore;
use standin::UsersTarget;
use standin::users::CONFIGURATION_KEY;
use standin::users::configuration;
use standin::users::wire::RawMessage;

use super::Instance;
use super::Record;
use super::block_address;
use super::exchange;
use super::is_ready;
use super::proxy::Path;
use super::proxy::StoreLink;
use super::proxy::Treatment;

/// Routes that get no requests. With them the configuration is a large one.
const IDLE_ROUTES: usize = 150;
const TARGETS_PER_SERVICE: usize = 3;
const REQUEST_PERIOD: Duration = Duration::from_millis(50);
/// Bounds of the small deployments.
const ROLLBACK_SLACK: Duration = Duration::from_millis(250);
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
const MAX_SKEW: Duration = Duration::from_millis(5_000);

/// The service to which the operator's first version leads the route, and that of the second.
const OLD: &str = "reads";
const NEW: &str = "gates";

/// Times from the start of the traffic.
struct Schedule {
    rejected: (Duration, Duration),
    change: Duration,
    /// Time in which machine a is partitioned from all targets.
    cut: Option<(Duration, Duration)>,
    end: Duration,
}

struct Sent {
    id: String,
    machine: &'static str,
    at: Duration,
    answered: Duration,
    answer: String,
    runs: Vec<Run>,
}

#[derive(Clone)]
struct Run {
    at: Duration,
    service: &'static str,
    target: String,
}

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// Builds a configuration with two routes, of both kinds, that lead to `service`.
fn large_configuration(version: u32, service: &str) -> Value {
    let mut document = configuration(version, service);
    let mut order = document["routes"]["r-moved"].clone();
    order["pathPrefix"] = json!("/order/");
    order["kind"] = json!("non_idempotent");
    document["routes"]["r-order"] = order;
    for number in 0..IDLE_ROUTES {
        let mut route = document["routes"]["r-read"].clone();
        route["pathPrefix"] = json!(format!("/idle-{number}/"));
        document["routes"][format!("r-idle-{number}")] = route;
    }
    document
}

async fn wait_until(start: Instant, at: Duration) {
    tokio::time::sleep_until((start + at).into()).await;
}

/// Sends requests to a machine, each on a new channel.
async fn send_all(
    start: Instant,
    end: Duration,
    machine: &'static str,
    front: SocketAddr,
    sent: Arc<Mutex<Vec<Sent>>>,
) {
    let mut number = 0;
    while start.elapsed() < end {
        number += 1;
        let id = format!("{machine}{number:08x}");
        let (method, path) = match number % 2 {
            0 => ("GET", "/moved/item"),
            _ => ("POST", "/order/item"),
        };
        let sent = sent.clone();
        tokio::spawn(async move {
            let at = start.elapsed();
            let text = RawMessage::request(method, path, &id, 3_000, "");
            let answer = match exchange(front, &text).await {
                Ok(message) => {
                    let body = String::from_utf8_lossy(&message.body).into_owned();
                    let status = message.head.lines().next().unwrap_or("").to_owned();
                    format!("{method} {path}: {status}, {body:?}")
                }
                Err(error) => format!("{method} {path}: no answer, {error}"),
            };
            let answered = start.elapsed();
            sent.lock().unwrap().push(Sent {
                id,
                machine,
                at,
                answered,
                answer,
                runs: Vec::new(),
            });
        });
        tokio::time::sleep(REQUEST_PERIOD).await;
    }
    tokio::time::sleep(Duration::from_secs(4)).await;
}

/// Plays a schedule with three machines. Returns the time of the change's ack, and the requests.
async fn play(
    schedule: Schedule,
    trouble: bool,
    folder: &std::path::Path,
    record: &mut Record,
) -> io::Result<(Duration, Vec<Sent>)> {
    let store = UsersStore::bind("127.0.0.1:0".parse().unwrap()).await?;
    let mut targets = Vec::new();
    let mut paths = Vec::new();
    let mut addresses = HashMap::new();
    for service in [OLD, NEW] {
        for number in 0..TARGETS_PER_SERVICE {
            let id = format!("i-{service}-{number}");
            let target = UsersTarget::bind("127.0.0.1:0".parse().unwrap(), &id).await?;
            target.set_work_time(ms(15));
            store.put(&format!("servers/{id}"), &target.entry(service, "ready"));
            let near = SocketAddr::new(block_address(9), 21_000 + paths.len() as u16);
            addresses.insert(target.address().to_string(), near.to_string());
            paths.push(Path::start(near, target.address()).await?);
            targets.push((service, target));
        }
    }
    store.put(CONFIGURATION_KEY, &large_configuration(5, OLD));

    // Machine a reaches the targets over paths of its own, which can be cut.
    let store_a = StoreLink::start(store.address(), addresses).await?;
    let store_b = StoreLink::start(store.address(), HashMap::new()).await?;
    let store_c = StoreLink::start(store.address(), HashMap::new()).await?;
    let a = Instance::start("edge-north-1", block_address(1), store_a.address, folder)?;
    a.wait_until_ready().await?;
    let b = Instance::start("edge-north-2", block_address(2), store_b.address, folder)?;
    let c = Instance::start("edge-north-3", block_address(3), store_c.address, folder)?;
    b.wait_until_ready().await?;
    c.wait_until_ready().await?;
    tokio::time::sleep(Duration::from_secs(2)).await;

    let start = Instant::now();
    let sent = Arc::new(Mutex::new(Vec::new()));
    let senders: Vec<_> = [("a", a.front), ("b", b.front), ("c", c.front)]
        .map(|(name, front)| tokio::spawn(send_all(start, schedule.end, name, front, sent.clone())))
        .into();
    // The platform asks each machine once a second whether it is ready.
    let readiness: Vec<_> = [("a", a.ready), ("b", b.ready), ("c", c.ready)]
        .map(|(name, ready)| {
            tokio::spawn(async move {
                let (mut asked, mut ready_count) = (0, 0);
                while start.elapsed() < schedule.end {
                    asked += 1;
                    ready_count += usize::from(is_ready(ready).await);
                    tokio::time::sleep(Duration::from_secs(1)).await;
                }
                format!("machine {name}: ready at {ready_count} of {asked} questions, one a second")
            })
        })
        .into();
    let mut events = Vec::new();
    let (from, until) = schedule.rejected;
    let (cut_from, cut_until) = schedule.cut.unwrap_or_default();
    let mut steps = vec![
        (from, "the store answers 429 to machine b from now on"),
        (
            schedule.change,
            "the operator has moved both routes from reads to gates (ack)",
        ),
        (until, "the store serves machine b again"),
    ];
    if schedule.cut.is_some() {
        steps.push((cut_from, "machine a is partitioned from all targets"));
        steps.push((cut_until, "machine a reaches the targets again"));
    }
    steps.sort();
    let mut ack = Duration::ZERO;
    for (at, step) in steps {
        wait_until(start, at).await;
        if at == schedule.change {
            store.put(CONFIGURATION_KEY, &large_configuration(9, NEW));
            ack = start.elapsed();
        } else if !trouble {
            continue;
        } else if at == from {
            store_b.set_treatment(Treatment::Refuses);
        } else if at == until {
            store_b.set_treatment(Treatment::Serves);
        } else if at == cut_from {
            paths.iter().for_each(Path::cut);
        } else {
            for path in &paths {
                path.mend().await?;
            }
        }
        events.push((start.elapsed(), step));
    }
    for sender in senders {
        sender.await.map_err(io::Error::other)?;
    }
    for (at, event) in &events {
        record.line(format!("{:6} ms  {event}", at.as_millis()));
    }
    for answers in readiness {
        record.line(answers.await.map_err(io::Error::other)?);
    }

    let mut runs: HashMap<String, Vec<Run>> = HashMap::new();
    for (service, target) in &targets {
        let activity = target.observed();
        let ran: Vec<&String> = activity.ran.iter().collect();
        for arrival in activity.arrivals {
            if ran.contains(&&arrival.id) {
                runs.entry(arrival.id).or_default().push(Run {
                    at: arrival.at.saturating_duration_since(start),
                    service,
                    target: target.id().to_owned(),
                });
            }
        }
    }
    let mut sent = std::mem::take(&mut *sent.lock().unwrap());
    for request in &mut sent {
        request.runs = runs.remove(&request.id).unwrap_or_default();
    }
    sent.sort_by_key(|request| request.at);
    Ok((ack, sent))
}

/// Records the requests; those for which `is_broken` holds are marked. Returns whether there are none.
fn judge(
    sent: &[Sent],
    rule: &str,
    is_broken: impl Fn(&Sent) -> bool,
    record: &mut Record,
) -> bool {
    let mut holds = true;
    for machine in ["a", "b", "c"] {
        let own: Vec<&Sent> = sent
            .iter()
            .filter(|request| request.machine == machine)
            .collect();
        let broken = own.iter().filter(|request| is_broken(request)).count();
        let orders = own.iter().filter(|request| is_broken(request));
        let orders = orders
            .filter(|request| request.answer.starts_with("POST"))
            .count();
        let line = format!(
            "machine {machine}: {} requests sent, {broken} break the rule ({rule}), {orders} of these not idempotent",
            own.len()
        );
        println!("{line}");
        record.line(line);
        holds &= broken == 0;
    }
    for request in sent {
        let runs: Vec<String> = request
            .runs
            .iter()
            .map(|run| format!("run by {} at {} ms", run.target, run.at.as_millis()))
            .collect();
        let mark = if is_broken(request) {
            "  << broken"
        } else {
            ""
        };
        record.line(format!(
            "  {} sent {:6} ms, answered {:6} ms, {}; {}{mark}",
            request.id,
            request.at.as_millis(),
            request.answered.as_millis(),
            request.answer,
            runs.join(", "),
        ));
    }
    holds
}

fn ran_at(request: &Sent, service: &str) -> bool {
    request.runs.iter().any(|run| run.service == service)
}

/// Machine a is partitioned from all targets and hands requests to machine b.
pub async fn run_stale_helper(
    trouble: bool,
    folder: &std::path::Path,
    record: &mut Record,
) -> io::Result<bool> {
    let schedule = Schedule {
        rejected: (ms(3_500), ms(12_500)),
        change: ms(4_500),
        cut: Some((ms(7_500), ms(12_000))),
        end: ms(14_000),
    };
    let (_, sent) = play(schedule, trouble, folder, record).await?;
    // A machine regresses: a request sent more than `rollbackSlack` after a target saw the effect of
    // the new version is run by the old service. The bound is stretched by `maxSkew`, as if the store's
    // rejection of another machine made the core unstable.
    let mut effects = HashMap::new();
    for request in &sent {
        let seen = request.runs.iter().filter(|run| run.service == NEW);
        if let Some(at) = seen.map(|run| run.at).min() {
            let effect = effects.entry(request.machine).or_insert(at);
            *effect = at.min(*effect);
        }
    }
    for (machine, at) in &effects {
        record.line(format!(
            "machine {machine}: first request run by gates at {} ms",
            at.as_millis()
        ));
    }
    let is_broken = |request: &Sent| {
        let effect = effects.get(request.machine);
        effect.is_some_and(|effect| request.at > *effect + ROLLBACK_SLACK + MAX_SKEW)
            && ran_at(request, OLD)
    };
    Ok(judge(
        &sent,
        "run by the old service after the new one",
        is_broken,
        record,
    ))
}

/// The store answers 429 to machine b, which has clients of its own.
pub async fn run_rejected_machine(
    trouble: bool,
    folder: &std::path::Path,
    record: &mut Record,
) -> io::Result<bool> {
    let schedule = Schedule {
        rejected: (ms(3_500), ms(12_500)),
        change: ms(4_000),
        cut: None,
        end: ms(14_000),
    };
    let (ack, sent) = play(schedule, trouble, folder, record).await?;
    // `configApply`, stretched by `maxSkew` as if the core had been unstable.
    let bound = CONFIG_APPLY + MAX_SKEW;
    let is_broken = |request: &Sent| request.at > ack + bound && ran_at(request, OLD);
    Ok(judge(
        &sent,
        "run by the old service over 7 s after the ack",
        is_broken,
        record,
    ))
}
