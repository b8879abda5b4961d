//! Tasks that may outlive their requests; a graceful shutdown waits for them.

use std::future::Future;

use tokio::sync::watch;

/// Spawns background tasks and counts those that are running.
#[derive(Clone, Debug)]
pub struct BackgroundTasks {
    pending: watch::Sender<usize>,
}

impl Default for BackgroundTasks {
    fn default() -> Self {
        Self {
            pending: watch::channel(0).0,
        }
    }
}

impl BackgroundTasks {
    /// Spawns a task and counts it until it ends, also if it panics.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.pending.send_modify(|count| *count += 1);
        let guard = PendingGuard(self.pending.clone());
        tokio::spawn(async move {
            task.await;
            drop(guard);
        });
    }

    /// Waits until all tasks have ended.
    pub async fn wait_until_finished(&self) {
        let mut pending = self.pending.subscribe();
        let _ = pending.wait_for(|count| *count == 0).await;
    }
}

struct PendingGuard(watch::Sender<usize>);

impl Drop for PendingGuard {
    fn drop(&mut self) {
        self.0.send_modify(|count| *count -= 1);
    }
}
