//! Checks the operators' settings files against their JSON schemas and decodes them.

use super::SettingsFault;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// A settings file with a JSON schema. Its default is used if the file is absent or invalid.
pub trait SettingsFile: Default + DeserializeOwned {
    /// The name of the file in fault messages.
    const NAME: &'static str;
    /// The JSON schema of the file, which editors can use, too.
    const SCHEMA: &'static str;
}

/// Checks a file against its schema and decodes it. On failure, adds every error to `faults` and returns
/// the default.
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
