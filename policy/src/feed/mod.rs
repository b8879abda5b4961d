//! A configuration and targets that come from a registry instead of notes.
//!
//! The registry tells whole releases and the targets' own entries; what follows
//! from them is the same kind of change that a release note makes.

mod contact;
mod history;
mod lag;
mod pace;
mod release;
mod world_feed;

pub use history::Missed;
pub use lag::Extent;
pub use lag::Lag;
pub use lag::Remedy;
pub use pace::Next;
pub use pace::Outcome;
pub use pace::Pace;
pub use pace::WATCH_MS;
pub use release::EntryChanges;
pub use release::Release;
pub use release::TargetEntry;
pub use world_feed::Kept;
pub use world_feed::Offered;
pub use world_feed::Stay;
pub use world_feed::Teller;
pub use world_feed::WorldFeed;
