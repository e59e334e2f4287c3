//! Parses the platform's JSON list of engines.
//!
//! Entries are converted one by one, and their number is limited while they are parsed: in memory an entry can be many
//! times as large as its JSON.

use crate::wire_names;
use cindercleat_protocol::v1;
use serde::de::{DeserializeSeed, Deserializer, Error, MapAccess, SeqAccess, Visitor};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::fmt;

/// The reason why bytes are not a list of engines.
pub type Malformed = serde_json::Error;

#[derive(Deserialize)]
#[serde(field_identifier, rename_all = "lowercase")]
enum ListField {
    Revision,
    Complete,
    Members,
    #[serde(other)]
    Unknown,
}

#[derive(Deserialize)]
struct Member<'a> {
    id: String,
    host_port: String,
    locality: String,
    flavor: String,
    /// Kept as text, so that it holds no more memory than its JSON, whatever it is.
    #[serde(borrow)]
    cell: &'a RawValue,
    phase: String,
    #[serde(default)]
    size: Option<f64>,
    #[serde(default)]
    up_since_ms: Option<f64>,
}

/// Parses a list of engines, complete or with changes only. An engine with an unknown phase gets status `Unspecified`.
///
/// # Errors
/// Returns the JSON error if the bytes are not a valid list of engines, or a list of more than `max_engines`.
pub fn parse(bytes: &[u8], max_engines: usize) -> Result<v1::EndpointList, Malformed> {
    let mut json = serde_json::Deserializer::from_slice(bytes);
    let list = ListSeed { max_engines }.deserialize(&mut json)?;
    json.end()?;
    Ok(list)
}

/// Deserializes a list of at most `max_engines` engines.
#[derive(Clone, Copy)]
struct ListSeed {
    max_engines: usize,
}

impl<'de> DeserializeSeed<'de> for ListSeed {
    type Value = v1::EndpointList;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<Self::Value, D::Error> {
        deserializer.deserialize_map(self)
    }
}

impl<'de> Visitor<'de> for ListSeed {
    type Value = v1::EndpointList;

    fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("a list of engines")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
        let (mut revision, mut complete, mut endpoints) = (None, None, None);
        while let Some(field) = map.next_key()? {
            match field {
                ListField::Revision => revision = Some(map.next_value()?),
                ListField::Complete => complete = Some(map.next_value()?),
                ListField::Members => {
                    let max_engines = self.max_engines;
                    endpoints = Some(map.next_value_seed(EndpointsSeed { max_engines })?);
                }
                ListField::Unknown => {
                    map.next_value::<serde::de::IgnoredAny>()?;
                }
            }
        }
        let kind = if complete.ok_or_else(|| Error::missing_field("complete"))? {
            v1::EndpointUpdateKind::Snapshot
        } else {
            v1::EndpointUpdateKind::Delta
        };
        Ok(v1::EndpointList {
            kind: kind.into(),
            version: revision.ok_or_else(|| Error::missing_field("revision"))?,
            endpoints: endpoints.ok_or_else(|| Error::missing_field("members"))?,
        })
    }
}

/// Deserializes the entries of a list.
struct EndpointsSeed {
    max_engines: usize,
}

impl<'de> DeserializeSeed<'de> for EndpointsSeed {
    type Value = Vec<v1::Endpoint>;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<Self::Value, D::Error> {
        deserializer.deserialize_seq(self)
    }
}

impl<'de> Visitor<'de> for EndpointsSeed {
    type Value = Vec<v1::Endpoint>;

    fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("the entries of a list of engines")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut members: A) -> Result<Self::Value, A::Error> {
        let mut endpoints = Vec::new();
        while let Some(member) = members.next_element()? {
            if endpoints.len() >= self.max_engines {
                return Err(Error::custom(format!(
                    "more than {} engines",
                    self.max_engines
                )));
            }
            endpoints.push(endpoint(member));
        }
        Ok(endpoints)
    }
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
        cell: member.cell.get().to_owned(),
        status: status.into(),
        weight: member.size.unwrap_or(1.0),
        // The platform writes 0 for an engine that started long ago.
        started_ms: member.up_since_ms.filter(|at| *at > 0.0),
    }
}
