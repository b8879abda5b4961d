//! Who else is alive, learned by heartbeats without agreement.

mod homes;
mod member;
mod membership;
mod relayed_pings;

pub use homes::HOMES_PER_SERVICE;
pub use homes::Homes;
pub use member::Member;
pub use member::Status;
pub use membership::Change;
pub use membership::Membership;
pub use membership::Probe;
pub use membership::UPDATES_PER_MESSAGE;
pub use relayed_pings::RelayedPings;
