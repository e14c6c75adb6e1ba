//! What the core must know of its deployment.

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
pub struct Expectation {
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
    /// Time between rounds.
    pub interval: Duration,
    /// U: machines of one type at most; without it, the guarantees decide.
    pub capacity: Option<u32>,
}

impl Default for Sizing {
    fn default() -> Self {
        Self { threshold: 1.15, interval: Duration::from_secs(50), capacity: None }
    }
}

#[derive(Debug, Clone)]
pub struct Settings {
    pub host: String,
    /// Tells one start of this process from another.
    pub boot: u64,
    pub nodes: usize,
    pub siblings: Vec<String>,
    pub teams: BTreeMap<String, Team>,
    pub expectations: BTreeMap<String, Expectation>,
    pub report: Duration,
    pub lease: Duration,
    pub cancel: Duration,
    pub state_rps: f64,
    pub write_rps: f64,
    pub value_bytes: usize,
    pub txn_ops: usize,
    pub cloud_rps: f64,
    pub list_lag: Duration,
    pub clock_off: Duration,
    pub sizing: Sizing,
}
