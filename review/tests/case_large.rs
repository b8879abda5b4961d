//! A configuration that has grown by many routes, and a planned restart.

use std::sync::Arc;

use crate::bed;
use crate::bed::Instance;
use crate::bed::Record;
use crate::bed::Server;
use crate::store::Store;

/// Steps of growth and routes of a step, the largest dose of `big_config` at the site.
const STEPS: usize = 15;
const ROUTES: usize = 350;
/// `valueBytes` of the settings.
const VALUE_BYTES: usize = 1_048_576;
const REQUESTS: usize = 40;

/// The configuration with `count` more routes, named and spelled as in the pages' examples.
fn grown(version: u32, count: usize) -> String {
    let routes: String = (0..count)
        .map(|number| {
            format!(
                r#""r-{number:07}":{{"host":"jepu9.example","pathPrefix":"/more{number:05}/","kind":"idempotent","timeout":"3000ms","latencySlo":"2000ms","priority":2,"service":"huvo11a","maxAttempts":2}},"#
            )
        })
        .collect();
    let text = bed::configuration(version, "huvo11a", "wuno96b", 4_000);
    text.replacen(r#""routes":{"#, &format!(r#""routes":{{{routes}"#), 1)
}

pub fn play(record: &Arc<Record>) -> bool {
    let store = Store::start(([127, 0, 0, 1], 0).into());
    store.put("op/config", &grown(7, 0));
    for number in 0..3 {
        Server::start(record, &store, &format!("i-{number}"), "huvo11a", 6, bed::works(30));
        Server::start(record, &store, &format!("i-1{number}"), "wuno96b", 6, bed::works(30));
    }
    let instances: Vec<Instance> = ["edge-smolyan-1", "edge-devin-1"]
        .iter()
        .zip(["smolyan", "devin"])
        .map(|(name, zone)| Instance::start(record, store.address, name, zone))
        .collect();
    for instance in &instances {
        bed::wait_until("readiness", 15_000, || instance.is_ready());
    }
    bed::sleep_ms(4_000);
    for step in 1..=STEPS {
        let routes = if bed::with_trouble() { step * ROUTES } else { 0 };
        let text = grown(7 + step as u32, routes);
        if text.len() > VALUE_BYTES {
            bed::cannot_run("the configuration is larger than a value of the store");
        }
        record.add(format!("the operator writes version {} with {routes} routes more, {} bytes", 7 + step, text.len()));
        store.put("op/config", &text);
        bed::sleep_ms(700);
    }
    bed::sleep_ms(2_000);
    let mut denied = [0; 2];
    for (number, instance) in instances.iter().enumerate() {
        denied[number] = ask(record, instance, "before the restart");
    }
    let instance = &instances[0];
    instance.signal("TERM");
    bed::wait_until("the end of the stopped instance", 7_000, || instance.ended().is_some());
    instance.spawn();
    bed::wait_until("readiness after the restart", 15_000, || instance.is_ready());
    // `stableWindow`, after which the machine is in touch again, and a second.
    bed::sleep_ms(4_000);
    let after = ask(record, instance, "after the restart");
    record.add(format!("{} of {REQUESTS} proper requests were answered 404 after the restart, {} and {} before it", after, denied[0], denied[1]));
    after > 10
}

/// Sends requests on the first routes; returns how many were answered 404.
fn ask(record: &Record, instance: &Instance, when: &str) -> usize {
    let mut denied = 0;
    for number in 0..REQUESTS {
        let Some(mut channel) = bed::connect(instance.front) else { continue };
        let (method, path) = if number % 2 == 0 { ("GET", "/lepu270/2f") } else { ("POST", "/xapu221/2f") };
        let id = bed::next_id();
        let seen = bed::ask(record, &mut channel, (method, path), &id, 6_000, b"");
        record.add(format!("caller {id} at {} {when}: {method} {path} {}", instance.name, seen.text()));
        denied += usize::from(seen.status == Some(404));
    }
    denied
}
