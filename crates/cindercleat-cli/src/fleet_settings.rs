//! The block `fleet` of a dispatcher's settings file. Its keywords are described in `docs/duties.md`.

use crate::conf::{Line, Problem, Section, Time};
use crate::release_plan;
use cindercleat::coordination::lease::LeaseSettings;
use cindercleat::coordination::member::{FleetSettings, MAX_NAME_BYTES};
use cindercleat::coordination::state::{MAX_VOTERS, MIN_VOTERS};
use cindercleat::coordination::{Address, Incarnation, Name};
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

/// All that taking part in a fleet needs.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    pub listen: String,
    /// Connections to others go out from here, if it matters.
    pub from: Option<IpAddr>,
    pub file: Option<PathBuf>,
    pub member: FleetSettings,
}

/// Round trips that a lease has to hold: a try and one more, three times over.
const ROUND_TRIPS: f64 = 6.0;

/// # Errors
/// The first thing wrong with the block.
pub fn read(block: &Section, name: &str, zone: &str, run: u64) -> Result<Fleet, Problem> {
    let address = |line: &Line, at: usize| -> Result<String, Problem> {
        let word: String = line.value(at)?;
        match word.parse::<SocketAddr>() {
            Ok(_) => Ok(word),
            Err(_) => Err(line.wrong(&format!(
                "an address such as 127.0.0.1:7500 in place of '{word}'"
            ))),
        }
    };
    let listen = address(block.one("listen")?, 1)?;
    let own = match block.maybe("address")? {
        Some(line) => address(line, 1)?,
        None => listen.clone(),
    };
    let mut voters: BTreeMap<Name, Address> = BTreeMap::new();
    for line in block.all("voter") {
        let (voter, at) = (line.value::<String>(1)?, address(line, 2)?);
        if voter.len() > MAX_NAME_BYTES {
            return Err(line.wrong(&format!("a name of at most {MAX_NAME_BYTES} bytes")));
        }
        if voters.values().any(|other| *other.0 == *at) {
            return Err(line.wrong("an address of its own for each voter"));
        }
        if voter == name && at != own {
            return Err(line.wrong(&format!("this dispatcher's own address, {own}")));
        }
        if voters
            .insert(Name::from(voter.as_str()), Address::from(at.as_str()))
            .is_some()
        {
            return Err(line.wrong(&format!("each voter once, and '{voter}' is there already")));
        }
    }
    let number = voters.len();
    if number.is_multiple_of(2) || !(MIN_VOTERS..=MAX_VOTERS).contains(&number) {
        let last = block.all("voter").last().copied().unwrap_or(&block.head);
        return Err(last.wrong(&format!(
            "3, 5 or 7 lines 'voter NAME ADDRESS' (there are {number})"
        )));
    }
    let file = block.maybe_value::<String>("file")?.map(PathBuf::from);
    if voters.contains_key(&Name::from(name)) && file.is_none() {
        return Err(block.lacks("file"));
    }
    let time =
        |keyword: &'static str, absent: f64| block.value_or(keyword, Time(absent)).map(|t| t.0);
    let lease = time("lease", 3_000.0)?;
    let request_timeout = time("answer", lease / 10.0)?;
    let drift = match block.maybe("drift")? {
        Some(line) => {
            let drift: f64 = line.only()?;
            if !(0.0..0.5).contains(&drift) {
                return Err(line.wrong("a part under 0.5"));
            }
            drift
        }
        None => 0.01,
    };
    if lease < ROUND_TRIPS * request_timeout || request_timeout <= 0.0 {
        let line = block
            .maybe("lease")?
            .or(block.maybe("answer")?)
            .unwrap_or(&block.head);
        let expected =
            format!("a lease of at least {ROUND_TRIPS} times 'answer' ({request_timeout:.0}ms)");
        return Err(line.wrong(&expected));
    }
    let heartbeat = time("beat", lease / 5.0)?;
    let report_interval = time("tell-every", heartbeat)?;
    if heartbeat < 10.0 || report_interval < 1.0 {
        return Err(block
            .head
            .wrong("'beat' of at least 10ms and 'tell-every' of at least 1ms"));
    }
    let report_receivers = block
        .all("tell")
        .iter()
        .map(|line| address(line, 1))
        .collect::<Result<Vec<_>, _>>()?;
    let from = match block.maybe("from")? {
        Some(line) => {
            let word: String = line.only()?;
            let wrong = || {
                line.wrong(&format!(
                    "an address such as 127.0.0.1 in place of '{word}'"
                ))
            };
            Some(word.parse::<IpAddr>().map_err(|_| wrong())?)
        }
        None => None,
    };
    let member = FleetSettings {
        fleet: block.value_or("name", "fleet".to_owned())?,
        own_name: Name::from(name),
        incarnation: Incarnation(run),
        address: Address::from(own.as_str()),
        zone: zone.to_owned(),
        label: block.value_or("label", env!("CARGO_PKG_VERSION").to_owned())?,
        voters,
        may_vote: file.is_some(),
        lease: LeaseSettings { lease, drift },
        request_timeout,
        heartbeat,
        preferred_zone: block.maybe_value("prefers")?,
        report_receivers: report_receivers
            .iter()
            .map(|at| Address::from(at.as_str()))
            .collect(),
        report_interval,
        disruption_budgets: release_plan::bounds(block)?,
        drain_list_address: match block.maybe("keeper")? {
            Some(line) => Some(Address::from(address(line, 1)?.as_str())),
            None => None,
        },
        seed: run,
    };
    block.nothing_else()?;
    Ok(Fleet {
        listen,
        from,
        file,
        member,
    })
}
