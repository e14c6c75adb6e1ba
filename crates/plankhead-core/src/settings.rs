//! What the core must know of its deployment.

use plankhead_reachability::settings::Settings as Reachability;
use plankhead_sharding::settings::Settings as Sharding;
use std::collections::BTreeMap;
use std::time::Duration;

/// A team's guarantee and cap; a cap of zero allows nothing.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Team {
    pub cpus: f64,
    pub cpus_max: f64,
    pub gpus: f64,
    pub gpus_max: f64,
}

/// What the users expect of a class of jobs.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ServiceLevelObjective {
    /// A task should start within this time.
    pub wait: Option<Duration>,
    /// A job should be done within this time.
    pub finished: Option<Duration>,
}

/// The operators' own settings.
#[derive(Debug, Clone, PartialEq)]
pub struct Sizing {
    /// S: the largest acceptable average bounded slowdown.
    pub threshold: f64,
    /// Time between rounds; without it, machines' boots decide.
    pub interval: Option<Duration>,
    /// U: machines of one type at most; without it, the guarantees decide.
    pub capacity: Option<u32>,
}

impl Default for Sizing {
    fn default() -> Self {
        Self { threshold: 1.15, interval: None, capacity: None }
    }
}

/// Whether and how the leader's duties are fenced.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fencing {
    pub enabled: bool,
    /// Between two writes of intentions, unless a rule presses.
    pub write_pause: Duration,
    /// Between two writes that only remove records of what is over.
    pub tidy_pause: Duration,
    /// Until a refused rental that may still be carried out is asked for again.
    pub refused_rental_retry: Duration,
    /// How long after a takeover such a rental is given up.
    pub abandon_rental: Duration,
}

impl Default for Fencing {
    fn default() -> Self {
        Self {
            enabled: false,
            write_pause: Duration::from_millis(100),
            tidy_pause: Duration::from_secs(5),
            refused_rental_retry: Duration::from_secs(15),
            abandon_rental: Duration::from_secs(600),
        }
    }
}

#[derive(Debug, Clone)]
pub struct Settings {
    pub host: String,
    /// Where this node is.
    pub zone: String,
    /// Tells one start of this process from another.
    pub boot: u64,
    pub nodes: usize,
    pub siblings: Vec<String>,
    pub teams: BTreeMap<String, Team>,
    pub expectations: BTreeMap<String, ServiceLevelObjective>,
    pub report: Duration,
    pub lease: Duration,
    pub cancel: Duration,
    pub state_rps: f64,
    pub write_rps: f64,
    /// The changes a second that will be allowed some time after every node has
    /// this version; at most `write_rps`.
    pub write_rps_next: f64,
    /// The smaller of what is allowed now and what will be.
    pub value_bytes: usize,
    pub txn_ops: usize,
    pub cloud_rps: f64,
    /// The share of a core that the process has.
    pub cpu: f64,
    pub list_lag: Duration,
    pub clock_off: Duration,
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
const LEAST_MESSAGE_PAUSE: Duration = Duration::from_millis(20);
const MOST_MESSAGE_PAUSE: Duration = Duration::from_millis(150);

impl Settings {
    /// The longest time between two reports that are answered: one may be a
    /// quarter late, and a while under way.
    pub fn gap(&self) -> Duration {
        self.report.mul_f64(1.25) + Duration::from_millis(500)
    }

    /// Between two messages with news between the leader and a holder: each costs both some
    /// hundred microseconds, so that a small share of a core sends fewer.
    pub fn message_pause(&self) -> Duration {
        MESSAGE_COST.div_f64(self.cpu.max(0.001)).clamp(LEAST_MESSAGE_PAUSE, MOST_MESSAGE_PAUSE)
    }

    /// A worker that is there is heard within this time, also if one report of
    /// its got no answer.
    pub fn silence(&self) -> Duration {
        self.gap() + DETOUR
    }
}
