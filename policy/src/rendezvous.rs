//! Rendezvous hashing: which instances are responsible for a key.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The weight of an instance for a key; the instances with the highest weights own the key.
pub fn weight(instance: &str, key: &str) -> u64 {
    let seed = xxh3_64_with_seed(instance.as_bytes(), 0);
    xxh3_64_with_seed(key.as_bytes(), seed)
}

/// The `count` instances with the highest weights for `key`, highest first.
pub fn highest<'a>(
    instances: impl Iterator<Item = &'a str>,
    key: &str,
    count: usize,
) -> Vec<&'a str> {
    let mut ranked: Vec<(u64, &str)> = Vec::with_capacity(count + 1);
    for instance in instances {
        let entry = (weight(instance, key), instance);
        let position = ranked.partition_point(|other| *other > entry);
        if position < count {
            ranked.insert(position, entry);
            ranked.truncate(count);
        }
    }
    ranked.into_iter().map(|(_, instance)| instance).collect()
}
