//! What the core must know of its deployment.

use plankhead_reachability::settings::Settings as Reachability;
use plankhead_sharding::settings::Settings as Sharding;
use std::collections::BTreeMap;
use std::time::Duration;

/// A team's guarantee and cap; a cap of zero allows nothing.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Team {
    pub guaranteed_cpus: f64,
    pub max_cpus: f64,
    pub guaranteed_gpus: f64,
    pub max_gpus: f64,
}

/// What the users expect of a class of jobs.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ServiceLevelObjective {
    /// A task should start within this time.
    pub start_within: Option<Duration>,
    /// A job should be done within this time.
    pub finish_within: Option<Duration>,
}

/// The operators' own settings.
#[derive(Debug, Clone, PartialEq)]
pub struct Sizing {
    /// S: the largest acceptable average bounded slowdown.
    pub max_slowdown: f64,
    /// Time between rounds; without it, machines' boots decide.
    pub interval: Option<Duration>,
    /// U: machines of one type at most; without it, the guarantees decide.
    pub max_machines: Option<u32>,
}

impl Default for Sizing {
    fn default() -> Self {
        Self { max_slowdown: 1.15, interval: None, max_machines: None }
    }
}

/// Whether and how the leader's duties are fenced.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fencing {
    pub enabled: bool,
    /// Between two writes of intentions, unless a rule presses.
    pub write_interval: Duration,
    /// Between two writes that only remove records of what is over.
    pub compaction_interval: Duration,
    /// Until a refused rental that may still be carried out is asked for again.
    pub refused_rental_retry: Duration,
    /// How long after a takeover such a rental is given up.
    pub abandon_rental_after: Duration,
}

impl Default for Fencing {
    fn default() -> Self {
        Self {
            enabled: false,
            write_interval: Duration::from_millis(100),
            compaction_interval: Duration::from_secs(5),
            refused_rental_retry: Duration::from_secs(15),
            abandon_rental_after: Duration::from_secs(600),
        }
    }
}

#[derive(Debug, Clone)]
pub struct Settings {
    pub host: String,
    /// Where this node is.
    pub zone: String,
    /// Tells one start of this process from another.
    pub boot_id: u64,
    pub nodes: usize,
    pub peers: Vec<String>,
    pub teams: BTreeMap<String, Team>,
    pub objectives: BTreeMap<String, ServiceLevelObjective>,
    pub heartbeat_interval: Duration,
    pub worker_lease: Duration,
    pub cancel_within: Duration,
    pub kv_requests_per_s: f64,
    pub kv_changes_per_s: f64,
    /// The changes a second that will be allowed some time after every node has
    /// this version; at most `write_rps`.
    pub next_kv_changes_per_s: f64,
    /// The smaller of what is allowed now and what will be.
    pub max_value_bytes: usize,
    pub max_txn_changes: usize,
    pub cloud_requests_per_s: f64,
    /// The share of a core that the process has.
    pub cpu_share: f64,
    pub inventory_lag: Duration,
    pub clock_error: Duration,
    pub sizing: Sizing,
    pub fencing: Fencing,
    pub reachability: Reachability,
    pub sharding: Sharding,
}

/// What a worker that got no answer needs until it is heard again: 4 s to notice,
/// a second to ask another node, and half a second to come where that sends it.
const DETOUR: Duration = Duration::from_millis(5500);

/// What a message may take of a core's time with all that it brings, and the bounds of the
/// pause that follows from it.
const MESSAGE_COST: Duration = Duration::from_millis(2);
const MIN_MESSAGE_PAUSE: Duration = Duration::from_millis(20);
const MAX_MESSAGE_PAUSE: Duration = Duration::from_millis(150);

impl Settings {
    /// The longest time between two reports that are answered: one may be a
    /// quarter late, and a while under way.
    pub fn heartbeat_timeout(&self) -> Duration {
        self.heartbeat_interval.mul_f64(1.25) + Duration::from_millis(500)
    }

    /// Between two messages with news between the leader and a holder: each costs both some
    /// hundred microseconds, so that a small share of a core sends fewer.
    pub fn shard_message_interval(&self) -> Duration {
        MESSAGE_COST.div_f64(self.cpu_share.max(0.001)).clamp(MIN_MESSAGE_PAUSE, MAX_MESSAGE_PAUSE)
    }

    /// A worker that is there is heard within this time, also if one report of
    /// its got no answer.
    pub fn failover_heartbeat_timeout(&self) -> Duration {
        self.heartbeat_timeout() + DETOUR
    }
}
