//! The unit tests of this crate, and what they share.

#![allow(clippy::unwrap_used)]

mod cli;
mod inspections;
mod intents;
mod messages;
mod peer_messages;
mod reachability;
mod runtime;
mod service;
mod settings;
mod shards;
mod standins;
mod wire_bytes;

use crate::settings::schema::{self, SettingsFile};
use serde_json::Value;

/// Compares an encoded message with the one that an earlier version recorded in `tests/fixtures`. With
/// `RECORD_MESSAGES=1`, records the message first.
fn compare_with_fixture(name: &str, bytes: &[u8]) {
    let path = format!("{}/tests/fixtures/{name}", env!("CARGO_MANIFEST_DIR"));
    if std::env::var_os("RECORD_MESSAGES").is_some() {
        std::fs::write(&path, bytes).unwrap();
    }
    assert_eq!(std::fs::read(&path).unwrap(), bytes, "{name}");
}

/// Compares the committed schema of a settings file with the one generated from its type. With
/// `PLANKHEAD_WRITE_SCHEMA=1`, writes the generated schema instead.
fn assert_schema_is_current<F: SettingsFile + schemars::JsonSchema>(name: &str) {
    let generated = serde_json::to_string_pretty(&schemars::schema_for!(F)).unwrap() + "\n";
    if std::env::var_os("PLANKHEAD_WRITE_SCHEMA").is_some() {
        std::fs::write(format!("{}/{name}", env!("CARGO_MANIFEST_DIR")), &generated).unwrap();
        return;
    }
    assert_eq!(F::SCHEMA, generated, "run the tests once with PLANKHEAD_WRITE_SCHEMA=1");
}

/// Parses a settings file. Returns the settings and the texts of the faults.
fn parse_file<F: SettingsFile>(value: &Value) -> (F, Vec<String>) {
    let mut faults = Vec::new();
    let file = schema::parse(value, &mut faults);
    (file, faults.iter().map(ToString::to_string).collect())
}
