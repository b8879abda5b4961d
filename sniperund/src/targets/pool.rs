//! Pool of idle connections to targets.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use parking_lot::Mutex;
use policy::limits::BodyMemory;

use super::Connection;

/// Time after which an idle connection is closed.
const MAX_IDLE: Duration = Duration::from_secs(5);

/// Idle connections, by target address.
#[derive(Debug)]
pub struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<(Instant, Connection)>>>,
    max_idle_per_address: usize,
    body_memory: Arc<BodyMemory>,
}

impl Pool {
    /// Creates a pool that holds up to `max_idle_per_address` idle connections to each address,
    /// whose bytes of bodies count in `body_memory`.
    pub fn new(max_idle_per_address: usize, body_memory: Arc<BodyMemory>) -> Self {
        Self {
            idle: Mutex::new(HashMap::new()),
            max_idle_per_address,
            body_memory,
        }
    }

    /// Opens a connection to `address`.
    ///
    /// # Errors
    ///
    /// Returns the error of connecting, or a timeout.
    pub async fn open(&self, address: SocketAddr) -> io::Result<Connection> {
        Connection::open(address, self.body_memory.clone()).await
    }

    /// Returns a connection to the pool after its exchange is complete; closes it if the pool is
    /// full for its address.
    pub fn put_back(&self, connection: Connection) {
        let mut idle = self.idle.lock();
        let entries = idle.entry(connection.address()).or_default();
        if entries.len() < self.max_idle_per_address {
            entries.push((Instant::now(), connection));
        }
    }

    /// Closes connections that have been idle too long or were closed by the target.
    pub fn sweep(&self) {
        self.idle.lock().retain(|_, entries| {
            entries
                .retain(|(since, connection)| since.elapsed() < MAX_IDLE && connection.is_ready());
            !entries.is_empty()
        });
    }

    /// Takes an idle connection to `address`, if there is one.
    pub fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock();
        let entries = idle.get_mut(&address)?;
        while let Some((since, connection)) = entries.pop() {
            if since.elapsed() < MAX_IDLE && connection.is_ready() {
                return Some(connection);
            }
        }
        None
    }
}
