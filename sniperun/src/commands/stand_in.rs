//! Fakes as processes of their own.

use std::net::SocketAddr;
use std::path::Path;

use standin::Backend;
use standin::PlatformServer;
use standin::Script;

use super::CommandError;
use super::Result;
use super::fetch;

/// Runs a fake platform until the process ends.
pub(super) async fn platform(address: SocketAddr) -> Result<String> {
    let server = PlatformServer::bind(address)
        .await
        .map_err(|source| CommandError::Bind { address, source })?;
    println!("platform at {}", server.address());
    std::future::pending().await
}

/// Runs a fake backend server for each target of a note until the process ends.
pub(super) async fn backends(note: &Path) -> Result<String> {
    let note = fetch::note(note)?;
    let mut running = Vec::new();
    for target in &note.targets.add {
        let address = target.address;
        let backend = Backend::bind(address, &target.name, Script::default())
            .await
            .map_err(|source| CommandError::Bind { address, source })?;
        running.push(backend);
    }
    println!("{} backend servers", running.len());
    std::future::pending().await
}
