//! Membership of the fleet by pings and gossip, without consensus.

mod member;
mod membership;
mod owners;
mod relayed_pings;

pub use member::Member;
pub use member::Status;
pub use membership::Change;
pub use membership::Membership;
pub use membership::Probe;
pub use membership::UPDATES_PER_MESSAGE;
pub use owners::OWNERS_PER_SERVICE;
pub use owners::Owners;
pub use relayed_pings::RelayedPings;
