//! What operators may set.

use crate::permission::PermissionTable;
use std::time::Duration;

/// Whether and how reachability is judged.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    pub enabled: bool,
    /// A link that has failed for so long, without a confirmation, is down.
    pub down_after: Duration,
    /// A side that was down must hold for so long before it counts as up.
    pub up_after: Duration,
    /// The time in which the penalty of a flapping side falls to half.
    pub half_life: Duration,
    /// A side whose penalty reaches this, in failures, is suppressed.
    pub suppress: f64,
    /// Until its penalty has fallen to this.
    pub reuse: f64,
    /// How often coverage is told to the other controllers.
    pub coverage_interval: Duration,
    /// How long another controller must be better placed before a leader hands over.
    pub handover_after: Duration,
    /// How long a leader leads at the least before it hands over; doubled with each
    /// recent hand-over.
    pub least_tenure: Duration,
    /// What is allowed in which mode. Operators can't set it; tests of the checks do.
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
            least_tenure: Duration::from_secs(5),
            table: PermissionTable::standard(),
        }
    }
}
