//! The operators' command line.

pub mod cli;
pub mod commands;
pub mod trial;
