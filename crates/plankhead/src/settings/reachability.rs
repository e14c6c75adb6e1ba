//! The operators' settings file for reachability checks.

use super::as_millis;
use super::schema::SettingsFile;
use plankhead_reachability::settings::Settings;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The settings for checking which links of a node work.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[cfg_attr(test, derive(schemars::JsonSchema))]
#[serde(deny_unknown_fields, default)]
pub struct ReachabilityFile {
    /// Whether links are checked and their condition restricts which actions are permitted.
    pub enabled: bool,
    /// Milliseconds without a confirmation after which a failing link counts as down.
    #[cfg_attr(test, schemars(range(min = 200, max = 60_000)))]
    pub down_after_ms: u64,
    /// Milliseconds for which the links of a side (state service or workers) that was down must work before
    /// the side counts as up.
    #[cfg_attr(test, schemars(range(min = 0, max = 60_000)))]
    pub up_after_ms: u64,
    /// Milliseconds in which the flap penalty of a side falls to half.
    #[cfg_attr(test, schemars(range(min = 100, max = 3_600_000)))]
    pub half_life_ms: u64,
    /// The flap penalty, in failures, from which a side is suppressed, so that it does not count as up.
    #[cfg_attr(test, schemars(range(min = 1.1, max = 100.0)))]
    pub suppress: f64,
    /// The flap penalty, in failures, at which a suppressed side may count as up again.
    #[cfg_attr(test, schemars(range(min = 0.1, max = 1.0)))]
    pub reuse: f64,
    /// Milliseconds between two coverage messages, which tell the peers from which machines this node
    /// receives heartbeats.
    #[cfg_attr(test, schemars(range(min = 200, max = 2_500)))]
    pub coverage_interval_ms: u64,
    /// Milliseconds for which another node must have clearly better links before the leader hands over to it.
    #[cfg_attr(test, schemars(range(min = 0, max = 600_000)))]
    pub handover_after_ms: u64,
    /// The shortest time, in milliseconds, for which a leader leads before it hands over. Each recent
    /// hand-over doubles it.
    #[cfg_attr(test, schemars(range(min = 0, max = 600_000)))]
    pub least_tenure_ms: u64,
}

impl SettingsFile for ReachabilityFile {
    const NAME: &'static str = "reachability settings";
    const SCHEMA: &'static str = include_str!("../../reachability.schema.json");
}

impl Default for ReachabilityFile {
    fn default() -> Self {
        let core = Settings::default();
        Self {
            enabled: core.enabled,
            down_after_ms: as_millis(core.down_after),
            up_after_ms: as_millis(core.up_after),
            half_life_ms: as_millis(core.half_life),
            suppress: core.suppress_threshold,
            reuse: core.reuse_threshold,
            coverage_interval_ms: as_millis(core.coverage_interval),
            handover_after_ms: as_millis(core.handover_after),
            least_tenure_ms: as_millis(core.min_time_as_leader),
        }
    }
}

impl From<ReachabilityFile> for Settings {
    fn from(file: ReachabilityFile) -> Self {
        Self {
            enabled: file.enabled,
            down_after: Duration::from_millis(file.down_after_ms),
            up_after: Duration::from_millis(file.up_after_ms),
            half_life: Duration::from_millis(file.half_life_ms),
            suppress_threshold: file.suppress,
            reuse_threshold: file.reuse,
            coverage_interval: Duration::from_millis(file.coverage_interval_ms),
            handover_after: Duration::from_millis(file.handover_after_ms),
            min_time_as_leader: Duration::from_millis(file.least_tenure_ms),
            ..Self::default()
        }
    }
}
