//! A simple job and simple settings for tests without simulated histories.

use plankhead_core::jobs::job::{JobSpec, Priority, Resources};
use plankhead_core::settings::{Fencing, Settings, Sizing, Team};
use std::collections::BTreeMap;
use std::time::Duration;

/// Returns an array job of small tasks that may run anywhere.
pub fn spec(team: &str, tasks: u32, estimated_runtime_s: f64) -> JobSpec {
    JobSpec {
        class: "c".into(),
        team: team.into(),
        priority: Priority::Standard,
        tasks,
        demand: Resources { cpus: 1.0, gpus: 0.0, ram_gb: 1.0 },
        image: "img".into(),
        image_gb: 1.0,
        machine_types: None,
        zone: None,
        single_zone: false,
        spread: false,
        allows_spot: true,
        estimated_runtime_s,
        checkpoint_interval_s: 0.0,
        checkpoint_duration_s: 0.0,
        deadline_s: None,
        gang: false,
    }
}

/// Returns the settings of a node with one peer and one team, `a`, whose whole quota is guaranteed.
pub fn settings() -> Settings {
    let team = Team { guaranteed_cpus: 16.0, max_cpus: 16.0, guaranteed_gpus: 0.0, max_gpus: 0.0 };
    Settings {
        host: "plank-0".into(),
        zone: "x".into(),
        boot_id: 1,
        nodes: 2,
        peers: vec!["plank-1".into()],
        teams: BTreeMap::from([("a".into(), team)]),
        objectives: BTreeMap::new(),
        heartbeat_interval: Duration::from_secs(1),
        worker_lease: Duration::from_secs(11),
        cancel_within: Duration::from_secs(36),
        kv_requests_per_s: 250.0,
        kv_changes_per_s: 60.0,
        next_kv_changes_per_s: 60.0,
        cpu_share: 1.0,
        max_value_bytes: 4096,
        max_txn_changes: 8,
        cloud_requests_per_s: 4.0,
        inventory_lag: Duration::from_secs(3),
        clock_error: Duration::from_millis(100),
        sizing: Sizing::default(),
        fencing: Fencing::default(),
        reachability: Default::default(),
        sharding: Default::default(),
    }
}
