//! Command line for operators: release notes, settings, status, request logs,
//! and a demonstration with fakes.

pub mod cli;
pub mod commands;
pub mod trial;
