//! Tests with real instances as processes between fakes of the users' platform.

mod commands;
mod deployment;
mod endless;
mod outages;
mod reload;
mod requests;
