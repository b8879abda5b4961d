//! Command line for operators: release notes, settings, status, request logs,
//! and trials with fakes.

pub mod cli;
pub mod commands;
pub mod trial;
