//! `plankhead shards`: prints the shards as the records and the controllers have them, and
//! where these disagree.

use super::node_views;
use crate::clients::kv;
use crate::http::Client;
use crate::settings::NodeSettings;
use plankhead_core::protocol::{CallError, KvReply, KvRequest};
use plankhead_sharding::shard::{ShardId, PREFIX};
use plankhead_sharding::table::ShardTable;
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt::Write;
use thiserror::Error;

/// Why the shards can't be read.
#[derive(Debug, Error)]
pub enum ReadError {
    /// A call of the state service failed.
    #[error("the records of shards can't be read: {0:?}")]
    StateService(CallError),
    /// The state service's reply does not fit the request.
    #[error("the state service answered something else than a list")]
    UnexpectedReply,
}

/// What one controller says of a shard that it holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// The epoch under which it holds the shard.
    pub epoch: u64,
    /// Machines of the shard that report to it.
    pub machines: u64,
    /// Whether it answers workers of the shard.
    pub acts: bool,
}

/// The records, and what the controllers say of them.
#[derive(Debug, Default)]
pub struct Shards {
    /// The records of the state service.
    pub table: ShardTable,
    /// Records that can't be read.
    pub faults: Vec<String>,
    /// By controller and shard; `None`: the controller did not answer.
    pub claims: BTreeMap<String, Option<BTreeMap<String, Claim>>>,
    /// What moves wait for, by shard, as the leader says.
    pub waits_for: BTreeMap<String, String>,
    /// The node that says that it leads.
    pub leader: Option<String>,
}

/// Reads the records, and asks all controllers that the settings name.
pub async fn read(settings: &NodeSettings) -> Result<Shards, ReadError> {
    let mut shards = Shards::default();
    let client = Client::new(settings.state_service);
    let mut after = None;
    loop {
        let request = KvRequest::List { prefix: PREFIX.into(), after: after.clone() };
        let reply = kv::call(&client, request).await.map_err(ReadError::StateService)?;
        let KvReply::Page { rows, truncated, .. } = reply else { return Err(ReadError::UnexpectedReply) };
        for row in &rows {
            if let Err(fault) = shards.table.insert(&row.key, &row.value, row.mod_revision) {
                shards.faults.push(format!("{}: {fault}", row.key));
            }
        }
        after = rows.last().map(|row| row.key.clone());
        if !truncated {
            break;
        }
    }
    for (node, view) in node_views::fetch_all(settings).await {
        shards.add_view(&node, view.as_ref());
    }
    Ok(shards)
}

impl Shards {
    /// Takes in a controller's view; `None`: it did not answer.
    pub fn add_view(&mut self, node: &str, view: Option<&Value>) {
        let claims = view.map(|view| self.claims_of_view(node, view));
        self.claims.insert(node.into(), claims);
    }

    fn claims_of_view(&mut self, node: &str, view: &Value) -> BTreeMap<String, Claim> {
        let mut claims = BTreeMap::new();
        let is_leader = !view["leader"].is_null();
        if is_leader {
            self.leader = Some(node.to_owned());
        }
        let led = view["leader"]["sharding"]["shards"].as_array();
        for row in led.into_iter().flatten() {
            if let (Some(shard), Some(waits_for)) = (row["shard"].as_str(), row["waitsFor"].as_str()) {
                self.waits_for.insert(shard.into(), waits_for.into());
            }
            if row["holder"].as_str() == Some(node) {
                claims.extend(parse_claim(row, true));
            }
        }
        // What a leader has as a holder is of the time before it led.
        let held = view["sharding"]["holder"]["shards"].as_array().filter(|_| !is_leader);
        for row in held.into_iter().flatten() {
            claims.extend(parse_claim(row, row["acts"].as_bool().unwrap_or_default()));
        }
        claims
    }

    /// Where records and controllers disagree, a line each.
    pub fn disagreements(&self) -> Vec<String> {
        let mut lines = self.faults.clone();
        for (shard, known) in self.table.iter() {
            lines.extend(self.record_disagreement(&shard.to_string(), &known.record.holder, known.epoch()));
        }
        for (node, claims) in &self.claims {
            for (shard, claim) in claims.iter().flatten().filter(|(_, claim)| claim.acts) {
                lines.extend(self.claim_disagreement(node, shard, claim.epoch));
            }
        }
        lines
    }

    /// Whether the controller that a record names knows what the record says.
    fn record_disagreement(&self, shard: &str, holder: &str, stored: u64) -> Option<String> {
        let claims = match self.claims.get(holder) {
            None => return Some(format!("{shard}: {holder} holds it, whom the settings do not name")),
            Some(None) => return Some(format!("{shard}: {holder} holds it and does not answer")),
            Some(Some(claims)) => claims,
        };
        match claims.get(shard) {
            None => Some(format!("{shard}: {holder} does not know that it holds it")),
            Some(claim) if claim.epoch != stored => {
                let own = claim.epoch;
                Some(format!("{shard}: {holder} holds it under {own}, its record says {stored}"))
            }
            Some(claim) if !claim.acts => Some(format!("{shard}: {holder} holds it and does not act for it")),
            Some(_) => None,
        }
    }

    /// Whether a controller acts for a shard whose record names another one.
    fn claim_disagreement(&self, node: &str, shard: &str, epoch: u64) -> Option<String> {
        let holder = self.holder(shard);
        if holder == Some(node) {
            return None;
        }
        let holder = holder.unwrap_or("nobody");
        Some(format!("{shard}: {node} acts for it under {epoch}, its record names {holder}"))
    }

    fn holder(&self, shard: &str) -> Option<&str> {
        let id = ShardId::from_key(&format!("{PREFIX}{shard}")).ok()?;
        self.table.get(&id).map(|known| known.record.holder.as_str())
    }

    /// The table as people read it.
    pub fn print(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        _ = writeln!(text, "leader: {}", self.leader.as_deref().unwrap_or("none answers"));
        _ = writeln!(text, "{:<24} {:<16} {:>10} {:>8}  state", "shard", "holder", "epoch", "machines");
        for (shard, known) in self.table.iter() {
            let shard = shard.to_string();
            let holder = &known.record.holder;
            let claim = self.claims.get(holder).and_then(|claims| claims.as_ref()?.get(&shard));
            let machines = claim.map_or("?".to_owned(), |claim| claim.machines.to_string());
            let state = match (&known.record.moving, self.waits_for.get(&shard)) {
                (Some(moving), Some(waits_for)) => format!("goes to {}, waits for {waits_for}", moving.to),
                (Some(moving), None) => format!("goes to {}", moving.to),
                (None, Some(waits_for)) => format!("waits for {waits_for}"),
                (None, None) => "held".to_owned(),
            };
            _ = writeln!(text, "{shard:<24} {holder:<16} {:>10} {machines:>8}  {state}", known.epoch());
        }
        for line in self.disagreements() {
            _ = writeln!(text, "disagreement: {line}");
        }
        text
    }
}

/// Reads a row of a controller's view: the shard, and what the controller says of it.
fn parse_claim(row: &Value, acts: bool) -> Option<(String, Claim)> {
    let shard = row["shard"].as_str()?.to_owned();
    let machines = row["machines"].as_u64().unwrap_or_default();
    Some((shard, Claim { epoch: row["epoch"].as_u64()?, machines, acts }))
}
