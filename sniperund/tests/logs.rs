//! Sampling of the log lines of requests.

use sniperund::logs::Sampler;

const SECOND_US: u64 = 1_000_000;

/// Number of requests logged in each second of a constant load.
fn logged_per_second(requests_per_s: u64, seconds: u64) -> Vec<u64> {
    let sampler = Sampler::default();
    let logged_in = |second: u64| {
        let ids = (0..requests_per_s).map(|index| (index, format!("{second:x}{index:08x}")));
        let logged = ids.filter(|(index, id)| {
            let now_us = second * SECOND_US + index * SECOND_US / requests_per_s;
            sampler.is_sampled(now_us, id)
        });
        logged.count() as u64
    };
    (0..seconds).map(logged_in).collect()
}

#[test]
fn a_normal_load_is_logged_completely() {
    assert!(logged_per_second(100, 10).iter().all(|count| *count == 100));
}

#[test]
fn a_high_load_is_sampled_within_seconds() {
    let logged = logged_per_second(20_000, 15);
    // Above 400 lines per second, at two lines per request, fewer requests are logged.
    assert!(logged[10..].iter().all(|count| *count <= 400), "{logged:?}");
    assert!(logged[10..].iter().all(|count| *count > 0), "{logged:?}");
}

#[test]
fn a_busier_instance_logs_a_subset_of_the_same_requests() {
    let busy = Sampler::default();
    let busier = Sampler::default();
    // Twelve seconds at 10,000 and at 40,000 requests per second.
    for index in 0..120_000_u64 {
        busy.is_sampled(index * 100, &format!("{index:x}"));
    }
    for index in 0..480_000_u64 {
        busier.is_sampled(index * 25, &format!("{index:x}"));
    }
    let ids = (0..100_000_u64).map(|index| format!("f{index:x}"));
    let logged_by_busier: Vec<String> =
        ids.filter(|id| busier.is_sampled(12_000_001, id)).collect();
    assert!(!logged_by_busier.is_empty());
    assert!(
        logged_by_busier
            .iter()
            .all(|id| busy.is_sampled(12_000_001, id))
    );
}
