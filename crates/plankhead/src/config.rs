//! The two settings files: the platform's, of which unknown fields are
//! ignored, and the operators', which must match its schema.

use crate::{fencing, reachability, sharding};
use plankhead_core::settings::{Fencing, ServiceLevelObjective, Settings, Sizing, Team};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The operators' settings as a schema, also for editors.
pub const SCHEMA: &str = include_str!("../operator.schema.json");
/// The share of the sockets that is kept for our own connections.
const SOCKETS_KEPT: f64 = 0.25;

#[derive(Debug, Clone)]
pub struct Config {
    pub api: SocketAddr,
    pub peer: SocketAddr,
    pub siblings: Vec<(String, SocketAddr)>,
    pub cloud: SocketAddr,
    pub state: SocketAddr,
    /// Connections accepted at a time.
    pub connections: usize,
    /// Connections to workers kept at a time.
    pub agents: usize,
    pub core: Settings,
}

/// The operators' own settings.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[cfg_attr(test, derive(schemars::JsonSchema))]
#[serde(deny_unknown_fields, default)]
pub struct Operator {
    pub sizing: OperatorSizing,
}

/// How the fleet's size is found.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[cfg_attr(test, derive(schemars::JsonSchema))]
#[serde(deny_unknown_fields, default)]
pub struct OperatorSizing {
    /// S: the largest acceptable average bounded slowdown.
    #[cfg_attr(test, schemars(range(min = 1.0, max = 1e6)))]
    pub threshold: f64,
    /// Seconds between rounds; longer than a machine's boot. Without it, half as
    /// long again as the longest usual boot.
    #[cfg_attr(test, schemars(range(min = 5.0, max = 86400.0)))]
    pub interval_s: Option<f64>,
    /// U: machines of one type at most. Without it, what the teams' guarantees
    /// would fill, and half as much again under overload; either way less once
    /// the cloud refuses more.
    #[cfg_attr(test, schemars(range(min = 1, max = 10000)))]
    pub capacity: Option<u32>,
}

impl Default for OperatorSizing {
    fn default() -> Self {
        let core = Sizing::default();
        Self {
            threshold: core.max_slowdown,
            interval_s: core.interval.map(|i| i.as_secs_f64()),
            capacity: core.max_machines,
        }
    }
}

/// Walks the platform's file and collects its faults.
struct Reader<'a> {
    faults: &'a mut Vec<String>,
}

impl Reader<'_> {
    fn fault(&mut self, path: &str, what: &str) {
        self.faults.push(format!("settings: {path}: {what}"));
    }

    fn at<'v>(&mut self, root: &'v Value, path: &str) -> Option<&'v Value> {
        let found = path.split('.').try_fold(root, |value, key| value.get(key));
        if found.is_none() {
            self.fault(path, "is missing");
        }
        found
    }

    fn text(&mut self, root: &Value, path: &str) -> String {
        match self.at(root, path).map(|v| v.as_str()) {
            Some(Some(text)) if !text.is_empty() => text.into(),
            Some(_) => {
                self.fault(path, "must be a text that is not empty");
                String::new()
            }
            None => String::new(),
        }
    }

    fn address(&mut self, root: &Value, path: &str) -> SocketAddr {
        let none = SocketAddr::from(([0, 0, 0, 0], 0));
        let before = self.faults.len();
        let text = self.text(root, path);
        if self.faults.len() > before {
            return none;
        }
        text.parse().unwrap_or_else(|_| {
            self.fault(path, "must be an address such as 10.0.0.1:8080");
            none
        })
    }

    fn amount(&mut self, root: &Value, path: &str, least: f64, most: f64) -> f64 {
        match self.at(root, path).map(Value::as_f64) {
            Some(Some(x)) if (least..=most).contains(&x) => x,
            Some(_) => {
                self.fault(path, &format!("must be a number from {least} to {most}"));
                least
            }
            None => least,
        }
    }

    fn seconds(&mut self, root: &Value, path: &str) -> Duration {
        Duration::from_secs_f64(self.amount(root, path, 0.001, 1e6))
    }

    fn list<'v>(&mut self, root: &'v Value, path: &str) -> &'v [Value] {
        match self.at(root, path).map(Value::as_array) {
            Some(Some(list)) => list,
            Some(None) => {
                self.fault(path, "must be a list");
                &[]
            }
            None => &[],
        }
    }
}

/// The settings files; only the platform's is needed.
#[derive(Debug, Clone, Default)]
pub struct Files {
    pub platform: PathBuf,
    pub operator: Option<PathBuf>,
    pub fencing: Option<PathBuf>,
    pub reachability: Option<PathBuf>,
    pub sharding: Option<PathBuf>,
}

/// Reads the files; on failure, every fault found.
pub fn read(files: &Files) -> Result<Config, Vec<String>> {
    let mut faults = Vec::new();
    let root = load(&files.platform, &mut faults);
    let mut optional = |path: &Option<PathBuf>| path.as_ref().map(|path| load(path, &mut faults));
    let own = optional(&files.operator);
    let fencing = optional(&files.fencing);
    let reachability = optional(&files.reachability);
    let sharding = optional(&files.sharding);
    if !faults.is_empty() {
        return Err(faults);
    }
    let sizing = match &own {
        Some(value) => parse_operator(value, &mut faults),
        None => Operator::default(),
    };
    let mut config = parse(&root, sizing, &mut faults);
    if let Some(value) = fencing {
        config.core.fencing = fencing::parse(&value, &mut faults);
    }
    if let Some(value) = reachability {
        config.core.reachability = reachability::parse(&value, &mut faults);
    }
    if let Some(value) = sharding {
        config.core.sharding = sharding::parse(&value, &mut faults);
    }
    if faults.is_empty() {
        Ok(config)
    } else {
        Err(faults)
    }
}

fn load(path: &Path, faults: &mut Vec<String>) -> Value {
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) => {
            faults.push(format!("{} can't be read: {error}", path.display()));
            return Value::Null;
        }
    };
    match serde_json::from_str(&text) {
        Ok(value @ Value::Object(_)) => value,
        Ok(_) => {
            faults.push(format!("{} must hold a JSON object", path.display()));
            Value::Null
        }
        Err(error) => {
            faults.push(format!("{} is not JSON: {error}", path.display()));
            Value::Null
        }
    }
}

/// Checks the operators' settings against the schema, then reads them.
pub fn parse_operator(value: &Value, faults: &mut Vec<String>) -> Operator {
    parse_checked("operator settings", SCHEMA, value, faults)
}

/// Checks a file of the operators' against its schema, then reads it. On failure every
/// fault is added, and the defaults are returned.
pub fn parse_checked<T: Default + DeserializeOwned>(
    name: &str,
    schema: &str,
    value: &Value,
    faults: &mut Vec<String>,
) -> T {
    let before = faults.len();
    let schema: Value = serde_json::from_str(schema).unwrap_or_default();
    match jsonschema::validator_for(&schema) {
        Ok(validator) => {
            for error in validator.iter_errors(value) {
                faults.push(format!("{name}: {}: {error}", error.instance_path()));
            }
        }
        Err(error) => faults.push(format!("the schema itself is bad: {error}")),
    }
    if faults.len() > before {
        return T::default();
    }
    serde_json::from_value(value.clone()).unwrap_or_else(|error| {
        faults.push(format!("{name}: {error}"));
        T::default()
    })
}

/// Reads the platform's settings.
pub fn parse(root: &Value, operator: Operator, faults: &mut Vec<String>) -> Config {
    let mut r = Reader { faults };
    let host = r.text(root, "host_name");
    let mut siblings = Vec::new();
    for (i, sibling) in r.list(root, "siblings").iter().enumerate() {
        let before = r.faults.len();
        let found = (r.text(sibling, "host_name"), r.address(sibling, "address"));
        for fault in &mut r.faults[before..] {
            *fault = fault.replacen("settings: ", &format!("settings: siblings[{i}]."), 1);
        }
        siblings.push(found);
    }
    let mut teams = BTreeMap::new();
    for (i, team) in r.list(root, "params.teams").iter().enumerate() {
        let before = r.faults.len();
        let name = r.text(team, "name");
        let found = Team {
            guaranteed_cpus: r.amount(team, "cpus", 0.0, 1e9),
            max_cpus: r.amount(team, "cpus_max", 0.0, 1e9),
            guaranteed_gpus: r.amount(team, "gpus", 0.0, 1e9),
            max_gpus: r.amount(team, "gpus_max", 0.0, 1e9),
        };
        if teams.insert(name.clone(), found).is_some() {
            r.fault("name", &format!("{name} is there twice"));
        }
        for fault in &mut r.faults[before..] {
            *fault = fault.replacen("settings: ", &format!("settings: params.teams[{i}]."), 1);
        }
    }
    let mut expectations: BTreeMap<String, ServiceLevelObjective> = BTreeMap::new();
    // Objectives only restate aims, so that odd ones are no fault.
    let objectives = root.pointer("/params/objectives").and_then(Value::as_array);
    for objective in objectives.into_iter().flatten() {
        let text = |key: &str| objective.get(key).and_then(Value::as_str);
        let within = objective.get("within_s").and_then(Value::as_f64);
        let within = within.filter(|s| (0.0..=1e7).contains(s)).map(Duration::from_secs_f64);
        let (Some(kind), Some(class), Some(within)) = (text("kind"), text("class"), within) else {
            continue;
        };
        let expectation = expectations.entry(class.into()).or_default();
        let least = |old: Option<Duration>| Some(old.map_or(within, |old| old.min(within)));
        match kind {
            "wait" => expectation.start_within = least(expectation.start_within),
            "finished" => expectation.finish_within = least(expectation.finish_within),
            _ => {}
        }
    }
    let limit = |name: &str, least, most, r: &mut Reader| {
        let now = r.amount(root, &format!("params.state.{name}"), least, most);
        // What will be allowed some time after an upgrade, where that is known.
        let next = format!("params.state.next.{name}");
        match root.pointer(&format!("/{}", next.replace('.', "/"))) {
            None | Some(Value::Null) => (now, now),
            Some(_) => (now, r.amount(root, &next, least, most).min(now)),
        }
    };
    let (_, value_kb) = limit("value_kb", 1.0, 1e4, &mut r);
    let (_, txn_ops) = limit("txn_ops", 1.0, 1e4, &mut r);
    let (write_rps, write_rps_next) = limit("write_rps", 1.0, 1e6, &mut r);
    // Other versions of the platform's file may lack it: then nothing is held back.
    let cpu = match root.pointer("/params/quota/cpu") {
        None | Some(Value::Null) => 1.0,
        Some(_) => r.amount(root, "params.quota.cpu", 0.001, 1e4),
    };
    let sockets = r.amount(root, "params.quota.sockets", 16.0, 1e6);
    // Other versions of the platform's file may lack it: then it is in no zone.
    let zone = root.get("location").and_then(Value::as_str).unwrap_or_default().to_owned();
    let core = Settings {
        host,
        zone,
        boot_id: rand::random(),
        nodes: siblings.len() + 1,
        peers: siblings.iter().map(|(name, _)| name.clone()).collect(),
        teams,
        objectives: expectations,
        heartbeat_interval: r.seconds(root, "params.workers.report_s"),
        worker_lease: r.seconds(root, "params.workers.lease_s"),
        cancel_within: r.seconds(root, "params.workers.cancel_s"),
        kv_requests_per_s: r.amount(root, "params.state.rps", 1.0, 1e6),
        kv_changes_per_s: write_rps,
        next_kv_changes_per_s: write_rps_next,
        max_value_bytes: (value_kb * 1024.0) as usize,
        max_txn_changes: txn_ops as usize,
        cloud_requests_per_s: r.amount(root, "params.cloud.rps", 0.1, 1e6),
        cpu_share: cpu,
        inventory_lag: r.seconds(root, "params.cloud.list_lag_s"),
        clock_error: Duration::from_secs_f64(r.amount(root, "params.clock_off_ms", 0.0, 1e6) / 1e3),
        sizing: Sizing {
            max_slowdown: operator.sizing.threshold,
            interval: operator.sizing.interval_s.map(Duration::from_secs_f64),
            max_machines: operator.sizing.capacity,
        },
        fencing: Fencing::default(),
        reachability: Default::default(),
        sharding: Default::default(),
    };
    Config {
        api: r.address(root, "api_addr"),
        peer: r.address(root, "peer_bind"),
        siblings,
        cloud: r.address(root, "endpoints.cloud"),
        state: r.address(root, "endpoints.state"),
        connections: (sockets * (1.0 - SOCKETS_KEPT)) as usize,
        agents: (sockets * SOCKETS_KEPT / 2.0) as usize,
        core,
    }
}
