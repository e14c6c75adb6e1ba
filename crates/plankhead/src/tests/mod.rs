#![allow(clippy::unwrap_used)]

mod driver;
mod duties;
mod messages;
mod reachability;
mod service;
mod settings;
mod shards;
mod standins;
mod wire_bytes;

/// Compares a message with the one that an earlier version recorded in `tests/fixtures`;
/// `RECORD_MESSAGES=1` records it.
fn compare_with_fixture(name: &str, bytes: &[u8]) {
    let path = format!("{}/tests/fixtures/{name}", env!("CARGO_MANIFEST_DIR"));
    if std::env::var_os("RECORD_MESSAGES").is_some() {
        std::fs::write(&path, bytes).unwrap();
    }
    assert_eq!(std::fs::read(&path).unwrap(), bytes, "{name}");
}
