//! Load balancing: the targets that requests may go to, and the choice among them.

mod body_bound;
mod candidate;
mod choice;
mod floor;
mod load;
mod reachability;
mod routing_table;
mod service_table;
mod subset;
mod table_freshness;
mod target_process;
mod working_set;

pub use body_bound::BodyInFlight;
pub use body_bound::counted_body_bytes;
pub use candidate::Candidate;
pub use choice::Choice;
pub use choice::ChoiceParams;
pub use floor::RoutingSet;
pub use floor::enforce_floor;
pub use load::DEFAULT_DEPARTURE_LIMIT_US;
pub use load::ServiceLoad;
pub use load::Slot;
pub use load::TargetLoad;
pub use reachability::Reachability;
pub use routing_table::RoutingTable;
pub use service_table::ChoiceStrategy;
pub use service_table::ServiceTable;
pub use subset::Subset;
pub use subset::SubsetPlace;
pub use subset::permits_subsets;
pub use table_freshness::FREEZE_THRESHOLD_US;
pub use table_freshness::TableFreshness;
pub use target_process::TargetProcess;
