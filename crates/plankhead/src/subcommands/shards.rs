//! `plankhead shards`: prints the shards according to the stored records and to the controllers, and where
//! the two disagree.

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

/// The reason why the shards can't be read.
#[derive(Debug, Error)]
pub enum ReadError {
    /// A call to the state service failed.
    #[error("can't read the shard records: {0:?}")]
    StateService(CallError),
    /// The state service's reply does not match the request.
    #[error("unexpected reply from the state service")]
    UnexpectedReply,
}

/// One controller's view of a shard that it holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// The epoch under which the controller holds the shard.
    pub epoch: u64,
    /// The number of the shard's machines according to the controller.
    pub machines: u64,
    /// Whether the controller answers the workers of the shard.
    pub acts: bool,
}

/// The records of the shards, and the controllers' views of them.
#[derive(Debug, Default)]
pub struct Shards {
    /// The shard records in the state service.
    pub table: ShardTable,
    /// The errors of records that can't be decoded, with their keys.
    pub faults: Vec<String>,
    /// The claims by controller and shard, with `None` for a controller that did not answer.
    pub claims: BTreeMap<String, Option<BTreeMap<String, Claim>>>,
    /// What each shard waits for according to the leader, by shard.
    pub waits_for: BTreeMap<String, String>,
    /// The node that leads according to its own view.
    pub leader: Option<String>,
}

/// Reads the shard records and fetches the views of all controllers in the settings.
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
    /// Adds a controller's view, or `None` if the controller did not answer.
    pub fn add_view(&mut self, node: &str, view: Option<&Value>) {
        let claims = view.map(|view| self.parse_claims(node, view));
        self.claims.insert(node.into(), claims);
    }

    fn parse_claims(&mut self, node: &str, view: &Value) -> BTreeMap<String, Claim> {
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
        // A node does not act as a holder while it leads, so its holder state is outdated.
        let held = view["sharding"]["holder"]["shards"].as_array().filter(|_| !is_leader);
        for row in held.into_iter().flatten() {
            claims.extend(parse_claim(row, row["acts"].as_bool().unwrap_or_default()));
        }
        claims
    }

    /// Returns one line for each disagreement between the records and the controllers.
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

    /// Checks whether the holder named in a shard's record has the same view of the shard.
    fn record_disagreement(&self, shard: &str, holder: &str, stored: u64) -> Option<String> {
        let claims = match self.claims.get(holder) {
            None => return Some(format!("{shard}: its record names {holder}, which is not in the settings")),
            Some(None) => return Some(format!("{shard}: its record names {holder}, which does not answer")),
            Some(Some(claims)) => claims,
        };
        match claims.get(shard) {
            None => {
                Some(format!("{shard}: its record names {holder}, which does not hold it in its own view"))
            }
            Some(claim) if claim.epoch != stored => {
                let claimed = claim.epoch;
                Some(format!(
                    "{shard}: {holder} holds it under epoch {claimed}, its record has epoch {stored}"
                ))
            }
            Some(claim) if !claim.acts => {
                Some(format!("{shard}: its record names {holder}, which does not act for it"))
            }
            Some(_) => None,
        }
    }

    /// Checks whether a controller acts for a shard although the shard's record names another holder.
    fn claim_disagreement(&self, node: &str, shard: &str, epoch: u64) -> Option<String> {
        let holder = self.holder(shard);
        if holder == Some(node) {
            return None;
        }
        let holder = holder.unwrap_or("nobody");
        Some(format!("{shard}: {node} acts for it under epoch {epoch}, its record names {holder}"))
    }

    fn holder(&self, shard: &str) -> Option<&str> {
        let id = ShardId::from_key(&format!("{PREFIX}{shard}")).ok()?;
        self.table.get(&id).map(|known| known.record.holder.as_str())
    }

    /// Formats the shards as a table, followed by the disagreements.
    pub fn format_table(&self) -> String {
        let mut text = String::new();
        // Writing to a string can't fail.
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

/// Parses one row of a controller's view into the shard's name and the claim.
fn parse_claim(row: &Value, acts: bool) -> Option<(String, Claim)> {
    let shard = row["shard"].as_str()?.to_owned();
    let machines = row["machines"].as_u64().unwrap_or_default();
    Some((shard, Claim { epoch: row["epoch"].as_u64()?, machines, acts }))
}
