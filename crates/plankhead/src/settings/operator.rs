//! The operators' file on the size of the fleet.

use super::schema::SettingsFile;
use plankhead_core::settings::Sizing;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The operators' own settings.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[cfg_attr(test, derive(schemars::JsonSchema))]
#[cfg_attr(test, schemars(rename = "Operator"))]
#[serde(deny_unknown_fields, default)]
pub struct OperatorFile {
    pub sizing: OperatorSizing,
}

/// How the fleet's size is found.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[cfg_attr(test, derive(schemars::JsonSchema))]
#[serde(deny_unknown_fields, default)]
pub struct OperatorSizing {
    /// S: the largest acceptable average bounded slowdown.
    #[cfg_attr(test, schemars(range(min = 1.0, max = 1e6)))]
    pub threshold: f64,
    /// Seconds between rounds; longer than a machine's boot. Without it, half as
    /// long again as the longest usual boot.
    #[cfg_attr(test, schemars(range(min = 5.0, max = 86400.0)))]
    pub interval_s: Option<f64>,
    /// U: machines of one type at most. Without it, what the teams' guarantees
    /// would fill, and half as much again under overload; either way less once
    /// the cloud refuses more.
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
