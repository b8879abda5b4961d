//! Tests that plans are deterministic and cover all faults.

use soak::Plan;
use soak::Size;

const SIZE: Size = Size {
    instances: 4,
    targets_per_service: 5,
    callers: 16,
};

#[test]
fn the_same_seed_gives_the_same_plan() {
    assert_eq!(Plan::from_seed(7, SIZE), Plan::from_seed(7, SIZE));
    assert_ne!(
        Plan::from_seed(7, SIZE).steps,
        Plan::from_seed(8, SIZE).steps
    );
}

#[test]
fn all_kinds_of_faults_are_drawn() {
    let mut names = std::collections::BTreeSet::new();
    for seed in 0..50 {
        for step in Plan::from_seed(seed, SIZE).steps {
            let text = format!("{:?}", step.fault);
            names.insert(text.split('(').next().unwrap_or_default().to_owned());
        }
    }
    assert_eq!(names.len(), 17, "{names:?}");
}
