//! CONFIG: a configuration of many routes is never read over a small link, and its instance sends
//! requests by the older version.

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use crate::Setting;
use crate::Verdict;
use crate::bed::Addresses;
use crate::bed::Instance;
use crate::http::Channel;
use crate::operator;
use crate::operator::Route;
use crate::proxy;
use crate::store::Store;
use crate::target::Arrivals;
use crate::target::Behaviour;
use crate::target::Target;

const SERVICES: [&str; 2] = ["svc-ajustes", "svc-historia"];
const TARGETS_PER_SERVICE: usize = 2;
const SLOTS: u32 = 4;
const WORK_MS: u64 = 30;
/// Links of the instances to the store, in Mbit/s: two kinds of machines of the users' sheet.
const LINKS_MBPS: [u64; 3] = [200, 11, 11];
/// The largest growth of the configuration on the users' sheet, and how often it comes.
const GROWTH_ROUTES: usize = 1_400;
const GROWTHS: usize = 4;
const GROWTH_MS: u64 = 4_000;
/// Bytes that a value of the store may have.
const VALUE_BYTES: usize = 1_048_576;
/// The users' `configApply`.
const CONFIG_APPLY_MS: u64 = 2_500;
const ASKS: usize = 8;
const ASK_MS: u64 = 1_000;

pub fn play(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let addresses = Addresses::pick();
    let store = Store::start(&addresses.store());
    let arrivals = Arrivals::default();
    for number in 0..SERVICES.len() * TARGETS_PER_SERVICE {
        let service = SERVICES[number / TARGETS_PER_SERVICE];
        let name = format!("i-{service}-{number}");
        let ip = addresses.target(number);
        let behaviour = Behaviour {
            work_ms: WORK_MS,
            response_bytes: 400,
            slow_reading: None,
        };
        let target = Target::start((&name, service, &ip), SLOTS, behaviour, &arrivals, record);
        target.register(&store);
    }
    let mut routes = vec![route(0)];
    store.put("op/config", &operator::configuration(1, &SERVICES, &routes));
    let ips: Vec<String> = (1..=LINKS_MBPS.len())
        .map(|number| addresses.instance(number))
        .collect();
    let instances: Vec<Instance> = LINKS_MBPS
        .iter()
        .enumerate()
        .map(|(index, mbps)| {
            let link = proxy::start_on_link(&addresses.store(), &store.address, *mbps);
            let store = store.at(&link);
            Instance::start(&setting.folder, &ips[index], index + 1, &ips, &store)
        })
        .collect();
    if !instances.iter().all(Instance::wait_ready) {
        return Verdict::NotRun("an instance is not ready".to_owned());
    }
    std::thread::sleep(Duration::from_secs(5));

    // Without trouble each growth is of one route.
    let growth_routes = if setting.has_trouble {
        GROWTH_ROUTES
    } else {
        1
    };
    for growth in 1..=GROWTHS {
        let known = routes.len();
        routes.extend((known..known + growth_routes).map(route));
        if growth == GROWTHS {
            routes[0].service = SERVICES[1];
        }
        let text = operator::configuration(1 + 2 * growth as u32, &SERVICES, &routes);
        assert!(
            text.len() <= VALUE_BYTES,
            "the store would refuse the value"
        );
        store.put("op/config", &text);
        let (count, bytes) = (routes.len(), text.len());
        let version = 1 + 2 * growth;
        record.line(&format!(
            "version {version} was acknowledged: {count} routes, {bytes} bytes"
        ));
        std::thread::sleep(Duration::from_millis(GROWTH_MS));
    }
    // The last growth was acknowledged longer ago than `configApply`.
    assert!(GROWTH_MS > CONFIG_APPLY_MS);
    record.line(&format!(
        "since the last version route 0 goes to {}",
        SERVICES[1]
    ));
    let last = routes.len() - 1;
    let mut denied = 0;
    let mut served = 0;
    let from_ms = record.now_ms();
    for ask in 0..ASKS {
        for (index, instance) in instances.iter().enumerate() {
            for number in [0, last] {
                let id = format!("q{ask}-{}-{number}", index + 1);
                let status = exchange(&instance.front, &id, number).unwrap_or(0);
                let mbps = LINKS_MBPS[index];
                record.line(&format!(
                    "{id} sent to edge-{} ({mbps} Mbit/s) on route {number}: answered with {status}",
                    index + 1
                ));
                served += usize::from(status == 200);
                if status == 404 {
                    denied += 1;
                    record.line(&format!(
                        "CONFIG: {id} was refused with 404 though the route is there"
                    ));
                }
            }
        }
        std::thread::sleep(Duration::from_millis(ASK_MS));
    }
    let arrivals = arrivals.lock().unwrap();
    let stale: Vec<_> = arrivals
        .iter()
        .filter(|arrival| arrival.at_ms >= from_ms && arrival.path.starts_with("/p0/"))
        .filter(|arrival| arrival.target.contains(SERVICES[0]))
        .collect();
    for arrival in &stale {
        record.line(&format!(
            "CONFIG: {} was run by the old service, {}",
            arrival.id, arrival.target
        ));
    }
    let count = stale.len();
    record.line(&format!(
        "{served} requests served, {count} of them by the old service, {denied} refused with 404"
    ));
    match (denied + count, served) {
        (0, 0) => Verdict::NotRun("no request was served".to_owned()),
        (0, _) => Verdict::Held,
        _ => Verdict::Broken,
    }
}

fn route(number: usize) -> Route {
    Route {
        name: format!("r-{number}"),
        prefix: format!("/p{number}/"),
        kind: "non_idempotent",
        service: SERVICES[0],
        timeout_ms: 4_000,
        objective_ms: 2_000,
    }
}

fn exchange(front: &str, id: &str, route: usize) -> Option<u16> {
    let mut stream = TcpStream::connect(front).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(8))).ok()?;
    let text = format!(
        "POST /p{route}/{id} HTTP/1.1\r\nHost: {}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 8000\r\nContent-Length: 0\r\n\r\n",
        operator::HOST
    );
    stream.write_all(text.as_bytes()).ok()?;
    let mut channel = Channel::new(stream);
    let head = channel.read_head().ok()??;
    channel.read_body(&head).ok()?;
    Some(head.status())
}
