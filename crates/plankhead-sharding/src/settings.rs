//! What operators may set.

use std::collections::BTreeSet;
use std::time::Duration;

/// Whether and how machines are divided among controllers.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    pub enabled: bool,
    /// Parts that each zone's machines are divided into.
    pub shards_per_zone: u32,
    /// The part of another controller's load that the leader takes beside its own work.
    pub leader_capacity: f64,
    /// How much less loaded another holder must be for a shard to move to it.
    pub hysteresis: f64,
    /// Between two moves for the sake of balance.
    pub move_pause: Duration,
    /// How long a holder that is asked to let go is waited for.
    pub release_timeout: Duration,
    /// How long a holder may be silent before its shards go to others.
    pub holder_timeout: Duration,
    /// Controllers that are to hold none.
    pub drained: BTreeSet<String>,
    /// Moves a shard every so often whatever the balance; for drills and tests.
    pub rotate: Option<Duration>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            enabled: false,
            shards_per_zone: 2,
            leader_capacity: 0.3,
            hysteresis: 0.25,
            move_pause: Duration::from_secs(10),
            release_timeout: Duration::from_secs(2),
            holder_timeout: Duration::from_secs(3),
            drained: BTreeSet::new(),
            rotate: None,
        }
    }
}
