//! `plankhead intents`: lists the open intents. It reads only the state service, so it also lists the
//! intents of a leader that has failed.

use crate::clients::kv;
use crate::http::Client;
use jiff::tz::TimeZone;
use jiff::Timestamp;
use plankhead_core::leadership::election::{self, LeaderRecord};
use plankhead_core::protocol::{CallError, KeyValue, KvReply, KvRequest};
use plankhead_fencing::intent::Intent;
use plankhead_fencing::record::{self, RecordError};
use std::fmt::Write;
use std::net::SocketAddr;
use thiserror::Error;

/// The largest number of pages of keys that are read.
const MAX_PAGES: usize = 1_000;

/// The reason why the intents can't be listed.
#[derive(Debug, Error)]
pub enum ListError {
    /// The time zone's name is unknown.
    #[error("unknown time zone: {0}")]
    UnknownTimeZone(String),
    /// A call to the state service failed.
    #[error("can't read the state service: {0:?}")]
    StateService(CallError),
    /// The state service's reply does not match the request.
    #[error("unexpected reply from the state service")]
    UnexpectedReply,
}

/// The current leader and its fencing token.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Leadership {
    /// The leader's host name.
    pub host: String,
    /// The leader's fencing token.
    pub token: u64,
}

/// The intents in the state service, and the leader that must complete them.
#[derive(Debug, Default)]
pub struct Listing {
    /// The leader, or `None` if no node holds the leader's lease.
    pub leader: Option<Leadership>,
    /// The open intents, in the order of the keys of their records.
    pub intents: Vec<Intent>,
    /// The errors of records that can't be decoded.
    pub faults: Vec<RecordError>,
}

/// Reads the intents and formats them as a table, with times in the given time zone.
pub async fn list(state_service: SocketAddr, time_zone: &str) -> Result<String, ListError> {
    let time_zone = TimeZone::get(time_zone).map_err(|_| ListError::UnknownTimeZone(time_zone.into()))?;
    let client = Client::new(state_service);
    let mut listing = Listing::default();
    read_intents(&client, &mut listing).await?;
    listing.leader = read_leader(&client).await?;
    Ok(format_table(&listing, Timestamp::now(), &time_zone))
}

async fn read_intents(client: &Client, listing: &mut Listing) -> Result<(), ListError> {
    let mut after = None;
    for _ in 0..MAX_PAGES {
        let request = KvRequest::List { prefix: record::PREFIX.into(), after };
        let reply = kv::call(client, request).await.map_err(ListError::StateService)?;
        let KvReply::Page { rows, truncated, .. } = reply else { return Err(ListError::UnexpectedReply) };
        for row in &rows {
            let (intents, faults) = record::decode(&row.key, &row.value);
            listing.intents.extend(intents);
            listing.faults.extend(faults);
        }
        after = rows.last().map(|row| row.key.clone());
        if !truncated {
            break;
        }
    }
    Ok(())
}

async fn read_leader(client: &Client) -> Result<Option<Leadership>, ListError> {
    let request = KvRequest::Get { key: election::KEY.into() };
    match kv::call(client, request).await.map_err(ListError::StateService)? {
        KvReply::Value(row) => Ok(row.as_ref().and_then(parse_leader)),
        _ => Err(ListError::UnexpectedReply),
    }
}

fn parse_leader(row: &KeyValue) -> Option<Leadership> {
    let holder: LeaderRecord = serde_json::from_str(&row.value).ok()?;
    Some(Leadership { host: holder.host, token: row.mod_revision })
}

/// Describes what an intent waits for.
fn waits_for(intent: &Intent, leader: Option<&Leadership>) -> &'static str {
    match leader {
        None => "a new leader, which adopts it",
        Some(leader) if leader.token == intent.token => "the cloud's answer or the removal of its record",
        Some(leader) if leader.token > intent.token => "the leader, which has adopted it or will adopt it",
        Some(_) => "nothing: its token is newer than the leader's",
    }
}

/// Formats the listing as a table.
pub fn format_table(listing: &Listing, now: Timestamp, time_zone: &TimeZone) -> String {
    let mut text = String::new();
    // Writing to a string can't fail.
    match &listing.leader {
        Some(leader) => _ = writeln!(text, "{} leads under token {}", leader.host, leader.token),
        None => _ = writeln!(text, "nobody leads"),
    }
    if listing.intents.is_empty() {
        text.push_str("no intent is open\n");
    } else {
        _ = writeln!(
            text,
            "{:<24} {:>10} {:<8} {:<32} {:<20} {:>8}  waits for",
            "intent", "token", "kind", "subject", "since", "age"
        );
    }
    for intent in &listing.intents {
        let since = Timestamp::from_millisecond(intent.intended_ms as i64).unwrap_or(Timestamp::UNIX_EPOCH);
        let age = now.duration_since(since).as_secs().max(0);
        let local = since.to_zoned_datetime(time_zone.clone()).strftime("%Y-%m-%d %H:%M:%S");
        _ = writeln!(
            text,
            "{:<24} {:>10} {:<8} {:<32} {local:<20} {age:>6} s  {}",
            intent.key.to_string(),
            intent.token,
            intent.action.kind(),
            intent.action.subject(),
            waits_for(intent, listing.leader.as_ref()),
        );
    }
    for fault in &listing.faults {
        _ = writeln!(text, "record skipped: {fault}");
    }
    text
}
