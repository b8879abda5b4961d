//! Reads of the platform over a link that is slow for large entries.

use border::HttpPlatform;
use border::Platform;
use border::WriteRequest;
use standin::Link;
use standin::PlatformServer;

/// Bandwidth of a link of 10 Mbit/s.
const BYTES_PER_S: f64 = 10e6 / 8.0;
const VALUE_BYTES: usize = 1_500_000;

/// Guards against an entry that is never read, as it takes longer than a call without a body.
#[tokio::test]
async fn a_large_entry_is_read_over_a_small_link() {
    let server = PlatformServer::bind(([127, 0, 0, 1], 0).into()).await;
    let server = server.expect("failed to start the platform");
    let link = Link::start(server.address(), BYTES_PER_S).await;
    let link = link.expect("failed to start the link");
    let platform = HttpPlatform::new(&link.address().to_string());
    let write = WriteRequest {
        key: "large".into(),
        value: "x".repeat(VALUE_BYTES).into(),
        ttl_ms: None,
    };
    let created = platform.create(write).await;
    assert!(created.is_ok(), "{created:?}");
    let read = platform.get("large".into()).await;
    let bytes = read.map(|entry| entry.map(|entry| entry.value.len()));
    assert_eq!(bytes, Ok(Some(VALUE_BYTES)));
}
