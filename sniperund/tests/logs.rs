//! How many requests are logged.

use sniperund::logs::Sampler;

const SECOND_US: u64 = 1_000_000;

/// Requests kept in each second of a constant load.
fn kept_a_second(requests_per_s: u64, seconds: u64) -> Vec<u64> {
    let sampler = Sampler::default();
    let kept_in = |second: u64| {
        let ids = (0..requests_per_s).map(|at| (at, format!("{second:x}{at:08x}")));
        let kept = ids.filter(|(at, id)| {
            let now_us = second * SECOND_US + at * SECOND_US / requests_per_s;
            sampler.keeps(now_us, id)
        });
        kept.count() as u64
    };
    (0..seconds).map(kept_in).collect()
}

#[test]
fn a_usual_load_is_logged_whole() {
    assert!(kept_a_second(100, 10).iter().all(|kept| *kept == 100));
}

#[test]
fn a_flood_is_sampled_down_within_seconds() {
    let kept = kept_a_second(20_000, 15);
    // 400 lines a second, two lines a request.
    assert!(kept[10..].iter().all(|kept| *kept <= 400), "{kept:?}");
    assert!(kept[10..].iter().all(|kept| *kept > 0), "{kept:?}");
}

#[test]
fn instances_keep_the_same_requests() {
    let busy = Sampler::default();
    let busier = Sampler::default();
    // Twelve seconds of 10,000 and of 40,000 requests a second.
    for at in 0..120_000_u64 {
        busy.keeps(at * 100, &format!("{at:x}"));
    }
    for at in 0..480_000_u64 {
        busier.keeps(at * 25, &format!("{at:x}"));
    }
    let ids = (0..100_000_u64).map(|at| format!("f{at:x}"));
    let kept_by_busier: Vec<String> = ids.filter(|id| busier.keeps(12_000_001, id)).collect();
    assert!(!kept_by_busier.is_empty());
    assert!(kept_by_busier.iter().all(|id| busy.keeps(12_000_001, id)));
}
