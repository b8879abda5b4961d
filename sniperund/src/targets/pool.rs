//! Idle connections to targets.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use parking_lot::Mutex;

use super::Connection;

/// An idle connection older than this is closed.
const IDLE: Duration = Duration::from_secs(5);

/// Idle connections by address.
#[derive(Debug)]
pub struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<(Instant, Connection)>>>,
    limit: usize,
}

impl Pool {
    /// A pool that keeps `limit` connections for each address.
    pub fn new(limit: usize) -> Self {
        Self {
            idle: Mutex::new(HashMap::new()),
            limit,
        }
    }

    /// Takes an idle connection or opens one.
    ///
    /// # Errors
    ///
    /// Returns the error of connecting.
    pub async fn take(&self, address: SocketAddr) -> io::Result<Connection> {
        match self.take_idle(address) {
            Some(connection) => Ok(connection),
            None => Connection::open(address).await,
        }
    }

    /// Gives back a connection whose exchange has ended whole.
    pub fn give(&self, connection: Connection) {
        let mut idle = self.idle.lock();
        let kept = idle.entry(connection.address()).or_default();
        if kept.len() < self.limit {
            kept.push((Instant::now(), connection));
        }
    }

    /// Closes connections that have been idle for long.
    pub fn sweep(&self) {
        self.idle.lock().retain(|_, kept| {
            kept.retain(|(since, connection)| since.elapsed() < IDLE && connection.is_ready());
            !kept.is_empty()
        });
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock();
        let kept = idle.get_mut(&address)?;
        while let Some((since, connection)) = kept.pop() {
            if since.elapsed() < IDLE && connection.is_ready() {
                return Some(connection);
            }
        }
        None
    }
}
