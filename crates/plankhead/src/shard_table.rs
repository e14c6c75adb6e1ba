//! The subcommand that prints the shards as the records and the controllers have them, and
//! where these disagree.

use crate::config::Config;
use crate::http::Client;
use crate::state;
use crate::views::ask_views;
use plankhead_core::protocol::{KvReply, KvRequest};
use plankhead_sharding::shard::{ShardId, PREFIX};
use plankhead_sharding::table::ShardTable;
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt::Write;
use thiserror::Error;

#[derive(Debug, Error)]
pub enum TableError {
    #[error("the records of shards can't be read: {0:?}")]
    State(plankhead_core::protocol::CallError),
    #[error("the state service answered something else than a list")]
    Response,
}

/// What one controller says of a shard that it holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    pub epoch: u64,
    pub machines: u64,
    /// Whether it answers workers of the shard.
    pub acts: bool,
}

/// The records, and by controller what it says; `None`: it did not answer.
#[derive(Debug, Default)]
pub struct Shards {
    pub table: ShardTable,
    pub faults: Vec<String>,
    pub claims: BTreeMap<String, Option<BTreeMap<String, Claim>>>,
    /// What the leader says of moves that wait.
    pub waits: BTreeMap<String, String>,
    pub leader: Option<String>,
}

/// Reads the records, and asks all controllers.
pub async fn read(config: &Config) -> Result<Shards, TableError> {
    let mut shards = Shards::default();
    let client = Client::new(config.state);
    let mut after = None;
    loop {
        let op = KvRequest::List { prefix: PREFIX.into(), after: after.clone() };
        let reply = state::call(&client, op).await.map_err(TableError::State)?;
        let KvReply::Page { rows, truncated, .. } = reply else { return Err(TableError::Response) };
        for row in &rows {
            if let Err(fault) = shards.table.write(&row.key, &row.value, row.mod_revision) {
                shards.faults.push(format!("{}: {fault}", row.key));
            }
        }
        after = rows.last().map(|row| row.key.clone());
        if !truncated {
            break;
        }
    }
    for (host, view) in ask_views(config).await {
        shards.take_view(&host, view.as_ref());
    }
    Ok(shards)
}

impl Shards {
    /// Takes in a controller's view.
    pub fn take_view(&mut self, host: &str, view: Option<&Value>) {
        let Some(view) = view else {
            self.claims.insert(host.into(), None);
            return;
        };
        let mut claims = BTreeMap::new();
        let led = &view["leader"]["sharding"]["shards"];
        if !view["leader"].is_null() {
            self.leader = Some(host.to_owned());
        }
        for row in led.as_array().into_iter().flatten() {
            if let (Some(shard), Some(waits)) = (row["shard"].as_str(), row["waitsFor"].as_str()) {
                self.waits.insert(shard.into(), waits.into());
            }
            if row["holder"].as_str() == Some(host) {
                claims.extend(claim(row, true));
            }
        }
        // What a leader has as a holder is of the time before it led.
        let held = view["sharding"]["holder"]["shards"].as_array().filter(|_| view["leader"].is_null());
        for row in held.into_iter().flatten() {
            claims.extend(claim(row, row["acts"].as_bool().unwrap_or_default()));
        }
        self.claims.insert(host.into(), Some(claims));
    }

    /// Where records and controllers disagree, a line each.
    pub fn disagreements(&self) -> Vec<String> {
        let mut found = self.faults.clone();
        for (shard, known) in self.table.iter() {
            let holder = &known.record.holder;
            let claim = match self.claims.get(holder) {
                None => {
                    found.push(format!("{shard}: {holder} holds it, whom the settings do not name"));
                    continue;
                }
                Some(None) => {
                    found.push(format!("{shard}: {holder} holds it and does not answer"));
                    continue;
                }
                Some(Some(claims)) => claims.get(&shard.to_string()),
            };
            match claim {
                None => found.push(format!("{shard}: {holder} does not know that it holds it")),
                Some(claim) if claim.epoch != known.epoch() => {
                    let (own, stored) = (claim.epoch, known.epoch());
                    found.push(format!("{shard}: {holder} holds it under {own}, its record says {stored}"));
                }
                Some(claim) if !claim.acts => {
                    found.push(format!("{shard}: {holder} holds it and does not act for it"));
                }
                Some(_) => {}
            }
        }
        for (host, claims) in &self.claims {
            for (shard, claim) in claims.iter().flatten().filter(|(_, claim)| claim.acts) {
                let holder = self.holder(shard);
                if holder != Some(host) {
                    let other = holder.map_or("nobody", String::as_str);
                    let epoch = claim.epoch;
                    found
                        .push(format!("{shard}: {host} acts for it under {epoch}, its record names {other}"));
                }
            }
        }
        found
    }

    fn holder(&self, shard: &str) -> Option<&String> {
        let id = ShardId::from_key(&format!("{PREFIX}{shard}")).ok()?;
        self.table.get(&id).map(|known| &known.record.holder)
    }

    /// The table that is printed.
    pub fn print(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = writeln!(text, "leader: {}", self.leader.as_deref().unwrap_or("none answers"));
        let _ = writeln!(text, "{:<24} {:<16} {:>10} {:>8}  state", "shard", "holder", "epoch", "machines");
        for (shard, known) in self.table.iter() {
            let holder = &known.record.holder;
            let claim = self.claims.get(holder).and_then(|claims| claims.as_ref()?.get(&shard.to_string()));
            let machines = claim.map_or("?".to_owned(), |claim| claim.machines.to_string());
            let state = match (&known.record.moving, self.waits.get(&shard.to_string())) {
                (Some(moving), Some(waits)) => format!("goes to {}, waits for {waits}", moving.to),
                (Some(moving), None) => format!("goes to {}", moving.to),
                (None, Some(waits)) => format!("waits for {waits}"),
                (None, None) => "held".to_owned(),
            };
            let (shard, epoch) = (shard.to_string(), known.epoch());
            let _ = writeln!(text, "{shard:<24} {holder:<16} {epoch:>10} {machines:>8}  {state}");
        }
        for line in self.disagreements() {
            let _ = writeln!(text, "disagreement: {line}");
        }
        text
    }
}

fn claim(row: &Value, acts: bool) -> Option<(String, Claim)> {
    let claim =
        Claim { epoch: row["epoch"].as_u64()?, machines: row["machines"].as_u64().unwrap_or_default(), acts };
    Some((row["shard"].as_str()?.to_owned(), claim))
}
