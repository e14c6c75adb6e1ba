//! A node's part in divided machines: the records of shards, the holder's role while it
//! does not lead, and the messages between leader and holders.

use super::*;
use crate::holder::{Holder, HolderCall, HolderEvidence};
use crate::key_watch;
use crate::leader::LeaderRoute;
use crate::protocol::CommandReply;
use crate::shard_messages::{Delivery, ShardMessage, ShardMessageError};
use crate::shard_records::RecordWatch;
use plankhead_sharding::shard::ShardId;

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
    malformed: u64,
    /// The latest leader's token that this node knows, and since when.
    term: (u64, Duration),
}

impl Sharding {
    pub fn new(settings: Arc<Settings>) -> Self {
        let holder = Holder::new(settings);
        Self { records: RecordWatch::default(), holder, malformed: 0, term: (0, Duration::ZERO) }
    }
}

impl Node {
    fn standing(&self, now: Duration) -> HolderEvidence {
        let records = self.sharding.as_ref().and_then(|sharding| sharding.records.seen());
        let failing = self.state_bad.is_some_and(|since| now.saturating_sub(since) > FAILING);
        HolderEvidence { records, failing, behind: self.lag > BEHIND }
    }

    /// Where the table sends a report of this machine.
    pub(super) fn holder_route(&self, report: &Heartbeat, now: Duration) -> HolderRoute {
        let found = self.sharding.as_ref().and_then(|sharding| {
            let table = &sharding.records.table;
            let shard = table.shard_of(&report.zone, &report.machine)?;
            let known = table.get(&shard)?;
            // The worker knows a later one: the record is not read yet, or is over.
            (known.epoch() >= report.token).then_some((sharding, shard, known))
        });
        let Some((sharding, shard, known)) = found else { return HolderRoute::Leader };
        if known.record.holder == self.settings.host {
            let epoch = sharding.holder.epoch(&shard, now);
            return epoch.map_or(HolderRoute::Leader, |epoch| HolderRoute::Own { shard, epoch });
        }
        let (term, since) = sharding.term;
        let current = known.record.term >= term || now.saturating_sub(since) < FORMER_TERM;
        let adrift = sharding.records.seen().is_none_or(|at| now.saturating_sub(at) > ADRIFT);
        if !current || adrift {
            return HolderRoute::Leader;
        }
        HolderRoute::Other { host: known.record.holder.clone(), epoch: known.epoch() }
    }

    /// Answers a report as the holder of its shard.
    pub(super) fn beat_as_holder(
        &mut self,
        times: StepTime,
        report: &Heartbeat,
        of: (ShardId, u64),
        relayed: bool,
    ) -> Response {
        let now = times.now;
        let standing = self.standing(now);
        let blind = standing.records.is_none_or(|at| now.saturating_sub(at) > ADRIFT);
        let adrift = (blind || standing.failing) && !self.company(now);
        let Some(sharding) = &mut self.sharding else { return Response::Redirect { leader: None } };
        sharding.holder.beat(times, report, of, (relayed, adrift), standing)
    }

    /// Whether a report should wait: whoever is to answer it here still reads.
    pub(super) fn must_wait(&self, report: &Heartbeat, now: Duration) -> bool {
        if let Some(leader) = &self.leader {
            return leader.is_loading() && matches!(leader.route(report), LeaderRoute::Own);
        }
        let reads = self.sharding.as_ref().is_some_and(|sharding| sharding.holder.reads());
        reads && matches!(self.holder_route(report, now), HolderRoute::Own { .. })
    }

    pub(super) fn tick_sharding(&mut self, times: StepTime) {
        let now = times.now;
        let standing = self.standing(now);
        let leader = match &self.leader {
            Some(leader) => Some((self.settings.host.clone(), leader.token)),
            None => self.foreman(now, 0).map(|(token, host)| (host, token)),
        };
        let Some(sharding) = &mut self.sharding else { return };
        sharding.records.tick(now, &mut self.out);
        if let Some((_, token)) = leader.as_ref().filter(|(_, token)| *token > sharding.term.0) {
            sharding.term = (*token, now);
        }
        sharding.holder.note_leader(leader, now);
        if self.leader.is_none() {
            sharding.holder.tick(times, standing, &mut self.out);
        }
    }

    pub(super) fn sharding_due(&self) -> Option<Duration> {
        let sharding = self.sharding.as_ref()?;
        let holder = self.leader.is_none().then(|| sharding.holder.next_due());
        sharding.records.next_due().into_iter().chain(holder).min()
    }

    pub(super) fn records_reply(
        &mut self,
        now: Duration,
        step: key_watch::Step,
        reply: Result<KvReply, CallError>,
    ) {
        let Some(sharding) = &mut self.sharding else { return };
        let changed = sharding.records.reply(now, step, reply, &mut self.out);
        let records = &sharding.records;
        if let Some(leader) = &mut self.leader {
            return leader.learn_records(&records.table, records.seen(), now);
        }
        if changed {
            sharding.holder.adopt(&records.table, &mut self.out);
        }
    }

    pub(super) fn holder_state_reply(
        &mut self,
        now: Duration,
        call: HolderCall,
        reply: Result<KvReply, CallError>,
    ) {
        let standing = self.standing(now);
        let (Some(sharding), HolderCall::WatchJobs(step)) = (&mut self.sharding, call) else { return };
        sharding.holder.state_reply(now, step, reply, &mut self.requests, standing, &mut self.out);
    }

    pub(super) fn holder_orders_reply(&mut self, now: Duration, call: HolderCall, reply: CommandReply) {
        let standing = self.standing(now);
        let (Some(sharding), HolderCall::SendCommands { host, shift, runs }) = (&mut self.sharding, call)
        else {
            return;
        };
        if self.leader.is_none() {
            sharding.holder.orders_reply(now, (host, shift, runs), reply, standing, &mut self.out);
        }
    }

    /// A peer's message about shards.
    pub(super) fn shard_message(
        &mut self,
        times: StepTime,
        message: Result<ShardMessage, ShardMessageError>,
    ) -> Delivery {
        let standing = self.standing(times.now);
        let Some(sharding) = &mut self.sharding else { return Delivery::Unsupported };
        match (message, &mut self.leader) {
            (Err(fault), _) => {
                sharding.malformed += 1;
                self.out.log(LogLevel::Info, format!("a message about shards was refused: {fault}"));
                Delivery::Rejected
            }
            (Ok(ShardMessage::HolderStatus(report)), Some(leader)) => {
                leader.holder_report(times, *report, &mut self.out)
            }
            (Ok(ShardMessage::LeaderCommands(orders)), None)
                if self.settings.peers.contains(&orders.host) =>
            {
                let taken = sharding.holder.leader_orders(times.now, *orders, standing, &mut self.out);
                if taken {
                    Delivery::Accepted
                } else {
                    Delivery::Rejected
                }
            }
            _ => Delivery::Rejected,
        }
    }

    pub(super) fn shard_told(&mut self, now: Duration, call: CallId, delivery: Delivery) {
        match self.out.calls.remove(&call) {
            Some(CallPurpose::Holder(HolderCall::ReportStatus { leader, machines })) => {
                if let Some(sharding) = &mut self.sharding {
                    sharding.holder.reported(now, leader, machines, delivery);
                }
            }
            Some(CallPurpose::Leader(token, LeaderCall::SendShardCommands { to, told })) => {
                if let Some(leader) = self.leader.as_mut().filter(|leader| leader.token == token) {
                    leader.orders_told(now, &to, told, delivery);
                }
            }
            _ => {}
        }
    }

    /// This node leads from now on: what it knew as a holder is the leader's.
    pub(super) fn holder_leads(&mut self, times: StepTime) {
        let (Some(sharding), Some(leader)) = (&mut self.sharding, &mut self.leader) else { return };
        let records = &sharding.records;
        leader.learn_records(&records.table, records.seen(), times.now);
        for machine in sharding.holder.machines() {
            leader.inherit(times, machine, &mut self.out);
        }
    }

    /// This node leads no more: it holds what the records say.
    pub(super) fn holder_resumes(&mut self) {
        if let Some(sharding) = &mut self.sharding {
            sharding.holder.adopt(&sharding.records.table, &mut self.out);
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
        serde_json::json!({"records": records, "malformed": sharding.malformed,
            "recordsSeenS": sharding.records.seen().map(|at| now.saturating_sub(at).as_secs_f64()),
            "holder": sharding.holder.view(now)})
    }
}
