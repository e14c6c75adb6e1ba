//! Sharding on one node: the shard records, the holder role while the node does not lead, and the
//! messages between the leader and the holders.

use super::Node;
use crate::calls::{HolderCall, KeyWatchCall};
use crate::effects::StepTime;
use crate::holder::{Holder, HolderEvidence, ShardEpoch};
use crate::leadership::LeaderId;
use crate::protocol::{CallError, CommandReply, Heartbeat, KvReply, LogLevel};
use crate::settings::Settings;
use crate::shards::messages::{Delivery, ShardMessage, ShardMessageError};
use crate::shards::records::RecordWatch;
use std::sync::Arc;
use std::time::Duration;

/// The maximum age of the shard records. Older ones may no longer show which node holds a shard.
const MAX_RECORDS_AGE: Duration = Duration::from_secs(5);
/// How long this node's calls to the state service must have been failing before
/// [`HolderEvidence::kv_failing`] is set.
const KV_FAILING_AFTER: Duration = Duration::from_secs(1);
/// How long after a change of leader the records of earlier terms are still used to route workers.
const FORMER_TERM_TIMEOUT: Duration = Duration::from_secs(15);

/// The node that answers a heartbeat received by a node that does not lead.
#[derive(Debug)]
pub(super) enum HolderRoute {
    /// This node, as the holder of the machine's shard.
    Own(ShardEpoch),
    /// Another node, as the holder of the machine's shard.
    Other { host: String, epoch: u64 },
    /// The leader, because no node is known to hold the shard.
    Leader,
}

/// The state of a node that exists only if sharding is enabled.
#[derive(Debug)]
pub(super) struct Sharding {
    pub records: RecordWatch,
    pub holder: Holder,
    /// The number of shard messages that could not be decoded.
    malformed_messages: u64,
    term: KnownTerm,
}

/// The latest leader term known to this node.
#[derive(Debug, Default)]
struct KnownTerm {
    /// The leader's fencing token, or 0 if no leader is known.
    token: u64,
    known_since: Duration,
}

impl Sharding {
    pub fn new(settings: Arc<Settings>) -> Self {
        let holder = Holder::new(settings);
        Self { records: RecordWatch::default(), holder, malformed_messages: 0, term: KnownTerm::default() }
    }
}

impl Node {
    pub(super) fn holder_evidence(&self, now: Duration) -> HolderEvidence {
        HolderEvidence {
            records_synced_at: self.sharding.as_ref().and_then(|sharding| sharding.records.synced_at()),
            kv_failing: self.kv_health.is_failing_for_longer_than(KV_FAILING_AFTER, now),
            cpu_starved: self.is_cpu_starved(),
        }
    }

    /// Determines which node answers a heartbeat: the holder of the machine's shard according to the
    /// shard records, or the leader if no valid record shows a holder. The age of the records matters
    /// only if another node is the holder; [`Holder::handle_heartbeat`] checks it for this node.
    pub(super) fn holder_route(&self, heartbeat: &Heartbeat, now: Duration) -> HolderRoute {
        let found = self.sharding.as_ref().and_then(|sharding| {
            let table = &sharding.records.table;
            let shard = table.shard_of(&heartbeat.zone, &heartbeat.machine)?;
            let known = table.get(&shard)?;
            // If the worker knows a later epoch, the record known here is outdated: it has been
            // superseded, and this node may not have read its successor yet.
            (known.epoch() >= heartbeat.token).then_some((sharding, shard, known))
        });
        let Some((sharding, shard, known)) = found else { return HolderRoute::Leader };
        if known.record.holder == self.settings.host {
            let epoch = sharding.holder.epoch(&shard, now);
            return epoch.map_or(HolderRoute::Leader, |epoch| HolderRoute::Own(ShardEpoch { shard, epoch }));
        }
        let term = &sharding.term;
        let is_current =
            known.record.term >= term.token || now.saturating_sub(term.known_since) < FORMER_TERM_TIMEOUT;
        let records_stale =
            sharding.records.synced_at().is_none_or(|at| now.saturating_sub(at) > MAX_RECORDS_AGE);
        if !is_current || records_stale {
            return HolderRoute::Leader;
        }
        HolderRoute::Other { host: known.record.holder.clone(), epoch: known.epoch() }
    }

    /// Whether this node, as a holder, may miss that its shards were reassigned: its records are
    /// outdated or the state service fails, and all peers are silent.
    pub(super) fn is_holder_disconnected(&self, evidence: HolderEvidence, now: Duration) -> bool {
        let records_stale =
            evidence.records_synced_at.is_none_or(|at| now.saturating_sub(at) > MAX_RECORDS_AGE);
        (records_stale || evidence.kv_failing) && !self.peers.any_alive(now)
    }

    pub(super) fn tick_sharding(&mut self, times: StepTime) {
        let now = times.now;
        let evidence = self.holder_evidence(now);
        let leader = match &self.leader {
            Some(leader) => Some(LeaderId { token: leader.token, host: self.settings.host.clone() }),
            None => self.known_leader(now, 0),
        };
        let Some(sharding) = &mut self.sharding else { return };
        sharding.records.tick(now, &mut self.effects);
        if let Some(leader) = leader.as_ref().filter(|leader| leader.token > sharding.term.token) {
            sharding.term = KnownTerm { token: leader.token, known_since: now };
        }
        sharding.holder.set_leader(leader, now);
        if self.leader.is_none() {
            sharding.holder.tick(times, evidence, &mut self.effects);
        }
    }

    pub(super) fn next_sharding_due(&self) -> Option<Duration> {
        let sharding = self.sharding.as_ref()?;
        let holder = self.leader.is_none().then(|| sharding.holder.next_due());
        sharding.records.next_due().into_iter().chain(holder).min()
    }

    pub(super) fn handle_shard_records_reply(
        &mut self,
        now: Duration,
        step: KeyWatchCall,
        reply: Result<KvReply, CallError>,
    ) {
        let Some(sharding) = &mut self.sharding else { return };
        let changed = sharding.records.handle_reply(now, step, reply, &mut self.effects);
        let records = &sharding.records;
        if let Some(leader) = &mut self.leader {
            return leader.apply_shard_records(&records.table, records.synced_at(), now);
        }
        if changed {
            sharding.holder.apply_records(&records.table, &mut self.effects);
        }
    }

    pub(super) fn handle_holder_kv_reply(
        &mut self,
        times: StepTime,
        call: HolderCall,
        reply: Result<KvReply, CallError>,
    ) {
        let now = times.now;
        let evidence = self.holder_evidence(now);
        let (Some(sharding), HolderCall::WatchJobs(step)) = (&mut self.sharding, call) else { return };
        let (requests, effects) = (&mut self.requests, &mut self.effects);
        let update = sharding.holder.handle_kv_reply(now, step, reply, requests, evidence, effects);
        self.jobs_changed(times, update);
    }

    pub(super) fn handle_holder_command_reply(
        &mut self,
        now: Duration,
        call: HolderCall,
        reply: CommandReply,
    ) {
        let evidence = self.holder_evidence(now);
        let (Some(sharding), HolderCall::SendCommands { machine }) = (&mut self.sharding, call) else {
            return;
        };
        if self.leader.is_none() {
            sharding.holder.handle_command_reply(now, machine, reply, evidence, &mut self.effects);
        }
    }

    /// Handles a peer's shard message, or the error for which it was rejected before it reached the
    /// core.
    pub(super) fn handle_shard_message(
        &mut self,
        times: StepTime,
        message: Result<ShardMessage, ShardMessageError>,
    ) -> Delivery {
        let evidence = self.holder_evidence(times.now);
        let Some(sharding) = &mut self.sharding else { return Delivery::Unsupported };
        match (message, &mut self.leader) {
            (Err(fault), _) => {
                sharding.malformed_messages += 1;
                self.effects.log(LogLevel::Info, format!("shard message rejected: reason=\"{fault}\""));
                Delivery::Rejected
            }
            (Ok(ShardMessage::HolderStatus(status)), Some(leader)) => {
                leader.handle_holder_status(times, *status, &mut self.effects)
            }
            (Ok(ShardMessage::LeaderCommands(commands)), None)
                if self.settings.peers.contains(&commands.host) =>
            {
                let accepted =
                    sharding.holder.handle_leader_commands(times.now, *commands, evidence, &mut self.effects);
                if accepted {
                    Delivery::Accepted
                } else {
                    Delivery::Rejected
                }
            }
            _ => Delivery::Rejected,
        }
    }

    /// Passes the shard records and machines known to this node as a holder to its new leader role.
    pub(super) fn pass_holder_state_to_leader(&mut self, times: StepTime) {
        let (Some(sharding), Some(leader)) = (&mut self.sharding, &mut self.leader) else { return };
        let records = &sharding.records;
        leader.apply_shard_records(&records.table, records.synced_at(), times.now);
        for machine in sharding.holder.machines() {
            leader.take_over_machine(times, machine, &mut self.effects);
        }
    }

    /// Resumes the holder role after a term as the leader, for the shards that the records assign to
    /// this node.
    pub(super) fn resume_holder_role(&mut self) {
        if let Some(sharding) = &mut self.sharding {
            sharding.holder.resume(&sharding.records.table, &mut self.effects);
        }
    }

    pub(super) fn sharding_view(&self, now: Duration) -> serde_json::Value {
        let Some(sharding) = &self.sharding else { return serde_json::Value::Null };
        let records: Vec<serde_json::Value> = sharding
            .records
            .table
            .iter()
            .map(|(shard, known)| {
                serde_json::json!({"shard": shard.to_string(), "holder": known.record.holder,
                    "epoch": known.epoch(), "term": known.record.term,
                    "next": known.record.moving.as_ref().map(|moving| &moving.to)})
            })
            .collect();
        serde_json::json!({"records": records, "malformed": sharding.malformed_messages,
            "recordsSeenS": sharding.records.synced_at().map(|at| now.saturating_sub(at).as_secs_f64()),
            "holder": sharding.holder.view(now)})
    }
}
