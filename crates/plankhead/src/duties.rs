//! The subcommand that lists open duties: it reads the state service alone, so that it
//! also tells what a leader left that is gone.

use crate::http::Client;
use crate::state;
use jiff::tz::TimeZone;
use jiff::Timestamp;
use plankhead_core::leadership::election::{self, LeaderRecord};
use plankhead_core::protocol::{CallError, KeyValue, KvReply, KvRequest};
use plankhead_fencing::intent::Intent;
use plankhead_fencing::record::{self, RecordError};
use std::fmt::Write;
use std::net::SocketAddr;
use thiserror::Error;

/// Pages of keys read at the most.
const MAX_PAGES: usize = 1_000;

#[derive(Debug, Error)]
pub enum ListError {
    #[error("there is no time zone {0}")]
    TimeZone(String),
    #[error("the state service can't be read: {0:?}")]
    State(CallError),
    #[error("the state service gave another answer than was asked for")]
    Reply,
}

/// Who leads.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Leadership {
    pub host: String,
    pub token: u64,
}

/// What the state service has of duties.
#[derive(Debug, Default)]
pub struct Listing {
    pub leader: Option<Leadership>,
    pub duties: Vec<Intent>,
    pub faults: Vec<RecordError>,
}

/// Reads the duties and prints them as a table.
pub async fn list(address: SocketAddr, time_zone: &str) -> Result<String, ListError> {
    let zone = TimeZone::get(time_zone).map_err(|_| ListError::TimeZone(time_zone.into()))?;
    let listing = read(&Client::new(address)).await?;
    Ok(table(&listing, Timestamp::now(), &zone))
}

async fn read(client: &Client) -> Result<Listing, ListError> {
    let mut listing = Listing::default();
    let mut after = None;
    for _ in 0..MAX_PAGES {
        let op = KvRequest::List { prefix: record::PREFIX.into(), after };
        let reply = state::call(client, op).await.map_err(ListError::State)?;
        let KvReply::Page { rows, truncated, .. } = reply else { return Err(ListError::Reply) };
        for row in &rows {
            let (duties, faults) = record::decode(&row.key, &row.value);
            listing.duties.extend(duties);
            listing.faults.extend(faults);
        }
        after = rows.last().map(|row| row.key.clone());
        if !truncated {
            break;
        }
    }
    let op = KvRequest::Get { key: election::KEY.into() };
    match state::call(client, op).await.map_err(ListError::State)? {
        KvReply::Value(row) => listing.leader = row.as_ref().and_then(leadership),
        _ => return Err(ListError::Reply),
    }
    Ok(listing)
}

fn leadership(row: &KeyValue) -> Option<Leadership> {
    let holder: LeaderRecord = serde_json::from_str(&row.value).ok()?;
    Some(Leadership { host: holder.host, token: row.mod_revision })
}

/// What a duty waits for.
fn waits_for(duty: &Intent, leader: Option<&Leadership>) -> &'static str {
    match leader {
        None => "a leader, who will adopt it",
        Some(leader) if leader.token == duty.token => "the cloud's answer, or its record's removal",
        Some(leader) if leader.token > duty.token => "the leader, who has adopted it or will",
        Some(_) => "nobody: its holder is later than the leader",
    }
}

/// The listing as people read it.
pub fn table(listing: &Listing, now: Timestamp, zone: &TimeZone) -> String {
    let mut text = String::new();
    match &listing.leader {
        Some(leader) => _ = writeln!(text, "{} leads under token {}", leader.host, leader.token),
        None => _ = writeln!(text, "nobody leads"),
    }
    if listing.duties.is_empty() {
        text.push_str("no duty is open\n");
    } else {
        _ = writeln!(
            text,
            "{:<24} {:>10} {:<8} {:<32} {:<20} {:>8}  waits for",
            "duty", "holder", "kind", "subject", "since", "age"
        );
    }
    for duty in &listing.duties {
        let since = Timestamp::from_millisecond(duty.intended_ms as i64).unwrap_or(Timestamp::UNIX_EPOCH);
        let age = now.duration_since(since).as_secs().max(0);
        let local = since.to_zoned_datetime(zone.clone()).strftime("%Y-%m-%d %H:%M:%S");
        _ = writeln!(
            text,
            "{:<24} {:>10} {:<8} {:<32} {local:<20} {age:>6} s  {}",
            duty.key.to_string(),
            duty.token,
            duty.action.kind(),
            duty.action.subject(),
            waits_for(duty, listing.leader.as_ref()),
        );
    }
    for fault in &listing.faults {
        _ = writeln!(text, "left alone: {fault}");
    }
    text
}
