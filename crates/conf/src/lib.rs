//! Parses start settings, `path=value` pairs in any order, into the interface's [`Settings`]. The simulator's protocol
//! carries them as text ([`read`]); the platform's configuration carries them as a JSON object with the same names
//! ([`read_object`]).

use cindercleat::interface::*;
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

/// A parse error: the input that was expected, and the input found in its place.
#[derive(Debug)]
pub struct Malformed {
    /// A description of the expected input.
    pub expected: String,
    /// The input found, or `none` if it is missing; messages show its first 80 characters.
    pub found: String,
}

impl Malformed {
    /// Creates a parse error from a description of the expected input and from the input found.
    pub fn new(expected: impl Into<String>, found: impl Into<String>) -> Self {
        Malformed {
            expected: expected.into(),
            found: found.into(),
        }
    }
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let found: String = self.found.chars().take(80).collect();
        write!(f, "expected {}, found {found:?}", self.expected)
    }
}

/// The parsed start settings: the settings of the decision module, and the settings for the program that runs it.
pub struct Conf {
    /// The settings of the decision module.
    pub settings: Settings,
    /// The columns of load reports in their order, as `stats.columns` names them.
    pub columns: Vec<String>,
    /// The names of the request classes in the order of their ids; shorter than `settings.request_classes` if names
    /// are missing.
    pub request_classes: Vec<String>,
    /// The names of the tenants in the order of their ids; shorter than `settings.tenants` if names are missing.
    pub tenants: Vec<String>,
    /// The names of the zones in the order of their ids; empty if the settings do not name them.
    pub zones: Vec<String>,
    /// The names of the engine kinds in the order of their ids; empty if the settings do not name them.
    pub kinds: Vec<String>,
    /// The idle time after which engines close a connection, in milliseconds; `None` if engines keep idle
    /// connections open.
    pub connection_idle: Option<Ms>,
    /// Whether clients ask for the rest of a stream that broke.
    pub clients_resume: bool,
    /// The maximum number of requests open at once; `None` if the number is not limited.
    pub max_open_requests: Option<usize>,
}

/// The slow start window for a ramp time of 0, which means no slow start: a new engine counts as warm at once. The
/// window must be positive, so the shortest window represents it.
const MIN_SLOW_START_WINDOW: Ms = 1.0;

/// The settings' values as text, by path. Each method parses one setting, and fails if its value is malformed.
struct Pairs<'a>(BTreeMap<&'a str, &'a str>);

impl Pairs<'_> {
    /// The text of a required setting.
    fn required(&self, path: &str) -> Result<&str, Malformed> {
        let found = self.0.get(path).copied();
        found.ok_or_else(|| Malformed::new(format!("the setting {path}"), "none"))
    }

    fn number<T: FromStr>(&self, path: &str) -> Result<T, Malformed> {
        let text = self.required(path)?;
        text.parse()
            .map_err(|_| Malformed::new(format!("a number in {path}"), text))
    }

    fn finite_number(&self, path: &str) -> Result<f64, Malformed> {
        let value: f64 = self.number(path)?;
        if value.is_finite() {
            Ok(value)
        } else {
            Err(Malformed::new(
                format!("a finite number in {path}"),
                value.to_string(),
            ))
        }
    }

    fn finite_number_or(&self, path: &str, default: f64) -> Result<f64, Malformed> {
        if self.0.contains_key(path) {
            self.finite_number(path)
        } else {
            Ok(default)
        }
    }

    /// A time of 0 or more; settings give times in whole or fractional microseconds.
    fn time(&self, path: &str) -> Result<Ms, Malformed> {
        let time = self.finite_number(path)? / 1000.0;
        if time < 0.0 {
            return Err(Malformed::new(
                format!("a time of 0 or more in {path}"),
                self.required(path)?,
            ));
        }
        Ok(time)
    }

    /// A time that must be above 0, such as a timeout: a timeout of 0 would always expire.
    fn positive_time(&self, path: &str) -> Result<Ms, Malformed> {
        let time = self.time(path)?;
        if time == 0.0 {
            return Err(Malformed::new(
                format!("a time above 0 in {path}"),
                self.required(path)?,
            ));
        }
        Ok(time)
    }

    fn time_or(&self, path: &str, default: Ms) -> Result<Ms, Malformed> {
        if self.0.contains_key(path) {
            self.time(path)
        } else {
            Ok(default)
        }
    }

    /// A flag; false if the setting is absent.
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

    /// The time at `index` of a list with one time per request class; 0 if the list is absent or shorter.
    fn time_of_class(&self, path: &str, index: usize) -> Result<Ms, Malformed> {
        let Some(text) = self.list(path).get(index).copied() else {
            return Ok(0.0);
        };
        let value: f64 = text
            .parse()
            .map_err(|_| Malformed::new(format!("numbers in {path}"), text))?;
        Ok(value / 1000.0)
    }
}

/// Parses `path=value` pairs separated by tabs. Unknown paths are ignored.
///
/// # Errors
/// Returns an error that names the first setting that is missing or malformed.
pub fn read(text: &str) -> Result<Conf, Malformed> {
    let mut pairs = BTreeMap::new();
    for pair in text.split('\t').filter(|pair| !pair.is_empty()) {
        let (path, value) = pair
            .split_once('=')
            .ok_or_else(|| Malformed::new("path=value", pair))?;
        pairs.insert(path, value);
    }
    read_pairs(Pairs(pairs))
}

/// Parses a JSON object of settings. The path of a nested field joins the names with dots. A list of values becomes one
/// value with commas. A list of objects becomes a field `count` and its entries, named by index. Unknown paths are
/// ignored.
///
/// # Errors
/// Returns an error that names the first setting that is missing or malformed.
pub fn read_object(object: &Value) -> Result<Conf, Malformed> {
    let mut flat = BTreeMap::new();
    flatten(object, String::new(), &mut flat);
    read_pairs(Pairs(
        flat.iter()
            .map(|(path, value)| (path.as_str(), value.as_str()))
            .collect(),
    ))
}

fn flatten(value: &Value, path: String, flat: &mut BTreeMap<String, String>) {
    let nested_path = |name: &str| {
        if path.is_empty() {
            name.to_owned()
        } else {
            format!("{path}.{name}")
        }
    };
    match value {
        Value::Object(fields) => fields
            .iter()
            .for_each(|(name, value)| flatten(value, nested_path(name), flat)),
        Value::Array(entries) => {
            let has_objects = entries.iter().any(Value::is_object);
            if has_objects || entries.is_empty() {
                flat.insert(nested_path("count"), entries.len().to_string());
                entries.iter().enumerate().for_each(|(i, entry)| {
                    flatten(entry, nested_path(&i.to_string()), flat);
                });
            }
            if !has_objects {
                let texts: Vec<String> = entries.iter().map(scalar_text).collect();
                flat.insert(path, texts.join(","));
            }
        }
        other => {
            flat.insert(path, scalar_text(other));
        }
    }
}

/// A JSON value in the text form of the `path=value` pairs; empty for null.
fn scalar_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Number(number) => match number.as_f64() {
            Some(float) if !number.is_u64() && !number.is_i64() => float.to_string(),
            _ => number.to_string(),
        },
        Value::Null => String::new(),
        other => other.to_string(),
    }
}

fn read_pairs(pairs: Pairs) -> Result<Conf, Malformed> {
    let request_classes: usize = pairs.number("services.count")?;
    let tenants: usize = if pairs.0.contains_key("orgs.count") {
        pairs.number("orgs.count")?
    } else {
        0
    };
    if request_classes == 0 {
        return Err(Malformed::new(
            "at least one request class in services",
            "none",
        ));
    }
    let discovery = match pairs.required("discovery")? {
        "automatic" => Discovery::Pushed,
        "subscribe" => Discovery::Polled {
            notified_within: pairs.time("rules.askWithin")?,
        },
        other => return Err(Malformed::new("automatic or subscribe in discovery", other)),
    };
    let settings = Settings {
        dispatcher_id: DispatcherId(pairs.number("me")?),
        dispatchers: pairs.number("replicasOfMe")?,
        zone: ZoneId(pairs.number("zone")?),
        tick: pairs.time("tick")?,
        request_classes: (0..request_classes)
            .map(|i| request_class(&pairs, i))
            .collect::<Result<_, _>>()?,
        tenants: (0..tenants)
            .map(|i| tenant(&pairs, i))
            .collect::<Result<_, _>>()?,
        over_quota_weight: pairs.finite_number_or("overShareWorth", 1.0)?,
        kinds: kinds(&pairs)?,
        discovery,
        kv_state_timeout: pairs.positive_time("familyInfo.release")?,
        decode_engines_prefill: pairs.flag("familyInfo.localRead")?,
        may_reserve: pairs.flag("familyInfo.mayReserve")?,
        may_cancel: pairs.flag("limits.cancel")?,
        may_hedge: pairs.flag("limits.mayDuplicate")?,
        may_health_check: pairs.flag("limits.probes")?,
        may_gossip: pairs.flag("limits.peers")?,
        clients_honor_retry_after: pairs.flag("limits.retryAfter")?,
        max_retry_after: pairs.time_or("limits.maxRetryAfter", 0.0)?,
        max_attempts: pairs.number("limits.maxAttempts")?,
        connect_timeout: pairs.positive_time("limits.connectTimeout")?,
        drain_grace: pairs.time("rules.drainGrace")?,
        answer_grace: pairs.time("rules.graceToAnswer")?,
        overload_multiple: pairs.finite_number("rules.fallMultiple")?,
        overload_window: pairs.positive_time("rules.overloadFor")?,
        cold_capacity: pairs.finite_number("rules.startCapacity")?,
        slow_start_window: pairs.time("rules.rampTime")?.max(MIN_SLOW_START_WINDOW),
    };
    let texts = |path: &str| pairs.list(path).into_iter().map(str::to_owned).collect();
    let names = |list: &str, count: usize| {
        let name = |i| {
            pairs
                .0
                .get(format!("{list}.{i}.name").as_str())
                .map(|name| (*name).to_owned())
        };
        (0..count).map_while(name).collect()
    };
    let connection_idle = pairs.time_or("limits.connIdle", 0.0)?;
    let clients_resume = pairs.flag("familyInfo.resume")?;
    let max_open_requests = if pairs.0.contains_key("limits.mostHeld") {
        Some(pairs.number("limits.mostHeld")?)
    } else {
        None
    };
    Ok(Conf {
        settings,
        columns: texts("stats.columns"),
        request_classes: names("services", request_classes),
        tenants: names("orgs", tenants),
        zones: texts("zones"),
        kinds: texts("shapes"),
        connection_idle: (connection_idle > 0.0).then_some(connection_idle),
        clients_resume,
        max_open_requests,
    })
}

fn request_class(pairs: &Pairs, i: usize) -> Result<RequestClassSettings, Malformed> {
    let path = |key: &str| format!("services.{i}.{key}");
    let retry_safety = match pairs.required(&path("effect"))? {
        "safe" => RetrySafety::Idempotent,
        "unsafe" => RetrySafety::AtMostOnce,
        "keyed" => {
            let scope = match pairs.required(&path("keyScope"))? {
                "all" => IdempotencyScope::All,
                "zone" => IdempotencyScope::Zone,
                "cell" => IdempotencyScope::Cell,
                other => return Err(Malformed::new("all, zone or cell in keyScope", other)),
            };
            RetrySafety::IdempotencyKey {
                scope,
                window: pairs.time(&path("dedupWindow"))?,
            }
        }
        other => return Err(Malformed::new("safe, keyed or unsafe in effect", other)),
    };
    // A class without a deadline leaves the deadline to each request. A class without a latency objective uses its
    // deadline as the objective.
    let deadline = pairs.time_or(&path("giveUp"), 0.0)?;
    let objective = [pairs.time_or(&path("aim"), 0.0)?, deadline]
        .into_iter()
        .find(|time| *time > 0.0);
    let missing = || {
        Malformed::new(
            format!("a time above 0 in {} or {}", path("aim"), path("giveUp")),
            "none",
        )
    };
    Ok(RequestClassSettings {
        retry_safety,
        latency_objective: objective.ok_or_else(missing)?,
        latency_objective_per_1000_tokens: pairs
            .time_of_class("familyInfo.aimUsPer1000PromptTokens", i)?,
        time_to_deadline: if deadline > 0.0 {
            deadline
        } else {
            f64::INFINITY
        },
        priority_weight: pairs.finite_number_or(&path("importance"), 1.0)?,
        late_value_share: pairs.finite_number_or(&path("lateShare"), 0.0)?,
        token_pace: pairs.time_of_class("familyInfo.tokenAim", i)?,
        streams: pairs.flag(&path("stream"))?,
    })
}

fn tenant(pairs: &Pairs, i: usize) -> Result<TenantSettings, Malformed> {
    Ok(TenantSettings {
        quota_per_second: pairs.finite_number_or(&format!("orgs.{i}.allowancePerS"), 0.0)?,
        share: pairs.finite_number_or(&format!("orgs.{i}.share"), 0.0)?,
    })
}

fn kinds(pairs: &Pairs) -> Result<Vec<EngineKindSettings>, Malformed> {
    let memory = pairs.list("familyInfo.tokensByKind");
    let kind = |(i, role): (usize, &str)| {
        let role = match role {
            "read" => Role::Prefill,
            "write" => Role::Decode,
            "both" => Role::Both,
            other => {
                return Err(Malformed::new(
                    "read, write or both in familyInfo.kindRole",
                    other,
                ))
            }
        };
        let memory = memory.get(i).copied().unwrap_or("0");
        let memory_tokens = memory
            .parse()
            .map_err(|_| Malformed::new("numbers in familyInfo.tokensByKind", memory))?;
        Ok(EngineKindSettings {
            role,
            memory_tokens,
        })
    };
    pairs.required("familyInfo.kindRole")?;
    let kinds: Vec<EngineKindSettings> = pairs
        .list("familyInfo.kindRole")
        .into_iter()
        .enumerate()
        .map(kind)
        .collect::<Result<_, _>>()?;
    let serves = |role| {
        kinds
            .iter()
            .any(|kind| kind.role == role || kind.role == Role::Both)
    };
    if !serves(Role::Prefill) || !serves(Role::Decode) {
        let found = pairs.required("familyInfo.kindRole")?;
        return Err(Malformed::new(
            "a kind for prefill and a kind for decode in familyInfo.kindRole",
            found,
        ));
    }
    Ok(kinds)
}
