//! Parses the platform's JSON list of engines.

use crate::wire_names;
use cindercleat_protocol::v1;
use serde::Deserialize;

/// The reason why bytes are not a list of engines.
pub type Malformed = serde_json::Error;

#[derive(Deserialize)]
struct List {
    revision: u64,
    complete: bool,
    members: Vec<Member>,
}

#[derive(Deserialize)]
struct Member {
    id: String,
    host_port: String,
    locality: String,
    flavor: String,
    cell: serde_json::Value,
    phase: String,
    #[serde(default)]
    size: Option<f64>,
    #[serde(default)]
    up_since_ms: Option<f64>,
}

/// Parses a list of engines, complete or with changes only. An engine with an unknown phase gets status `Unspecified`.
///
/// # Errors
/// Returns the JSON error if the bytes are not a valid list of engines.
pub fn parse(bytes: &[u8]) -> Result<v1::EndpointList, Malformed> {
    let list: List = serde_json::from_slice(bytes)?;
    let kind = if list.complete {
        v1::EndpointUpdateKind::Snapshot
    } else {
        v1::EndpointUpdateKind::Delta
    };
    let endpoints = list.members.into_iter().map(endpoint).collect();
    Ok(v1::EndpointList {
        kind: kind.into(),
        version: list.revision,
        endpoints,
    })
}

fn endpoint(member: Member) -> v1::Endpoint {
    let status = match member.phase.as_str() {
        wire_names::PHASE_UP => v1::EndpointStatus::Ready,
        wire_names::PHASE_DRAINING => v1::EndpointStatus::Draining,
        wire_names::PHASE_REMOVED => v1::EndpointStatus::Gone,
        _ => v1::EndpointStatus::Unspecified,
    };
    v1::Endpoint {
        engine: member.id,
        address: member.host_port,
        zone: member.locality,
        kind: member.flavor,
        cell: member.cell.to_string(),
        status: status.into(),
        weight: member.size.unwrap_or(1.0),
        // The platform writes 0 for an engine that started long ago.
        started_ms: member.up_since_ms.filter(|at| *at > 0.0),
    }
}
