//! A registry that holds the configuration, the targets and the instances.

use futures::future::BoxFuture;
use model::configuration::Target;
use policy::feed::Release;
use policy::feed::TargetEntry;
use policy::membership::Member;

use super::Result;

/// What was read, and the revision as of which.
#[derive(Clone, Debug, PartialEq)]
pub struct Reading<T> {
    /// The registry's revision.
    pub revision: u64,
    /// What was read.
    pub value: T,
}

/// What a watch came to.
#[derive(Clone, Debug, PartialEq)]
pub enum Watched<T> {
    /// The changes up to a revision; none if nothing changed.
    Changes(Reading<Vec<T>>),
    /// The registry no longer knows what changed.
    HistoryLost,
}

/// A lease on an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Its number.
    pub id: u64,
    /// Time that it lasts without renewal, in milliseconds.
    pub ttl_ms: u64,
}

/// A registry.
///
/// Each call can fail after it has taken effect.
pub trait Registry: Send + Sync {
    /// Reads the latest configuration; none before the first.
    fn release(&self) -> BoxFuture<'_, Result<Reading<Option<Release>>>>;

    /// Reads the entries of all targets.
    fn targets(&self) -> BoxFuture<'_, Result<Reading<Vec<Target>>>>;

    /// Waits for configurations after a revision.
    fn watch_release(&self, after: u64, wait_ms: u64) -> BoxFuture<'_, Result<Watched<Release>>>;

    /// Waits for changes of targets after a revision.
    fn watch_targets(
        &self,
        after: u64,
        wait_ms: u64,
    ) -> BoxFuture<'_, Result<Watched<TargetEntry>>>;

    /// Announces an instance under a new lease.
    fn announce<'a>(&'a self, member: &'a Member, ttl_ms: u64) -> BoxFuture<'a, Result<Lease>>;

    /// Renews a lease; false if it has ended.
    fn renew(&self, lease: Lease) -> BoxFuture<'_, Result<bool>>;

    /// Asks whether the registry answers, at the price of the cheapest read.
    fn ping(&self) -> BoxFuture<'_, Result<()>>;

    /// Reads the instances announced.
    fn members(&self) -> BoxFuture<'_, Result<Vec<Member>>>;
}
