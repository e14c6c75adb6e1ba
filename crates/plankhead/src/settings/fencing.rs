//! The operators' settings file for fencing.

use super::as_millis;
use super::schema::SettingsFile;
use plankhead_core::settings::Fencing;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The settings for fencing the rentals and releases that the leader requests from the cloud.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[cfg_attr(test, derive(schemars::JsonSchema))]
#[serde(deny_unknown_fields, default)]
pub struct FencingFile {
    /// Whether rentals and releases are recorded as intents before they are requested.
    pub enabled: bool,
    /// Milliseconds between two writes of intents, unless a cancellation deadline requires an earlier one.
    #[cfg_attr(test, schemars(range(min = 0, max = 10_000)))]
    pub write_pause_ms: u64,
    /// Seconds between two writes that only remove the records of finished intents.
    #[cfg_attr(test, schemars(range(min = 1, max = 3600)))]
    pub tidy_pause_s: u64,
    /// Seconds after which a refused rental that may still be carried out is requested again.
    #[cfg_attr(test, schemars(range(min = 1, max = 3600)))]
    pub refused_rental_retry_s: u64,
    /// Seconds from a failover until the new leader abandons refused rentals that may still be carried out.
    #[cfg_attr(test, schemars(range(min = 60, max = 86_400)))]
    pub abandon_rental_s: u64,
}

impl SettingsFile for FencingFile {
    const NAME: &'static str = "fencing settings";
    const SCHEMA: &'static str = include_str!("../../fencing.schema.json");
}

impl Default for FencingFile {
    fn default() -> Self {
        let core = Fencing::default();
        Self {
            enabled: core.enabled,
            write_pause_ms: as_millis(core.write_interval),
            tidy_pause_s: core.compaction_interval.as_secs(),
            refused_rental_retry_s: core.refused_rental_retry.as_secs(),
            abandon_rental_s: core.abandon_rental_after.as_secs(),
        }
    }
}

impl From<FencingFile> for Fencing {
    fn from(file: FencingFile) -> Self {
        Self {
            enabled: file.enabled,
            write_interval: Duration::from_millis(file.write_pause_ms),
            compaction_interval: Duration::from_secs(file.tidy_pause_s),
            refused_rental_retry: Duration::from_secs(file.refused_rental_retry_s),
            abandon_rental_after: Duration::from_secs(file.abandon_rental_s),
        }
    }
}
