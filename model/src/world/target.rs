//! A target: one backend server of a service.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::Named;

/// A target and its contract.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// The target's name.
    pub name: Arc<str>,
    /// Name of its service.
    pub service: Arc<str>,
    /// Data centre that it runs in.
    pub data_centre: Arc<str>,
    /// Address that it serves at.
    pub address: SocketAddr,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
    /// Whether its answer 503 means that the request was not run.
    #[serde(default)]
    pub refusal_is_not_run: bool,
    /// Whether it is to be left without new work.
    #[serde(default)]
    pub leaving: bool,
    /// Start of its process in milliseconds since 1970; 0 if unknown.
    #[serde(default)]
    pub incarnation: u64,
}

impl Named for Target {
    const KIND: &'static str = "target";

    fn name(&self) -> &Arc<str> {
        &self.name
    }
}
