//! The deployments that are simulated, and the settings of their nodes.

use plankhead_core::settings::{Fencing, Settings, Sizing, Team};
use plankhead_reachability::permission::PermissionTable;
use plankhead_reachability::settings::Settings as Reachability;
use plankhead_sharding::settings::Settings as Sharding;
use std::collections::BTreeMap;
use std::time::Duration;

/// The parameters of a simulated deployment.
#[derive(Debug, Clone, Copy)]
pub struct Deployment {
    pub heartbeat_interval: Duration,
    pub worker_lease: Duration,
    pub gang_wait: Duration,
    pub gang_peer_timeout: Duration,
    pub cancel_within: Duration,
    /// The CPUs that each team may use.
    pub cpu_limit: f64,
    /// The number of machines in each of the four pools: two zones, spot and on-demand.
    pub machines_per_pool: u32,
    /// The maximum number of machines in the settings of the nodes.
    pub max_machines: u32,
    pub kv_changes_per_s: f64,
    pub cloud_requests_per_s: f64,
    /// The number of machines on one page of the cloud's instance list.
    pub inventory_page: usize,
    /// The number of machines that each machine fault affects.
    pub machines_per_fault: u32,
    /// The interval between checks of the invariants.
    pub check_interval: Duration,
    /// Whether the nodes record intents before they act on the cloud.
    pub fencing: bool,
    /// Whether the nodes evaluate which links and peers they can reach.
    pub reachability: bool,
    /// Whether the machines are divided into shards.
    pub sharding: bool,
    /// The interval at which shards are moved regardless of their balance.
    pub rotate_shards: Option<Duration>,
}

/// A few machines that send a heartbeat every second.
pub const SMALL: Deployment = Deployment {
    heartbeat_interval: secs(1),
    worker_lease: secs(11),
    gang_wait: secs(20),
    gang_peer_timeout: secs(3),
    cancel_within: secs(36),
    cpu_limit: 24.0,
    machines_per_pool: 2,
    max_machines: 8,
    kv_changes_per_s: 60.0,
    cloud_requests_per_s: 4.0,
    inventory_page: 500,
    machines_per_fault: 1,
    check_interval: Duration::ZERO,
    fencing: false,
    reachability: false,
    sharding: false,
    rotate_shards: None,
};

/// Hundreds of machines that send a heartbeat every 5 s and fail 40 at a time.
pub const FLEET: Deployment = Deployment {
    heartbeat_interval: secs(5),
    worker_lease: Duration::from_millis(26_500),
    gang_wait: secs(40),
    gang_peer_timeout: secs(5),
    cancel_within: Duration::from_millis(56_500),
    cpu_limit: 1600.0,
    machines_per_pool: 100,
    max_machines: 320,
    kv_changes_per_s: 80.0,
    cloud_requests_per_s: 15.0,
    inventory_page: 100,
    machines_per_fault: 40,
    check_interval: ms(250),
    fencing: false,
    reachability: false,
    sharding: false,
    rotate_shards: None,
};

pub const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub const fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

/// Returns the zone of a node.
pub(super) fn zone_of(node: usize) -> &'static str {
    ["x", "y", "x"][node]
}

pub(super) fn settings(
    deployment: &Deployment,
    node: usize,
    boot: u64,
    capacity: u32,
    (old, fenced): (bool, bool),
    table: &PermissionTable,
) -> Settings {
    let name = |n: usize| format!("plank-{n}");
    let team = Team {
        guaranteed_cpus: deployment.cpu_limit * 2.0 / 3.0,
        max_cpus: deployment.cpu_limit,
        guaranteed_gpus: 0.0,
        max_gpus: 0.0,
    };
    Settings {
        host: name(node),
        zone: zone_of(node).into(),
        boot_id: boot,
        nodes: 3,
        peers: (0..3).filter(|n| *n != node).map(name).collect(),
        teams: BTreeMap::from([("a".into(), team), ("b".into(), team)]),
        objectives: BTreeMap::new(),
        heartbeat_interval: deployment.heartbeat_interval,
        worker_lease: deployment.worker_lease,
        cancel_within: deployment.cancel_within,
        kv_requests_per_s: 250.0,
        kv_changes_per_s: deployment.kv_changes_per_s,
        next_kv_changes_per_s: deployment.kv_changes_per_s * 0.75,
        cpu_share: 1.0,
        max_value_bytes: if old { 8192 } else { 1024 },
        max_txn_changes: if old { 8 } else { 4 },
        cloud_requests_per_s: deployment.cloud_requests_per_s,
        inventory_lag: secs(3),
        clock_error: ms(100),
        sizing: Sizing { max_slowdown: 1.5, interval: Some(secs(20)), max_machines: Some(capacity) },
        fencing: Fencing { enabled: fenced, ..Fencing::default() },
        reachability: Reachability {
            enabled: deployment.reachability && !old,
            table: table.clone(),
            ..Reachability::default()
        },
        sharding: Sharding {
            enabled: deployment.sharding && !old,
            rotate: deployment.rotate_shards,
            ..Sharding::default()
        },
    }
}
