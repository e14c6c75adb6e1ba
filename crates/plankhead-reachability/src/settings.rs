//! The operators' settings of reachability.

use crate::permission::PermissionTable;
use std::time::Duration;

/// Whether and how reachability is judged.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Whether permissions depend on the mode, and coverage is exchanged.
    pub enabled: bool,
    /// A link that has failed for so long, without a confirmation, is down.
    pub down_after: Duration,
    /// The links of a side that was down must be good for so long before it counts as up.
    pub up_after: Duration,
    /// The time in which the flap penalty of a side falls to half.
    pub half_life: Duration,
    /// The penalty, in failures, from which a side is suppressed.
    pub suppress: f64,
    /// The penalty at which it is not suppressed any more.
    pub reuse: f64,
    /// The interval at which coverage is sent to the peers.
    pub coverage_interval: Duration,
    /// How long another node must be better placed before a leader hands over.
    pub handover_after: Duration,
    /// The least time for which a leader leads before it hands over; doubled by each recent
    /// hand-over.
    pub min_time_as_leader: Duration,
    /// What is allowed in which mode. Operators can't set it; tests do.
    pub table: PermissionTable,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            enabled: false,
            down_after: Duration::from_millis(1500),
            up_after: Duration::from_millis(500),
            half_life: Duration::from_secs(10),
            suppress: 2.2,
            reuse: 1.0,
            coverage_interval: Duration::from_secs(2),
            handover_after: Duration::from_millis(1500),
            min_time_as_leader: Duration::from_secs(5),
            table: PermissionTable::standard(),
        }
    }
}
