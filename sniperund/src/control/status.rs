//! Status report of an instance for operators.

use std::sync::Arc;

use policy::Instance;
use serde::Deserialize;
use serde::Serialize;

/// State of an instance and its view of other instances and targets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Id of the instance.
    pub instance: Arc<str>,
    /// Data centre that the instance runs in.
    pub data_centre: Arc<str>,
    /// Number of the note in force.
    pub note: u64,
    /// Whether the instance is ready to serve requests.
    pub ready: bool,
    /// Instances in its membership list.
    pub members: Vec<MemberStatus>,
    /// Targets in its routing tables.
    pub targets: Vec<TargetStatus>,
}

/// An entry of the membership list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Id of the member.
    pub id: Arc<str>,
    /// Data centre that the member runs in.
    pub data_centre: Arc<str>,
    /// Membership status, in lower case.
    pub status: String,
}

/// A target in a routing table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetStatus {
    /// Name of the service.
    pub service: Arc<str>,
    /// Name of the target.
    pub target: Arc<str>,
    /// Health of the target as decided by the owners, in lower case.
    pub standing: String,
    /// Evidence of failure from this instance's own requests, 0 to 1.
    pub evidence: f64,
    /// Number of requests in flight from this instance to the target.
    pub in_flight: u32,
}

impl Status {
    /// Creates a report from the current state of an instance.
    pub fn of(instance: &Instance) -> Self {
        let own = instance.membership().own();
        let table = instance.shared().table();
        let members = instance.membership().present().map(|member| MemberStatus {
            id: member.id.clone(),
            data_centre: member.data_centre.clone(),
            status: member.status.to_string().to_ascii_lowercase(),
        });
        let services = table.services.values();
        let candidates = services.flat_map(|table| {
            table
                .candidates
                .iter()
                .map(move |candidate| (table, candidate))
        });
        let targets = candidates.map(|(table, candidate)| TargetStatus {
            service: table.service.name.clone(),
            target: candidate.target.name.clone(),
            standing: format!("{:?}", candidate.health).to_ascii_lowercase(),
            evidence: candidate.load.local_evidence(),
            in_flight: candidate.load.in_flight(),
        });
        let mut targets: Vec<TargetStatus> = targets.collect();
        targets.sort_by(|a, b| (&a.service, &a.target).cmp(&(&b.service, &b.target)));
        Self {
            instance: own.id.clone(),
            data_centre: own.data_centre.clone(),
            note: instance.configuration().number,
            ready: instance.is_ready(),
            members: members.collect(),
            targets,
        }
    }
}
