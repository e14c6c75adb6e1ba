//! The operators' settings for sharding.

use std::collections::BTreeSet;
use std::time::Duration;

/// The settings for the partitioning of machines among nodes.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Whether sharding is enabled.
    pub enabled: bool,
    /// The number of shards in each zone.
    pub shards_per_zone: u32,
    /// The leader's capacity for shards beside its other work, where 1 is that of another node.
    pub leader_capacity: f64,
    /// The fraction by which a move must reduce the cost of its shard, as computed in
    /// [`balance`](crate::balance).
    pub hysteresis: f64,
    /// The minimum time from any move to the next one for balance or off a drained node.
    pub move_pause: Duration,
    /// The time that the leader waits for a holder to release a shard.
    pub release_timeout: Duration,
    /// The time without a status message from a holder after which its shards get other holders.
    pub holder_timeout: Duration,
    /// The nodes that are to hold no shards.
    pub drained: BTreeSet<String>,
    /// The interval at which a shard moves regardless of the balance, for drills and tests.
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
