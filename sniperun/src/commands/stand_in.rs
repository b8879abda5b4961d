//! Commands that run fakes as separate processes.

use std::net::SocketAddr;
use std::path::Path;

use standin::Backend;
use standin::PlatformServer;
use standin::Script;

use super::CommandError;
use super::Result;
use super::fetch;

/// Runs a fake platform until the process ends.
pub(super) async fn run_platform(address: SocketAddr) -> Result<String> {
    let server = PlatformServer::bind(address)
        .await
        .map_err(|source| CommandError::Bind { address, source })?;
    println!("platform at {}", server.address());
    std::future::pending().await
}

/// Runs a fake backend server for each target that a note adds, until the process ends.
pub(super) async fn run_backends(note: &Path) -> Result<String> {
    let note = fetch::read_note(note)?;
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
