//! Measures the memory and the lookup time of customers with keys, and the time to apply a release
//! with them.

use std::hint::black_box;
use std::time::Instant;

use model::Configuration;
use model::configuration::Customer;
use model::configuration::KeyDigest;
use policy::feed::RegistryView;
use policy::feed::Release;
use policy::notes::NoteLog;

use super::full_size::CUSTOMERS;
use super::slopes::measure_memory;
use super::slopes::measure_time;

const KEYS_PER_CUSTOMER: usize = 2;
const LOOKUPS_PER_ROUND: u64 = 200_000;
const SHORT_KEY_BYTES: usize = 32;
const LONG_KEY_BYTES: usize = 8_000;
/// Step between the customers that are looked up, a prime, so that they follow no order in memory.
const STEP: usize = 7_919;

fn key(customer: usize, number: usize) -> String {
    let key = format!("customer-{customer:06}-key-{number}");
    format!("{key:x<SHORT_KEY_BYTES$}")
}

fn customer(index: usize, salt: usize) -> Customer {
    let keys = (0..KEYS_PER_CUSTOMER).map(|number| key(index, number + salt));
    Customer {
        keys: Some(keys.map(|key| KeyDigest::of(key.as_bytes())).collect()),
        ..Customer::new(format!("customer-{index:06}").into(), u32::MAX)
    }
}

fn release(number: u64, salt: impl Fn(usize) -> usize) -> Release {
    let customers = (0..CUSTOMERS).map(|index| customer(index, salt(index)));
    Release {
        number,
        customers: Some(customers.collect()),
        ..Release::default()
    }
}

/// Applies a release as an instance does; returns the seconds that this takes.
fn apply(log: &mut NoteLog, release: &Release) -> f64 {
    let mut view = RegistryView::default();
    view.apply_release(release.clone());
    let started = Instant::now();
    let change = view.change(log.configuration());
    let (number, change) = change.expect("the release is newer");
    let applied = log.apply_change(number, &change);
    applied.expect("the release is valid");
    started.elapsed().as_secs_f64()
}

fn lookup_ns(configuration: &Configuration, keys: &[String]) -> f64 {
    let (ns, _) = measure_time(LOOKUPS_PER_ROUND, |call| {
        let key = &keys[call as usize % keys.len()];
        let digest = KeyDigest::of(black_box(key.as_bytes()));
        black_box(configuration.customer_by_key(&digest));
    });
    ns
}

/// Measures and returns the figures as text.
pub(super) fn measure() -> String {
    let (first, release_bytes) = measure_memory(|| release(1, |_| 0));
    let mut log = NoteLog::default();
    let (first_s, bytes) = measure_memory(|| apply(&mut log, &first));
    let one_changed = release(2, |index| usize::from(index == 0) * KEYS_PER_CUSTOMER);
    let one_s = apply(&mut log, &one_changed);
    let all_changed = release(3, |_| 2 * KEYS_PER_CUSTOMER);
    let all_s = apply(&mut log, &all_changed);
    apply(&mut log, &release(4, |_| 0));
    let configuration = log.configuration();
    let known: Vec<String> = (0..CUSTOMERS)
        .map(|index| key(index * STEP % CUSTOMERS, index % KEYS_PER_CUSTOMER))
        .collect();
    let unknown: Vec<String> = (0..CUSTOMERS).map(|index| key(index, 9)).collect();
    let long = vec!["k".repeat(LONG_KEY_BYTES)];
    format!(
        "customers {CUSTOMERS}, keys {}\n\
         memory {:.1} MB, {:.0} B a customer, and {:.1} MB of the release\n\
         lookup known {:.0} ns, unknown {:.0} ns, unknown of {LONG_KEY_BYTES} B {:.0} ns\n\
         apply first {:.3} s, one customer changed {:.3} s, all keys changed {:.3} s\n",
        CUSTOMERS * KEYS_PER_CUSTOMER,
        bytes / 1e6,
        bytes / CUSTOMERS as f64,
        release_bytes / 1e6,
        lookup_ns(configuration, &known),
        lookup_ns(configuration, &unknown),
        lookup_ns(configuration, &long),
        first_s,
        one_s,
        all_s,
    )
}
