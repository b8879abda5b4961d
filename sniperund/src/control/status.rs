//! How an instance sees the world, for operators.

use std::sync::Arc;

use policy::Instance;
use serde::Deserialize;
use serde::Serialize;

/// An instance's view.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The instance's id.
    pub instance: Arc<str>,
    /// Data centre that it runs in.
    pub data_centre: Arc<str>,
    /// Number of the note in force.
    pub note: u64,
    /// Whether it takes requests.
    pub ready: bool,
    /// The instances that it knows.
    pub members: Vec<MemberStatus>,
    /// The targets in its routing sets.
    pub targets: Vec<TargetStatus>,
}

/// Another instance, as this one sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The id.
    pub id: Arc<str>,
    /// The data centre.
    pub data_centre: Arc<str>,
    /// The status.
    pub status: String,
}

/// A target in a routing set.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetStatus {
    /// The service.
    pub service: Arc<str>,
    /// The target.
    pub target: Arc<str>,
    /// How homes see it.
    pub standing: String,
    /// Running evidence against it, 0 to 1.
    pub evidence: f64,
    /// Requests in flight to it from this instance.
    pub in_flight: u32,
}

impl Status {
    /// The view of an instance.
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
