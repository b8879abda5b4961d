//! The control decisions of one instance behind one entry point.

mod action;
mod alerts;
mod demand;
mod evidence;
mod freshness;
mod input;
mod instance;
mod members;
mod message;
mod messages;
mod notes;
mod platform;
mod publishing;
mod readiness;
mod registry;
mod settings;
mod shared;
mod steering;
mod tables;

pub use action::Action;
pub use action::Happening;
pub use action::PlatformCall;
pub use input::Input;
pub use input::PlatformAnswer;
pub use input::RegistryNews;
pub use instance::Instance;
pub use instance::TICK_US;
pub use message::Alert;
pub use message::Envelope;
pub use message::Message;
pub use message::ToldDoubt;
pub use message::ToldLatencies;
pub use settings::EvidenceSharing;
pub use settings::Settings;
pub use settings::WorldSource;
pub use shared::Shared;
