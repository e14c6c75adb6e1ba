//! The settings of the core. The service reads them from its settings files.

use plankhead_reachability::settings::Settings as Reachability;
use plankhead_sharding::settings::Settings as Sharding;
use std::collections::BTreeMap;
use std::time::Duration;

/// A team's quota. A limit of zero does not allow the team any use of the resource.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Team {
    /// The CPUs that the team gets before other teams.
    pub guaranteed_cpus: f64,
    /// The most CPUs that the team may use.
    pub max_cpus: f64,
    /// The GPUs that the team gets before other teams.
    pub guaranteed_gpus: f64,
    /// The most GPUs that the team may use.
    pub max_gpus: f64,
}

/// The service-level objective of a class of jobs.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ServiceLevelObjective {
    /// The time within which a task should start.
    pub start_within: Option<Duration>,
    /// The time within which a job should be done.
    pub finish_within: Option<Duration>,
}

/// The operators' settings for the sizing of the fleet.
#[derive(Debug, Clone, PartialEq)]
pub struct Sizing {
    /// The largest acceptable average bounded slowdown (S in the sizing paper); 1 means no slowdown.
    pub max_slowdown: f64,
    /// The time between sizing rounds. Without it, the time follows from the machines' boot times.
    pub interval: Option<Duration>,
    /// The largest number of machines of one type (U in the sizing paper). Without it, the limit
    /// follows from the teams' guaranteed CPUs.
    pub max_machines: Option<u32>,
}

impl Default for Sizing {
    fn default() -> Self {
        Self { max_slowdown: 1.15, interval: None, max_machines: None }
    }
}

/// The settings for fencing the leader's intents.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fencing {
    /// Whether intents are recorded before they are issued, and issued only through the fencing
    /// gate.
    pub enabled: bool,
    /// The time between two writes of intents, unless a deadline requires an earlier write.
    pub write_interval: Duration,
    /// The time between two writes that only remove records of confirmed intents.
    pub compaction_interval: Duration,
    /// The time after which a refused rental that may still be carried out is requested again.
    pub refused_rental_retry: Duration,
    /// The time from the start of a leader's term after which it abandons a refused rental.
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
    /// The zone in which this node runs.
    pub zone: String,
    /// Identifies one start of this process.
    pub boot_id: u64,
    /// The number of nodes, including this one.
    pub nodes: usize,
    /// The names of the other nodes.
    pub peers: Vec<String>,
    /// The teams that may submit jobs, by name.
    pub teams: BTreeMap<String, Team>,
    /// The objectives of job classes, by class name.
    pub objectives: BTreeMap<String, ServiceLevelObjective>,
    /// The time between two heartbeats of a worker, which may vary by a quarter.
    pub heartbeat_interval: Duration,
    /// The time for which a worker keeps its tasks without an accepted response.
    pub worker_lease: Duration,
    /// The time within which all tasks of a cancelled job must have ended.
    pub cancel_within: Duration,
    /// The limit on requests per second to the state service, for all nodes together.
    pub kv_requests_per_s: f64,
    /// The limit on puts and deletes per second in the state service, for all nodes together.
    pub kv_changes_per_s: f64,
    /// The limit that may replace `kv_changes_per_s` at any time once every node runs this version;
    /// not larger than `kv_changes_per_s`.
    pub next_kv_changes_per_s: f64,
    /// The largest size of a written value: the smaller of the current and the upcoming limit.
    pub max_value_bytes: usize,
    /// The largest number of puts and deletes in one transaction: the smaller of the current and the
    /// upcoming limit.
    pub max_txn_changes: usize,
    /// The limit on requests per second to the cloud, for all nodes together.
    pub cloud_requests_per_s: f64,
    /// The number of CPU cores that the process may use; below 1, a part of one core.
    pub cpu_share: f64,
    /// The usual lag of the cloud's inventory. The actual lag is sometimes up to twice as long.
    pub inventory_lag: Duration,
    /// The largest difference between the wall clocks of two nodes.
    pub clock_error: Duration,
    /// The sizing of the fleet.
    pub sizing: Sizing,
    /// The fencing of the leader's intents.
    pub fencing: Fencing,
    /// The monitoring of links, and what a node may do depending on its reachability.
    pub reachability: Reachability,
    /// The division of zones into shards.
    pub sharding: Sharding,
}

/// The time until a worker that got no response reaches another node: 4 s to detect this, 1 s to ask
/// another node and 0.5 s to reach the node that it is redirected to.
const MAX_REROUTE_TIME: Duration = Duration::from_millis(5500);
/// The largest network delay of a heartbeat.
const MAX_HEARTBEAT_DELAY: Duration = Duration::from_millis(500);

/// The CPU time on a whole core allowed for one message between the leader and a holder, with all
/// processing that follows from it.
const MESSAGE_COST: Duration = Duration::from_millis(2);
/// The bounds of the interval between such messages, which is computed from their cost.
const MIN_MESSAGE_INTERVAL: Duration = Duration::from_millis(20);
const MAX_MESSAGE_INTERVAL: Duration = Duration::from_millis(150);
/// The smallest share of a core used to compute the interval.
const MIN_CPU_SHARE: f64 = 0.001;

impl Settings {
    /// Returns the longest time between the arrivals of two heartbeats of a worker whose heartbeats
    /// are answered: the second may be sent a quarter of the interval late and be delayed on the
    /// network.
    pub fn heartbeat_timeout(&self) -> Duration {
        self.heartbeat_interval.mul_f64(1.25) + MAX_HEARTBEAT_DELAY
    }

    /// Returns the time between two messages with updates between the leader and a holder. A message
    /// costs each of them several hundred microseconds, so a node with a small share of a core sends
    /// fewer.
    pub fn shard_message_interval(&self) -> Duration {
        MESSAGE_COST
            .div_f64(self.cpu_share.max(MIN_CPU_SHARE))
            .clamp(MIN_MESSAGE_INTERVAL, MAX_MESSAGE_INTERVAL)
    }

    /// Returns the longest time between the arrivals of two heartbeats of a running worker when one
    /// heartbeat between them, or the response to it, is lost.
    pub fn failover_heartbeat_timeout(&self) -> Duration {
        self.heartbeat_timeout() + MAX_REROUTE_TIME
    }
}
