//! Tests of instances that run as processes against fakes of the users' platform.

mod bodies;
mod body_target;
mod commands;
mod customers;
mod deadly;
mod deployment;
mod endless;
mod faulty_targets;
mod foreign_entries;
mod large_configuration;
mod leaving;
mod notices;
mod outages;
mod quotas;
mod reload;
mod requests;
mod restored;
mod statuses;
mod stopping;
mod superseded;
mod unreachable;
