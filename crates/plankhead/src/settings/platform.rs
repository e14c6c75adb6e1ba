//! The platform's settings file.

use super::node::{NodeSettings, PeerAddress};
use super::operator::OperatorFile;
use super::reader::FieldReader;
use super::SettingsFault;
use plankhead_core::settings::{Fencing, ServiceLevelObjective, Settings, Team};
use serde_json::Value;
use std::collections::BTreeMap;
use std::time::Duration;

/// The share of the sockets that is kept for our own connections.
const OWN_SOCKETS_SHARE: f64 = 0.25;
/// The largest amount of a resource.
const MAX_RESOURCES: f64 = 1e9;
/// The largest rate, in requests or changes per second.
const MAX_RATE: f64 = 1e6;
/// The largest limit of the state service on one value or transaction.
const MAX_STORE_LIMIT: f64 = 1e4;
/// The longest time that an objective may name, in seconds.
const MAX_OBJECTIVE_S: f64 = 1e7;

/// Reads the platform's file. Faults are added; where there are any, the settings are of no use.
pub fn parse(root: &Value, operator: &OperatorFile, faults: &mut Vec<SettingsFault>) -> NodeSettings {
    let mut reader = FieldReader::new(root, faults);
    let host = reader.text("host_name").unwrap_or_default();
    let peers = read_peers(&mut reader);
    let teams = read_teams(&mut reader);
    let objectives = read_objectives(&reader);
    let value_kb = read_limit(&mut reader, "value_kb", MAX_STORE_LIMIT).next;
    let txn_changes = read_limit(&mut reader, "txn_ops", MAX_STORE_LIMIT).next;
    let kv_changes_per_s = read_limit(&mut reader, "write_rps", MAX_RATE);
    // Other versions of the platform's file may lack it: then nothing is held back.
    let cpu_share = reader.optional_amount("params.quota.cpu", 0.001, 1e4).unwrap_or(1.0);
    let sockets = reader.amount("params.quota.sockets", 16.0, 1e6);
    // Other versions of the platform's file may lack it: then it is in no zone.
    let zone = reader.optional("location").and_then(Value::as_str).unwrap_or_default().to_owned();
    let core = Settings {
        host,
        zone,
        boot_id: rand::random(),
        nodes: peers.len() + 1,
        peers: peers.iter().map(|peer| peer.name.clone()).collect(),
        teams,
        objectives,
        heartbeat_interval: reader.seconds("params.workers.report_s"),
        worker_lease: reader.seconds("params.workers.lease_s"),
        cancel_within: reader.seconds("params.workers.cancel_s"),
        kv_requests_per_s: reader.amount("params.state.rps", 1.0, MAX_RATE),
        kv_changes_per_s: kv_changes_per_s.now,
        next_kv_changes_per_s: kv_changes_per_s.next,
        max_value_bytes: (value_kb * 1024.0) as usize,
        max_txn_changes: txn_changes as usize,
        cloud_requests_per_s: reader.amount("params.cloud.rps", 0.1, MAX_RATE),
        cpu_share,
        inventory_lag: reader.seconds("params.cloud.list_lag_s"),
        clock_error: Duration::from_secs_f64(reader.amount("params.clock_off_ms", 0.0, 1e6) / 1e3),
        sizing: (&operator.sizing).into(),
        fencing: Fencing::default(),
        reachability: Default::default(),
        sharding: Default::default(),
    };
    NodeSettings {
        public_address: reader.address("api_addr"),
        controller_address: reader.address("peer_bind"),
        peers,
        cloud: reader.address("endpoints.cloud"),
        state_service: reader.address("endpoints.state"),
        max_connections: (sockets * (1.0 - OWN_SOCKETS_SHARE)) as usize,
        max_worker_clients: (sockets * OWN_SOCKETS_SHARE / 2.0) as usize,
        core,
    }
}

fn read_peers(reader: &mut FieldReader) -> Vec<PeerAddress> {
    let mut peers = Vec::new();
    for (index, value) in reader.list("siblings").iter().enumerate() {
        let mut entry = reader.entry("siblings", index, value);
        let name = entry.text("host_name").unwrap_or_default();
        peers.push(PeerAddress { name, address: entry.address("address") });
    }
    peers
}

fn read_teams(reader: &mut FieldReader) -> BTreeMap<String, Team> {
    let mut teams = BTreeMap::new();
    for (index, value) in reader.list("params.teams").iter().enumerate() {
        let mut entry = reader.entry("params.teams", index, value);
        let name = entry.text("name").unwrap_or_default();
        let team = Team {
            guaranteed_cpus: entry.amount("cpus", 0.0, MAX_RESOURCES),
            max_cpus: entry.amount("cpus_max", 0.0, MAX_RESOURCES),
            guaranteed_gpus: entry.amount("gpus", 0.0, MAX_RESOURCES),
            max_gpus: entry.amount("gpus_max", 0.0, MAX_RESOURCES),
        };
        if teams.insert(name.clone(), team).is_some() {
            entry.fault("name", format!("{name} is there twice"));
        }
    }
    teams
}

/// The objectives by class. They only restate what the platform measures, so that malformed
/// ones are no fault.
fn read_objectives(reader: &FieldReader) -> BTreeMap<String, ServiceLevelObjective> {
    let mut by_class: BTreeMap<String, ServiceLevelObjective> = BTreeMap::new();
    let listed = reader.optional("params.objectives").and_then(Value::as_array);
    for value in listed.into_iter().flatten() {
        let text = |key: &str| value.get(key).and_then(Value::as_str);
        let within = value.get("within_s").and_then(Value::as_f64);
        let within = within.filter(|s| (0.0..=MAX_OBJECTIVE_S).contains(s)).map(Duration::from_secs_f64);
        let (Some(kind), Some(class), Some(within)) = (text("kind"), text("class"), within) else {
            continue;
        };
        let objective = by_class.entry(class.into()).or_default();
        let tighter = |known: Option<Duration>| Some(known.map_or(within, |known| known.min(within)));
        match kind {
            "wait" => objective.start_within = tighter(objective.start_within),
            "finished" => objective.finish_within = tighter(objective.finish_within),
            _ => {}
        }
    }
    by_class
}

/// A limit of the state service.
struct StoreLimit {
    now: f64,
    /// What will be allowed some time after an upgrade, where that is known and is less.
    next: f64,
}

fn read_limit(reader: &mut FieldReader, name: &str, max: f64) -> StoreLimit {
    let now = reader.amount(&format!("params.state.{name}"), 1.0, max);
    let next = reader.optional_amount(&format!("params.state.next.{name}"), 1.0, max);
    StoreLimit { now, next: next.map_or(now, |next| next.min(now)) }
}
