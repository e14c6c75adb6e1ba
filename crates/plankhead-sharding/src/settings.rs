//! The operators' settings of sharding.

use std::collections::BTreeSet;
use std::time::Duration;

/// Whether and how machines are partitioned among nodes.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Whether shards are used at all.
    pub enabled: bool,
    /// The number of shards of each zone's machines.
    pub shards_per_zone: u32,
    /// The share of another node's load that the leader takes beside its own work.
    pub leader_capacity: f64,
    /// How much less loaded another holder must be for a shard to move to it.
    pub hysteresis: f64,
    /// The least time between two moves for balance.
    pub move_pause: Duration,
    /// How long the leader waits for a holder to release a shard.
    pub release_timeout: Duration,
    /// How long a holder's heartbeats may be missing before its shards are seized.
    pub holder_timeout: Duration,
    /// Nodes that are to hold no shards.
    pub drained: BTreeSet<String>,
    /// The interval at which a shard moves whatever the balance; for drills and tests.
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
