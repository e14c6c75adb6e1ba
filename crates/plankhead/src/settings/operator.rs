//! The operators' settings file for the size of the fleet.

use super::schema::SettingsFile;
use plankhead_core::settings::Sizing;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The operators' settings for the size of the fleet.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[cfg_attr(test, derive(schemars::JsonSchema))]
#[cfg_attr(test, schemars(rename = "Operator"))]
#[serde(deny_unknown_fields, default)]
pub struct OperatorFile {
    pub sizing: OperatorSizing,
}

/// The settings for the search for the size of the fleet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[cfg_attr(test, derive(schemars::JsonSchema))]
#[serde(deny_unknown_fields, default)]
pub struct OperatorSizing {
    /// The largest acceptable average bounded slowdown (S in the sizing paper).
    #[cfg_attr(test, schemars(range(min = 1.0, max = 1e6)))]
    pub threshold: f64,
    /// Seconds between two sizing rounds. This should be longer than the boot of a machine. Without it,
    /// the interval is 1.5 times the longest usual boot time, but at least 20 seconds.
    #[cfg_attr(test, schemars(range(min = 5.0, max = 86400.0)))]
    pub interval_s: Option<f64>,
    /// The largest number of machines of one type (U in the sizing paper). Without it, as many machines
    /// as provide the teams' guaranteed CPUs, and 1.5 times as many under overload. In every
    /// case the number is reduced once the cloud refuses to rent more.
    #[cfg_attr(test, schemars(range(min = 1, max = 10000)))]
    pub capacity: Option<u32>,
}

impl SettingsFile for OperatorFile {
    const NAME: &'static str = "operator settings";
    const SCHEMA: &'static str = include_str!("../../operator.schema.json");
}

impl Default for OperatorSizing {
    fn default() -> Self {
        let core = Sizing::default();
        Self {
            threshold: core.max_slowdown,
            interval_s: core.interval.map(|interval| interval.as_secs_f64()),
            capacity: core.max_machines,
        }
    }
}

impl From<&OperatorSizing> for Sizing {
    fn from(sizing: &OperatorSizing) -> Self {
        Self {
            max_slowdown: sizing.threshold,
            interval: sizing.interval_s.map(Duration::from_secs_f64),
            max_machines: sizing.capacity,
        }
    }
}
