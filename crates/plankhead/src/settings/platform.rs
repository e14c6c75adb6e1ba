//! The platform's settings file.

use super::node::{NodeSettings, PeerAddress};
use super::operator::OperatorFile;
use super::reader::FieldReader;
use super::SettingsFault;
use plankhead_core::settings::{Fencing, ServiceLevelObjective, Settings, Team};
use serde_json::Value;
use std::collections::BTreeMap;
use std::time::Duration;

/// The share of the sockets that is reserved for connections that the node opens itself.
const OUTGOING_SOCKETS_SHARE: f64 = 0.25;
/// The largest amount of a resource in a team's quota.
const MAX_RESOURCES: f64 = 1e9;
/// The largest rate, in requests or changes per second.
const MAX_RATE: f64 = 1e6;
/// The largest accepted limit of the state service on one value or transaction.
const MAX_STORE_LIMIT: f64 = 1e4;
/// The longest time in an objective, in seconds.
const MAX_OBJECTIVE_S: f64 = 1e7;

/// Reads the platform's file and adds its errors to `faults`. If there are any, the returned settings
/// contain placeholders and must not be used.
pub fn parse(root: &Value, operator: &OperatorFile, faults: &mut Vec<SettingsFault>) -> NodeSettings {
    let mut reader = FieldReader::new(root, faults);
    let host = reader.text("host_name").unwrap_or_default();
    let peers = read_peers(&mut reader);
    let teams = read_teams(&mut reader);
    let objectives = read_objectives(&reader);
    let value_kb = read_limit(&mut reader, "value_kb", MAX_STORE_LIMIT).upcoming;
    let txn_changes = read_limit(&mut reader, "txn_ops", MAX_STORE_LIMIT).upcoming;
    let kv_changes_per_s = read_limit(&mut reader, "write_rps", MAX_RATE);
    // Some versions of the platform's file do not contain the CPU quota. The node then assumes a whole
    // core, with which it limits its work least.
    let cpu_share = reader.optional_number("params.quota.cpu", 0.001, 1e4).unwrap_or(1.0);
    let sockets = reader.number("params.quota.sockets", 16.0, 1e6);
    // Some versions of the platform's file do not contain the location. The node is then in no zone.
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
        kv_requests_per_s: reader.number("params.state.rps", 1.0, MAX_RATE),
        kv_changes_per_s: kv_changes_per_s.current,
        next_kv_changes_per_s: kv_changes_per_s.upcoming,
        max_value_bytes: (value_kb * 1024.0) as usize,
        max_txn_changes: txn_changes as usize,
        cloud_requests_per_s: reader.number("params.cloud.rps", 0.1, MAX_RATE),
        cpu_share,
        inventory_lag: reader.seconds("params.cloud.list_lag_s"),
        clock_error: Duration::from_secs_f64(reader.number("params.clock_off_ms", 0.0, 1e6) / 1e3),
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
        max_connections: (sockets * (1.0 - OUTGOING_SOCKETS_SHARE)) as usize,
        max_worker_clients: (sockets * OUTGOING_SOCKETS_SHARE / 2.0) as usize,
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
            guaranteed_cpus: entry.number("cpus", 0.0, MAX_RESOURCES),
            max_cpus: entry.number("cpus_max", 0.0, MAX_RESOURCES),
            guaranteed_gpus: entry.number("gpus", 0.0, MAX_RESOURCES),
            max_gpus: entry.number("gpus_max", 0.0, MAX_RESOURCES),
        };
        if teams.insert(name.clone(), team).is_some() {
            entry.add_fault("name", format!("duplicate team {name}"));
        }
    }
    teams
}

/// Reads the objectives by class. Malformed objectives are skipped, since objectives only repeat what
/// the platform measures.
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
        let stricter = |known: Option<Duration>| Some(known.map_or(within, |known| known.min(within)));
        match kind {
            "wait" => objective.start_within = stricter(objective.start_within),
            "finished" => objective.finish_within = stricter(objective.finish_within),
            _ => {}
        }
    }
    by_class
}

/// A limit of the state service.
struct StoreLimit {
    current: f64,
    /// The limit that replaces `current` some time after an upgrade, if it is announced and smaller.
    /// Otherwise equal to `current`.
    upcoming: f64,
}

fn read_limit(reader: &mut FieldReader, name: &str, max: f64) -> StoreLimit {
    let current = reader.number(&format!("params.state.{name}"), 1.0, max);
    let upcoming = reader.optional_number(&format!("params.state.next.{name}"), 1.0, max);
    StoreLimit { current, upcoming: upcoming.map_or(current, |upcoming| upcoming.min(current)) }
}
