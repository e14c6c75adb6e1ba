//! The settings files. Unknown fields of the platform's file are ignored. The operators' files must
//! match their JSON schemas.

pub mod fault;
pub mod fencing;
pub mod node;
pub mod operator;
pub mod platform;
pub mod reachability;
mod reader;
pub mod schema;
pub mod sharding;

pub use fault::SettingsFault;
pub use node::NodeSettings;

use fencing::FencingFile;
use operator::OperatorFile;
use reachability::ReachabilityFile;
use schema::SettingsFile;
use serde_json::Value;
use sharding::ShardingFile;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The paths of the settings files. Only the platform's file is required.
#[derive(Debug, Clone, Default)]
pub struct SettingsFiles {
    /// The platform's settings file.
    pub platform: PathBuf,
    /// The operators' file for the size of the fleet.
    pub operator: Option<PathBuf>,
    /// The operators' file for fencing, which is off without it.
    pub fencing: Option<PathBuf>,
    /// The operators' file for reachability checks, which are off without it.
    pub reachability: Option<PathBuf>,
    /// The operators' file for sharding, which is off without it.
    pub sharding: Option<PathBuf>,
}

/// Reads and checks the files. On failure, returns every error found.
pub fn read(files: &SettingsFiles) -> Result<NodeSettings, Vec<SettingsFault>> {
    let mut faults = Vec::new();
    let platform = load(&files.platform, &mut faults);
    let mut load_optional = |path: &Option<PathBuf>| path.as_ref().map(|path| load(path, &mut faults));
    let operator = load_optional(&files.operator);
    let fencing = load_optional(&files.fencing);
    let reachability = load_optional(&files.reachability);
    let sharding = load_optional(&files.sharding);
    if !faults.is_empty() {
        return Err(faults);
    }
    let operator = parse_optional::<OperatorFile>(operator, &mut faults).unwrap_or_default();
    let mut settings = platform::parse(&platform, &operator, &mut faults);
    if let Some(file) = parse_optional::<FencingFile>(fencing, &mut faults) {
        settings.core.fencing = file.into();
    }
    if let Some(file) = parse_optional::<ReachabilityFile>(reachability, &mut faults) {
        settings.core.reachability = file.into();
    }
    if let Some(file) = parse_optional::<ShardingFile>(sharding, &mut faults) {
        settings.core.sharding = file.into();
    }
    if faults.is_empty() {
        Ok(settings)
    } else {
        Err(faults)
    }
}

fn parse_optional<F: SettingsFile>(value: Option<Value>, faults: &mut Vec<SettingsFault>) -> Option<F> {
    value.map(|value| schema::parse(&value, faults))
}

/// Reads a file that must contain a JSON object. On failure, adds a fault and returns `Null`.
fn load(path: &Path, faults: &mut Vec<SettingsFault>) -> Value {
    let loaded = std::fs::read_to_string(path)
        .map_err(|error| SettingsFault::Unreadable { path: path.into(), error })
        .and_then(|text| {
            serde_json::from_str(&text).map_err(|error| SettingsFault::NotJson { path: path.into(), error })
        });
    match loaded {
        Ok(value @ Value::Object(_)) => value,
        Ok(_) => {
            faults.push(SettingsFault::NotAnObject { path: path.into() });
            Value::Null
        }
        Err(fault) => {
            faults.push(fault);
            Value::Null
        }
    }
}

/// Converts a duration into the milliseconds that the files contain.
fn as_millis(time: Duration) -> u64 {
    time.as_millis() as u64
}
