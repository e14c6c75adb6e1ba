//! The operators' settings of reachability.

use crate::permission::PermissionTable;
use std::time::Duration;

/// The settings of reachability.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Whether permissions depend on the mode and coverage is exchanged.
    pub enabled: bool,
    /// The time for which a link must have failed, without a confirmation, before it is down.
    pub down_after: Duration,
    /// The time for which the links of a side that was down must work before the side counts as up.
    pub up_after: Duration,
    /// The time in which the flap penalty of a side halves.
    pub half_life: Duration,
    /// The penalty, in failures, from which a side is suppressed.
    pub suppress_threshold: f64,
    /// The penalty, in failures, at which a side is no longer suppressed.
    pub reuse_threshold: f64,
    /// The interval at which coverage is sent to the peers.
    pub coverage_interval: Duration,
    /// The time for which another node must be better connected before the leader hands over.
    pub handover_after: Duration,
    /// The minimum time for which a node leads before it hands over. Each recent hand-over doubles it.
    pub min_time_as_leader: Duration,
    /// The permissions in each mode. Operators can't set them, but tests do.
    pub table: PermissionTable,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            enabled: false,
            down_after: Duration::from_millis(1500),
            up_after: Duration::from_millis(500),
            half_life: Duration::from_secs(10),
            suppress_threshold: 2.2,
            reuse_threshold: 1.0,
            coverage_interval: Duration::from_secs(2),
            handover_after: Duration::from_millis(1500),
            min_time_as_leader: Duration::from_secs(5),
            table: PermissionTable::standard(),
        }
    }
}
