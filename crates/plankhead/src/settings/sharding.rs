//! The operators' settings file for sharding.

use super::as_millis;
use super::schema::SettingsFile;
use plankhead_sharding::settings::Settings;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::time::Duration;

/// The settings for sharding machines among the controllers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[cfg_attr(test, derive(schemars::JsonSchema))]
#[serde(deny_unknown_fields, default)]
pub struct ShardingFile {
    /// Whether machines are sharded among the controllers.
    pub enabled: bool,
    /// The number of shards into which the machines of each zone are divided.
    #[cfg_attr(test, schemars(range(min = 1, max = 64)))]
    pub shards_per_zone: u32,
    /// The load that the leader takes besides its work as leader, as a share of another controller's load.
    #[cfg_attr(test, schemars(range(min = 0.01, max = 10.0)))]
    pub leader_capacity: f64,
    /// The smallest gain for which a shard is moved to balance the load, as a share of its holder's load.
    #[cfg_attr(test, schemars(range(min = 0.05, max = 1.0)))]
    pub hysteresis: f64,
    /// Milliseconds between two moves that balance the load or empty a drained controller.
    #[cfg_attr(test, schemars(range(min = 500, max = 3_600_000)))]
    pub move_pause_ms: u64,
    /// Milliseconds within which a holder must release a shard. After that, the leader assigns the shard to
    /// another controller without a release.
    #[cfg_attr(test, schemars(range(min = 100, max = 60_000)))]
    pub release_timeout_ms: u64,
    /// Milliseconds without a message from a holder after which its shards are assigned to others.
    #[cfg_attr(test, schemars(range(min = 1_500, max = 60_000)))]
    pub holder_timeout_ms: u64,
    /// The names of controllers that must not hold shards.
    pub drained: BTreeSet<String>,
    /// Milliseconds between two moves of a shard regardless of the balance, for drills and tests.
    #[cfg_attr(test, schemars(range(min = 1_000, max = 86_400_000)))]
    pub rotate_ms: Option<u64>,
}

impl SettingsFile for ShardingFile {
    const NAME: &'static str = "sharding settings";
    const SCHEMA: &'static str = include_str!("../../sharding.schema.json");
}

impl Default for ShardingFile {
    fn default() -> Self {
        let core = Settings::default();
        Self {
            enabled: core.enabled,
            shards_per_zone: core.shards_per_zone,
            leader_capacity: core.leader_capacity,
            hysteresis: core.hysteresis,
            move_pause_ms: as_millis(core.move_pause),
            release_timeout_ms: as_millis(core.release_timeout),
            holder_timeout_ms: as_millis(core.holder_timeout),
            drained: core.drained,
            rotate_ms: core.rotate.map(as_millis),
        }
    }
}

impl From<ShardingFile> for Settings {
    fn from(file: ShardingFile) -> Self {
        Self {
            enabled: file.enabled,
            shards_per_zone: file.shards_per_zone,
            leader_capacity: file.leader_capacity,
            hysteresis: file.hysteresis,
            move_pause: Duration::from_millis(file.move_pause_ms),
            release_timeout: Duration::from_millis(file.release_timeout_ms),
            holder_timeout: Duration::from_millis(file.holder_timeout_ms),
            drained: file.drained,
            rotate: file.rotate_ms.map(Duration::from_millis),
        }
    }
}
