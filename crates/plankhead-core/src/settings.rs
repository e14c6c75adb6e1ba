//! What the core must know of its deployment, read from the settings file by the service.

use plankhead_reachability::settings::Settings as Reachability;
use plankhead_sharding::settings::Settings as Sharding;
use std::collections::BTreeMap;
use std::time::Duration;

/// A team's quota; a limit of zero allows nothing.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Team {
    /// CPUs that the team gets before others.
    pub guaranteed_cpus: f64,
    /// CPUs that it may use at the most.
    pub max_cpus: f64,
    /// GPUs that the team gets before others.
    pub guaranteed_gpus: f64,
    /// GPUs that it may use at the most.
    pub max_gpus: f64,
}

/// The service-level objective of a class of jobs: what its users expect.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ServiceLevelObjective {
    /// A task should start within this time.
    pub start_within: Option<Duration>,
    /// A job should be done within this time.
    pub finish_within: Option<Duration>,
}

/// How the fleet's size is decided, as the operators have set it.
#[derive(Debug, Clone, PartialEq)]
pub struct Sizing {
    /// The largest acceptable average bounded slowdown (S in the paper); 1 is none.
    pub max_slowdown: f64,
    /// Time between sizing rounds; without it, machines' boot times decide.
    pub interval: Option<Duration>,
    /// Machines of one type at most (U in the paper); without it, the guarantees decide.
    pub max_machines: Option<u32>,
}

impl Default for Sizing {
    fn default() -> Self {
        Self { max_slowdown: 1.15, interval: None, max_machines: None }
    }
}

/// Whether and how the leader's intents are fenced.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fencing {
    /// Intents are recorded before they are issued, and issued through the fencing gate only.
    pub enabled: bool,
    /// The time between two writes of intents, unless a deadline is near.
    pub write_interval: Duration,
    /// The time between two writes that only remove records of what is confirmed.
    pub compaction_interval: Duration,
    /// The time until a refused rental that may still be carried out is asked for again.
    pub refused_rental_retry: Duration,
    /// How long after a failover such a rental is given up.
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

/// The settings of one node.
#[derive(Debug, Clone)]
pub struct Settings {
    /// This node's name.
    pub host: String,
    /// Where this node is.
    pub zone: String,
    /// Tells one start of this process from another.
    pub boot_id: u64,
    /// How many nodes there are, with this one.
    pub nodes: usize,
    /// The names of the other nodes.
    pub peers: Vec<String>,
    /// The teams that may submit jobs, by name.
    pub teams: BTreeMap<String, Team>,
    /// The objectives of job classes, by name of the class.
    pub objectives: BTreeMap<String, ServiceLevelObjective>,
    /// How often a worker sends a heartbeat, give or take a quarter.
    pub heartbeat_interval: Duration,
    /// How long a worker keeps its tasks without an accepted response.
    pub worker_lease: Duration,
    /// Within this time after a cancellation, all tasks of the job must be gone.
    pub cancel_within: Duration,
    /// Requests a second to the state service, of all nodes together.
    pub kv_requests_per_s: f64,
    /// Puts and deletes a second in the state service, of all nodes together.
    pub kv_changes_per_s: f64,
    /// The changes a second that will be allowed some time after every node has
    /// this version; at most `kv_changes_per_s`.
    pub next_kv_changes_per_s: f64,
    /// The largest value that may be written: the smaller of what is allowed now and what will
    /// be.
    pub max_value_bytes: usize,
    /// Puts and deletes in one transaction at the most.
    pub max_txn_changes: usize,
    /// Requests a second to the cloud, of all nodes together.
    pub cloud_requests_per_s: f64,
    /// The share of a core that the process has; 1 is a whole one.
    pub cpu_share: f64,
    /// How far the cloud's inventory usually lags, sometimes by up to twice as much.
    pub inventory_lag: Duration,
    /// How far the wall clocks of two nodes may differ.
    pub clock_error: Duration,
    /// How the fleet's size is decided.
    pub sizing: Sizing,
    /// How the leader's intents are fenced.
    pub fencing: Fencing,
    /// How links are watched, and what a node may do by its reachability.
    pub reachability: Reachability,
    /// Whether and how zones are divided into shards.
    pub sharding: Sharding,
}

/// What a worker that got no response needs until it is heard again: 4 s to notice,
/// a second to ask another node, and half a second to come where that sends it.
const MAX_REROUTE_TIME: Duration = Duration::from_millis(5500);
/// How late a heartbeat may be because of the way that it takes.
const MAX_HEARTBEAT_DELAY: Duration = Duration::from_millis(500);

/// What a message between the leader and a holder may take of a whole core's time, with all that
/// it brings.
const MESSAGE_COST: Duration = Duration::from_millis(2);
/// The bounds of the interval between such messages, which follows from their cost.
const MIN_MESSAGE_INTERVAL: Duration = Duration::from_millis(20);
const MAX_MESSAGE_INTERVAL: Duration = Duration::from_millis(150);
/// The share of a core that the interval is computed with at least.
const MIN_CPU_SHARE: f64 = 0.001;

impl Settings {
    /// The longest time between two heartbeats that are answered: one may be a
    /// quarter late, and a while under way.
    pub fn heartbeat_timeout(&self) -> Duration {
        self.heartbeat_interval.mul_f64(1.25) + MAX_HEARTBEAT_DELAY
    }

    /// The time between two messages with news between the leader and a holder: each costs both
    /// some hundred microseconds, so that a small share of a core sends fewer.
    pub fn shard_message_interval(&self) -> Duration {
        MESSAGE_COST
            .div_f64(self.cpu_share.max(MIN_CPU_SHARE))
            .clamp(MIN_MESSAGE_INTERVAL, MAX_MESSAGE_INTERVAL)
    }

    /// A worker that is there is heard within this time, also if one heartbeat of
    /// its got no response.
    pub fn failover_heartbeat_timeout(&self) -> Duration {
        self.heartbeat_timeout() + MAX_REROUTE_TIME
    }
}
