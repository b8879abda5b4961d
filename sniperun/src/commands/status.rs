//! Command that shows the state of instances.

use std::fmt::Write;
use std::net::SocketAddr;

use sniperund::control::Status;

use super::CommandError;
use super::Result;
use super::fetch;

/// Shows the state that instances report, as text or as one JSON object per line.
pub(super) async fn show(instances: &[SocketAddr], json: bool) -> Result<String> {
    if instances.is_empty() {
        return Err(CommandError::Trial(
            "expected at least one --instance ADDRESS".to_owned(),
        ));
    }
    let mut text = String::new();
    for address in instances {
        let status = fetch::fetch_status(*address).await?;
        if json {
            let _ = writeln!(
                text,
                "{}",
                serde_json::to_string(&status).unwrap_or_default()
            );
        } else {
            write_status(&mut text, &status);
        }
    }
    Ok(text)
}

fn write_status(text: &mut String, status: &Status) {
    let ready = if status.ready { "ready" } else { "not ready" };
    let _ = writeln!(
        text,
        "{} in {}: note {}, {ready}, {} instances known",
        status.instance,
        status.data_centre,
        status.note,
        status.members.len()
    );
    for target in &status.targets {
        let _ = writeln!(
            text,
            "  {:<12} {:<16} {:<9} evidence {:.2}  in flight {}",
            target.service, target.target, target.standing, target.evidence, target.in_flight
        );
    }
}
