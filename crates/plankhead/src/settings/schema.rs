//! Settings files of the operators: checked against a JSON schema, then read.

use super::SettingsFault;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// A settings file with a schema. Its default stands for a file that is absent or faulty.
pub trait SettingsFile: Default + DeserializeOwned {
    /// What faults call the file.
    const NAME: &'static str;
    /// The JSON schema, also for editors.
    const SCHEMA: &'static str;
}

/// Checks a file against its schema, then reads it. On failure every fault is added, and the
/// defaults are returned.
pub fn parse<F: SettingsFile>(value: &Value, faults: &mut Vec<SettingsFault>) -> F {
    let violations = check::<F>(value);
    if !violations.is_empty() {
        faults.extend(violations);
        return F::default();
    }
    serde_json::from_value(value.clone()).unwrap_or_else(|error| {
        faults.push(SettingsFault::Malformed { file: F::NAME, error });
        F::default()
    })
}

fn check<F: SettingsFile>(value: &Value) -> Vec<SettingsFault> {
    let schema: Value = serde_json::from_str(F::SCHEMA).unwrap_or_default();
    let validator = match jsonschema::validator_for(&schema) {
        Ok(validator) => validator,
        Err(error) => return vec![SettingsFault::InvalidSchema { reason: error.to_string() }],
    };
    let violation = |error: jsonschema::ValidationError<'_>| SettingsFault::SchemaViolation {
        file: F::NAME,
        pointer: error.instance_path().to_string(),
        reason: error.to_string(),
    };
    validator.iter_errors(value).map(violation).collect()
}
