//! The start settings: `path=value` pairs in any order to the interface's [`Settings`].

use crate::wire::Malformed;
use cindercleat::interface::*;
use std::collections::BTreeMap;
use std::str::FromStr;

/// The settings, and the load report's columns, which only the wire needs.
pub struct Conf {
    pub settings: Settings,
    pub columns: Vec<String>,
}

struct Pairs<'a>(BTreeMap<&'a str, &'a str>);

impl Pairs<'_> {
    fn text(&self, path: &str) -> Result<&str, Malformed> {
        let found = self.0.get(path).copied();
        found.ok_or_else(|| Malformed::new(format!("the setting {path}"), "none"))
    }

    fn number<T: FromStr>(&self, path: &str) -> Result<T, Malformed> {
        let text = self.text(path)?;
        text.parse().map_err(|_| Malformed::new(format!("a number in {path}"), text))
    }

    fn amount(&self, path: &str) -> Result<f64, Malformed> {
        let value: f64 = self.number(path)?;
        if value.is_finite() {
            Ok(value)
        } else {
            Err(Malformed::new(path, value.to_string()))
        }
    }

    fn amount_or(&self, path: &str, absent: f64) -> Result<f64, Malformed> {
        if self.0.contains_key(path) {
            self.amount(path)
        } else {
            Ok(absent)
        }
    }

    fn time(&self, path: &str) -> Result<Ms, Malformed> {
        self.amount(path).map(|us| us / 1000.0)
    }

    fn time_or(&self, path: &str, absent: Ms) -> Result<Ms, Malformed> {
        self.amount_or(path, absent * 1000.0).map(|us| us / 1000.0)
    }

    fn flag(&self, path: &str) -> Result<bool, Malformed> {
        match self.0.get(path).copied() {
            None | Some("false" | "0") => Ok(false),
            Some("true" | "1") => Ok(true),
            Some(other) => Err(Malformed::new(format!("true or false in {path}"), other)),
        }
    }

    fn list(&self, path: &str) -> Vec<&str> {
        let text = self.0.get(path).copied().unwrap_or("");
        text.split(',').filter(|part| !part.is_empty()).collect()
    }

    /// The `at`-th of a list of times, one a profile; nothing where the list is absent.
    fn time_in(&self, path: &str, at: usize) -> Result<Ms, Malformed> {
        let Some(text) = self.list(path).get(at).copied() else { return Ok(0.0) };
        let value: f64 = text.parse().map_err(|_| Malformed::new(format!("numbers in {path}"), text))?;
        Ok(value / 1000.0)
    }
}

pub fn read(text: &str) -> Result<Conf, Malformed> {
    let mut pairs = BTreeMap::new();
    for pair in text.split('\t').filter(|pair| !pair.is_empty()) {
        let (path, value) = pair.split_once('=').ok_or_else(|| Malformed::new("path=value", pair))?;
        pairs.insert(path, value);
    }
    let pairs = Pairs(pairs);
    let profiles: usize = pairs.number("services.count")?;
    let tenants: usize = if pairs.0.contains_key("orgs.count") { pairs.number("orgs.count")? } else { 0 };
    let discovery = match pairs.text("discovery")? {
        "automatic" => Discovery::Pushed,
        "subscribe" => Discovery::Asked { told_within: pairs.time("rules.askWithin")? },
        other => return Err(Malformed::new("automatic or subscribe in discovery", other)),
    };
    let settings = Settings {
        me: DispatcherId(pairs.number("me")?),
        dispatchers: pairs.number("replicasOfMe")?,
        zone: ZoneId(pairs.number("zone")?),
        tick: pairs.time("tick")?,
        profiles: (0..profiles).map(|i| profile(&pairs, i)).collect::<Result<_, _>>()?,
        tenants: (0..tenants).map(|i| tenant(&pairs, i)).collect::<Result<_, _>>()?,
        over_share_worth: pairs.amount_or("overShareWorth", 1.0)?,
        kinds: kinds(&pairs)?,
        discovery,
        release: pairs.time("familyInfo.release")?,
        writers_read: pairs.flag("familyInfo.localRead")?,
        may_hold_ahead: pairs.flag("familyInfo.mayReserve")?,
        may_cancel: pairs.flag("limits.cancel")?,
        may_copy: pairs.flag("limits.mayDuplicate")?,
        may_probe: pairs.flag("limits.probes")?,
        may_tell: pairs.flag("limits.peers")?,
        clients_hear_retry: pairs.flag("limits.retryAfter")?,
        max_retry_after: pairs.time_or("limits.maxRetryAfter", 0.0)?,
        max_launches: pairs.number("limits.maxAttempts")?,
        connect_timeout: pairs.time("limits.connectTimeout")?,
        drain_grace: pairs.time("rules.drainGrace")?,
        answer_grace: pairs.time("rules.graceToAnswer")?,
        fall_multiple: pairs.amount("rules.fallMultiple")?,
        fall_window: pairs.time("rules.overloadFor")?,
        start_capacity: pairs.amount("rules.startCapacity")?,
        ramp: pairs.time("rules.rampTime")?,
    };
    let columns = pairs.list("stats.columns").into_iter().map(str::to_owned).collect();
    Ok(Conf { settings, columns })
}

fn profile(pairs: &Pairs, i: usize) -> Result<ProfileSettings, Malformed> {
    let at = |key: &str| format!("services.{i}.{key}");
    let effect = match pairs.text(&at("effect"))? {
        "safe" => Effect::Reissuable,
        "unsafe" => Effect::AtMostOnce,
        "keyed" => {
            let group = match pairs.text(&at("keyScope"))? {
                "all" => Group::All,
                "zone" => Group::Zone,
                "cell" => Group::Cell,
                other => return Err(Malformed::new("all, zone or cell in keyScope", other)),
            };
            Effect::Numbered { group, window: pairs.time(&at("dedupWindow"))? }
        }
        other => return Err(Malformed::new("safe, keyed or unsafe in effect", other)),
    };
    Ok(ProfileSettings {
        effect,
        quoted: pairs.time(&at("aim"))?,
        quoted_per_1000_tokens: pairs.time_in("familyInfo.aimUsPer1000PromptTokens", i)?,
        patience: pairs.time(&at("giveUp"))?,
        payoff: pairs.amount_or(&at("importance"), 1.0)?,
        late_share: pairs.amount_or(&at("lateShare"), 0.0)?,
        token_pace: pairs.time_in("familyInfo.tokenAim", i)?,
        streams: pairs.flag(&at("stream"))?,
    })
}

fn tenant(pairs: &Pairs, i: usize) -> Result<TenantSettings, Malformed> {
    Ok(TenantSettings {
        allowance_per_s: pairs.amount_or(&format!("orgs.{i}.allowancePerS"), 0.0)?,
        share: pairs.amount_or(&format!("orgs.{i}.share"), 0.0)?,
    })
}

fn kinds(pairs: &Pairs) -> Result<Vec<KindSettings>, Malformed> {
    let memory = pairs.list("familyInfo.tokensByKind");
    let kind = |(i, role): (usize, &str)| {
        let role = match role {
            "read" => Role::Reader,
            "write" => Role::Writer,
            "both" => Role::Both,
            other => return Err(Malformed::new("read, write or both in familyInfo.kindRole", other)),
        };
        let memory = memory.get(i).copied().unwrap_or("0");
        let memory_tokens =
            memory.parse().map_err(|_| Malformed::new("numbers in familyInfo.tokensByKind", memory))?;
        Ok(KindSettings { role, memory_tokens })
    };
    pairs.text("familyInfo.kindRole")?;
    pairs.list("familyInfo.kindRole").into_iter().enumerate().map(kind).collect()
}
