//! The published protocol's messages, and their mapping to the types of the core.
//!
//! The protocol's own field names stand in this module alone, in `serde` attributes. Order of
//! fields and texts of errors are part of what goes over the wire.

pub mod cloud;
pub mod responses;
pub mod state_service;
pub mod users;
pub mod workers;

use serde::Serialize;
use std::time::Duration;

/// The longest duration that a message may name, in seconds.
const MAX_SECONDS: f64 = 1e9;

/// A number of seconds as a duration; `None` if it is negative, too large or not a number.
fn duration_from_seconds(seconds: f64) -> Option<Duration> {
    (0.0..=MAX_SECONDS).contains(&seconds).then(|| Duration::from_secs_f64(seconds))
}

/// Encodes a message as JSON. This can't fail: no message has maps with keys that aren't text.
fn to_json(message: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(message).unwrap_or_default()
}
