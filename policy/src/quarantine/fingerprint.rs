//! Identity of a request by its content.
//!
//! The hash is cryptographic, so that no caller can build a request that is taken for another
//! caller's.

use std::fmt;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

const FINGERPRINT_BYTES: usize = 16;

/// Hash of a request's content.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[display("{}", Hex(_0))]
pub struct Fingerprint([u8; FINGERPRINT_BYTES]);

/// What makes two requests the same.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    /// The customer that the request names. Addresses are no part of the content: behind a balancer
    /// they may change from one connection to the next.
    pub customer: Option<&'a str>,
    /// The method.
    pub method: &'a str,
    /// The host.
    pub host: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Length of the body in bytes; `None` while unknown.
    pub body_length: Option<u64>,
    /// The body; empty if it is not kept in memory.
    pub body: &'a [u8],
}

impl RequestContent<'_> {
    /// Returns the hash of the content.
    pub fn fingerprint(&self) -> Fingerprint {
        let mut hasher = Sha256::new();
        let customer = self.customer.unwrap_or_default();
        for part in [customer, self.method, self.host, self.path] {
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        hasher.update(self.body_length.unwrap_or(u64::MAX).to_le_bytes());
        hasher.update(self.body);
        let hash = hasher.finalize();
        let mut fingerprint = [0; FINGERPRINT_BYTES];
        fingerprint.copy_from_slice(&hash[..FINGERPRINT_BYTES]);
        Fingerprint(fingerprint)
    }
}

struct Hex<'a>(&'a [u8]);

impl fmt::Display for Hex<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}
