//! Work that outlives its request, and that a planned stop waits for.

use std::future::Future;

use tokio::sync::watch;

/// Counts tasks in the background.
#[derive(Clone, Debug)]
pub struct Background {
    pending: watch::Sender<usize>,
}

impl Default for Background {
    fn default() -> Self {
        Self {
            pending: watch::channel(0).0,
        }
    }
}

impl Background {
    /// Starts a task.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.pending.send_modify(|count| *count += 1);
        let done = Done(self.pending.clone());
        tokio::spawn(async move {
            task.await;
            drop(done);
        });
    }

    /// Waits until no task is left.
    pub async fn finished(&self) {
        let mut pending = self.pending.subscribe();
        let _ = pending.wait_for(|count| *count == 0).await;
    }
}

struct Done(watch::Sender<usize>);

impl Drop for Done {
    fn drop(&mut self) {
        self.0.send_modify(|count| *count -= 1);
    }
}
