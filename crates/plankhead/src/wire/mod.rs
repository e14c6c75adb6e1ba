//! The messages of the published protocol, and their conversion to and from the types of the core.
//!
//! Only this module uses the field names of the protocol, mostly in `serde` attributes. The order of fields and
//! the texts of errors are part of the protocol and must not change.

pub mod cloud;
pub mod responses;
pub mod state_service;
pub mod users;
pub mod workers;

use serde::Serialize;
use std::time::Duration;

/// The longest duration that is accepted in a message, in seconds.
const MAX_SECONDS: f64 = 1e9;

/// Converts a number of seconds into a duration. Returns `None` if it is negative, too large or not a number.
fn duration_from_seconds(seconds: f64) -> Option<Duration> {
    (0.0..=MAX_SECONDS).contains(&seconds).then(|| Duration::from_secs_f64(seconds))
}

/// Encodes a message as JSON. This can't fail, since no message contains a map with keys other than strings.
fn to_json(message: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(message).unwrap_or_default()
}
