//! Interface to a registry that stores the configuration, the targets and the instances.

use futures::future::BoxFuture;
use model::configuration::Target;
use policy::feed::Release;
use policy::feed::TargetEntry;
use policy::membership::Member;

use super::Result;

/// A value read from the registry, with the revision at which it was read.
#[derive(Clone, Debug, PartialEq)]
pub struct Versioned<T> {
    /// The registry's revision, ordered by its era first (`policy::feed::revision_of`).
    pub revision: u64,
    /// The value.
    pub value: T,
}

/// Result of a watch.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchOutcome<T> {
    /// The changes up to a revision; empty if there were none within the wait time.
    Changes(Versioned<Vec<T>>),
    /// The registry's history no longer covers the revision, or the registry was restored from a
    /// copy since, so a full read is needed.
    HistoryLost,
}

/// A lease under which an instance is announced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Id assigned by the registry.
    pub id: u64,
    /// Time to live without renewal, in milliseconds.
    pub ttl_ms: u64,
    /// Era of the registry in which it was granted.
    pub era: u64,
}

/// A registry with revisions, watches and leases.
///
/// Any call can return an error although it has taken effect.
pub trait Registry: Send + Sync {
    /// Reads the latest configuration; `None` if none has been published yet.
    fn release(&self) -> BoxFuture<'_, Result<Versioned<Option<Release>>>>;

    /// Reads the entries of all targets.
    fn targets(&self) -> BoxFuture<'_, Result<Versioned<Vec<Target>>>>;

    /// Waits up to `wait_ms` for configurations published after revision `after`.
    fn watch_release(
        &self,
        after: u64,
        wait_ms: u64,
    ) -> BoxFuture<'_, Result<WatchOutcome<Release>>>;

    /// Waits up to `wait_ms` for target changes after revision `after`.
    fn watch_targets(
        &self,
        after: u64,
        wait_ms: u64,
    ) -> BoxFuture<'_, Result<WatchOutcome<TargetEntry>>>;

    /// Registers an instance under a new lease.
    fn announce<'a>(&'a self, member: &'a Member, ttl_ms: u64) -> BoxFuture<'a, Result<Lease>>;

    /// Renews a lease; returns `false` if it has expired.
    fn renew(&self, lease: Lease) -> BoxFuture<'_, Result<bool>>;

    /// Checks that the registry answers, using the cheapest read it offers; returns its era, if the
    /// answer states it.
    fn ping(&self) -> BoxFuture<'_, Result<Option<u64>>>;

    /// Reads the registered instances.
    fn members(&self) -> BoxFuture<'_, Result<Vec<Member>>>;
}
