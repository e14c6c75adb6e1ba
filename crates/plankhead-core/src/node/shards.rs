//! A node's part in divided machines: the records of shards, the holder's role while it
//! does not lead, and the messages between leader and holders.

use super::{Node, BEHIND};
use crate::calls::{CallPurpose, HolderCall, KeyWatchCall, LeaderCall};
use crate::effects::StepTime;
use crate::holder::{Holder, HolderEvidence};
use crate::leader::LeaderRoute;
use crate::protocol::{CallError, CallId, CommandReply, Heartbeat, KvReply, LogLevel, Response};
use crate::settings::Settings;
use crate::shards::messages::{Delivery, ShardMessage, ShardMessageError};
use crate::shards::records::RecordWatch;
use plankhead_sharding::shard::ShardId;
use std::sync::Arc;
use std::time::Duration;

/// A record that was not seen for so long says nothing of who holds a shard now.
const ADRIFT: Duration = Duration::from_secs(5);
/// The state service must have failed a node for this long before it says so.
const FAILING: Duration = Duration::from_secs(1);
/// How long records of a former leader's term tell where a worker should go.
const FORMER_TERM: Duration = Duration::from_secs(15);

/// Who answers a report at a node that does not lead.
#[derive(Debug)]
pub(super) enum HolderRoute {
    /// This node, for the shard and under the epoch.
    Own { shard: ShardId, epoch: u64 },
    /// The holder of the machine's shard.
    Other { host: String, epoch: u64 },
    /// Nobody is known to hold it: the leader.
    Leader,
}

/// What a node that divides machines has beside the rest.
#[derive(Debug)]
pub(super) struct Sharding {
    pub records: RecordWatch,
    pub holder: Holder,
    /// Messages that could not be read.
    malformed_messages: u64,
    /// The latest leader's token that this node knows, and since when.
    term: (u64, Duration),
}

impl Sharding {
    pub fn new(settings: Arc<Settings>) -> Self {
        let holder = Holder::new(settings);
        Self { records: RecordWatch::default(), holder, malformed_messages: 0, term: (0, Duration::ZERO) }
    }
}

impl Node {
    fn holder_evidence(&self, now: Duration) -> HolderEvidence {
        let records = self.sharding.as_ref().and_then(|sharding| sharding.records.synced_at());
        let failing = self.kv_failing_since.is_some_and(|since| now.saturating_sub(since) > FAILING);
        HolderEvidence {
            records_synced_at: records,
            kv_failing: failing,
            cpu_starved: self.timer_lag > BEHIND,
        }
    }

    /// Where the table sends a report of this machine.
    pub(super) fn holder_route(&self, heartbeat: &Heartbeat, now: Duration) -> HolderRoute {
        let found = self.sharding.as_ref().and_then(|sharding| {
            let table = &sharding.records.table;
            let shard = table.shard_of(&heartbeat.zone, &heartbeat.machine)?;
            let known = table.get(&shard)?;
            // The worker knows a later one: the record is not read yet, or is over.
            (known.epoch() >= heartbeat.token).then_some((sharding, shard, known))
        });
        let Some((sharding, shard, known)) = found else { return HolderRoute::Leader };
        if known.record.holder == self.settings.host {
            let epoch = sharding.holder.epoch(&shard, now);
            return epoch.map_or(HolderRoute::Leader, |epoch| HolderRoute::Own { shard, epoch });
        }
        let (term, since) = sharding.term;
        let current = known.record.term >= term || now.saturating_sub(since) < FORMER_TERM;
        let is_cut_off = sharding.records.synced_at().is_none_or(|at| now.saturating_sub(at) > ADRIFT);
        if !current || is_cut_off {
            return HolderRoute::Leader;
        }
        HolderRoute::Other { host: known.record.holder.clone(), epoch: known.epoch() }
    }

    /// Answers a report as the holder of its shard.
    pub(super) fn handle_heartbeat_as_holder(
        &mut self,
        times: StepTime,
        heartbeat: &Heartbeat,
        of: (ShardId, u64),
        relayed: bool,
    ) -> Response {
        let now = times.now;
        let evidence = self.holder_evidence(now);
        let blind = evidence.records_synced_at.is_none_or(|at| now.saturating_sub(at) > ADRIFT);
        let is_cut_off = (blind || evidence.kv_failing) && !self.hears_a_peer(now);
        let Some(sharding) = &mut self.sharding else { return Response::Redirect { leader: None } };
        sharding.holder.handle_heartbeat(times, heartbeat, of, (relayed, is_cut_off), evidence)
    }

    /// Whether a report should wait: whoever is to answer it here still reads.
    pub(super) fn must_defer(&self, heartbeat: &Heartbeat, now: Duration) -> bool {
        if let Some(leader) = &self.leader {
            return leader.is_loading() && matches!(leader.route(heartbeat), LeaderRoute::Own);
        }
        let reads = self.sharding.as_ref().is_some_and(|sharding| sharding.holder.is_loading());
        reads && matches!(self.holder_route(heartbeat, now), HolderRoute::Own { .. })
    }

    pub(super) fn tick_sharding(&mut self, times: StepTime) {
        let now = times.now;
        let evidence = self.holder_evidence(now);
        let leader = match &self.leader {
            Some(leader) => Some((self.settings.host.clone(), leader.token)),
            None => self.known_leader(now, 0).map(|(token, host)| (host, token)),
        };
        let Some(sharding) = &mut self.sharding else { return };
        sharding.records.tick(now, &mut self.effects);
        if let Some((_, token)) = leader.as_ref().filter(|(_, token)| *token > sharding.term.0) {
            sharding.term = (*token, now);
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

    pub(super) fn shard_records_reply(
        &mut self,
        now: Duration,
        step: KeyWatchCall,
        reply: Result<KvReply, CallError>,
    ) {
        let Some(sharding) = &mut self.sharding else { return };
        let changed = sharding.records.reply(now, step, reply, &mut self.effects);
        let records = &sharding.records;
        if let Some(leader) = &mut self.leader {
            return leader.apply_shard_records(&records.table, records.synced_at(), now);
        }
        if changed {
            sharding.holder.apply_records(&records.table, &mut self.effects);
        }
    }

    pub(super) fn holder_kv_reply(
        &mut self,
        now: Duration,
        call: HolderCall,
        reply: Result<KvReply, CallError>,
    ) {
        let evidence = self.holder_evidence(now);
        let (Some(sharding), HolderCall::WatchJobs(step)) = (&mut self.sharding, call) else { return };
        sharding.holder.kv_reply(now, step, reply, &mut self.requests, evidence, &mut self.effects);
    }

    pub(super) fn holder_command_reply(&mut self, now: Duration, call: HolderCall, reply: CommandReply) {
        let evidence = self.holder_evidence(now);
        let (Some(sharding), HolderCall::SendCommands { machine: host, incarnation, starts }) =
            (&mut self.sharding, call)
        else {
            return;
        };
        if self.leader.is_none() {
            sharding.holder.command_reply(
                now,
                (host, incarnation, starts),
                reply,
                evidence,
                &mut self.effects,
            );
        }
    }

    /// A peer's message about shards.
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
                self.effects.log(LogLevel::Info, format!("a message about shards was refused: {fault}"));
                Delivery::Rejected
            }
            (Ok(ShardMessage::HolderStatus(heartbeat)), Some(leader)) => {
                leader.handle_holder_status(times, *heartbeat, &mut self.effects)
            }
            (Ok(ShardMessage::LeaderCommands(commands)), None)
                if self.settings.peers.contains(&commands.host) =>
            {
                let taken =
                    sharding.holder.handle_leader_commands(times.now, *commands, evidence, &mut self.effects);
                if taken {
                    Delivery::Accepted
                } else {
                    Delivery::Rejected
                }
            }
            _ => Delivery::Rejected,
        }
    }

    pub(super) fn shard_message_delivered(&mut self, now: Duration, call: CallId, delivery: Delivery) {
        match self.effects.calls_in_flight.remove(&call) {
            Some(CallPurpose::Holder(HolderCall::ReportStatus { leader, machines })) => {
                if let Some(sharding) = &mut self.sharding {
                    sharding.holder.status_delivered(now, leader, machines, delivery);
                }
            }
            Some(CallPurpose::Leader(token, LeaderCall::SendShardCommands { to, sent: told })) => {
                if let Some(leader) = self.leader.as_mut().filter(|leader| leader.token == token) {
                    leader.shard_commands_delivered(now, &to, told, delivery);
                }
            }
            _ => {}
        }
    }

    /// This node leads from now on: what it knew as a holder is the leader's.
    pub(super) fn start_leading_shards(&mut self, times: StepTime) {
        let (Some(sharding), Some(leader)) = (&mut self.sharding, &mut self.leader) else { return };
        let records = &sharding.records;
        leader.apply_shard_records(&records.table, records.synced_at(), times.now);
        for machine in sharding.holder.machines() {
            leader.take_over_machine(times, machine, &mut self.effects);
        }
    }

    /// This node leads no more: it holds what the records say.
    pub(super) fn resume_holding(&mut self) {
        if let Some(sharding) = &mut self.sharding {
            sharding.holder.apply_records(&sharding.records.table, &mut self.effects);
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
