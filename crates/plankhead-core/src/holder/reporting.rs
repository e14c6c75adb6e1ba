//! What a holder tells the leader.

use super::{Holder, HolderEvidence, KnownLeader, MAX_SENT};
use crate::calls::{CallPurpose, HolderCall};
use crate::effects::EffectSink;
use crate::fleet::RemovalReason;
use crate::protocol::MachineName;
use crate::shards::messages::{
    Delivery, HolderStatus, MachineUpdate, ShardHolding, ShardMessage, MAX_MACHINES, MAX_TASKS,
};
use plankhead_sharding::sequence::MessageStamp;
use plankhead_sharding::shard::ShardId;
use roaring::RoaringBitmap;
use std::time::Duration;

/// Between two messages without news.
const HEARTBEAT: Duration = Duration::from_millis(500);
/// Until a message is repeated that did not arrive.
const RETRY: Duration = Duration::from_millis(250);
/// A holder that has not seen the records for so long would not notice that a shard was
/// taken from it.
const RECORDS_SEEN: Duration = Duration::from_secs(5);

impl Holder {
    /// Sends the next message, if one is due and none is under way.
    pub(super) fn send_status(&mut self, now: Duration, evidence: HolderEvidence, effects: &mut EffectSink) {
        if self.status_in_flight || now < self.next_status_at {
            return;
        }
        let Some(KnownLeader { host: leader, token, .. }) = self.leader.clone() else {
            self.next_status_at = now + HEARTBEAT;
            return;
        };
        let news = self.take_unreported(now);
        let machines: Vec<MachineName> = news.iter().map(|news| news.heartbeat.machine.clone()).collect();
        let alive = std::mem::take(&mut self.alive);
        let numbers: RoaringBitmap = alive.iter().filter_map(|host| self.numbers.get(host)).collect();
        self.sequence += 1;
        self.status_in_flight = true;
        self.sent_messages.push_back((self.sequence, now));
        if self.sent_messages.len() > MAX_SENT {
            self.sent_messages.pop_front();
        }
        self.status_sent_at = now;
        let heartbeat = HolderStatus {
            host: self.settings.host.clone(),
            stamp: MessageStamp { boot: self.settings.boot_id, sequence: self.sequence },
            zone: self.settings.zone.clone(),
            term: token,
            sees_records: !evidence.kv_failing
                && evidence.records_synced_at.is_some_and(|at| now.saturating_sub(at) < RECORDS_SEEN),
            shards: self.shard_holdings(now),
            stream: self.stream,
            first: !self.stream_begun,
            updates: news,
            alive: numbers,
            alive_age: now.saturating_sub(self.alive_since),
        };
        let call = HolderCall::ReportStatus { leader: token, machines };
        effects.send_shard_message(
            CallPurpose::Holder(call),
            leader,
            ShardMessage::HolderStatus(Box::new(heartbeat)),
        );
    }

    fn shard_holdings(&self, now: Duration) -> Vec<ShardHolding> {
        let untold =
            |shard: &ShardId| self.unreported.iter().any(|host| self.shard_of.get(host) == Some(shard));
        let held = self.shards.iter().filter(|(shard, _)| self.epoch(shard, now).is_some());
        let told = held.map(|(shard, held)| ShardHolding {
            shard: shard.clone(),
            epoch: held.epoch,
            released: held.releasing && !untold(shard),
        });
        told.collect()
    }

    fn take_unreported(&mut self, now: Duration) -> Vec<MachineUpdate> {
        let hosts: Vec<MachineName> = self.unreported.iter().take(MAX_MACHINES).cloned().collect();
        let mut told: Vec<MachineUpdate> = Vec::with_capacity(hosts.len());
        let mut tasks = 0;
        for host in hosts {
            if tasks > MAX_TASKS {
                break;
            }
            self.unreported.remove(&host);
            self.alive.remove(&host);
            let Some(number) = self.numbers.assign(&host) else {
                self.restart_stream();
                return Vec::new();
            };
            let Some(machine) = self.fleet.machines.get(&host) else { continue };
            let Some(heartbeat) = &machine.last_heartbeat else { continue };
            tasks += heartbeat.tasks.len();
            told.push(MachineUpdate {
                number,
                heartbeat: heartbeat.clone(),
                confirmed: machine.confirmed,
                ignores_commands: machine.removal == Some(RemovalReason::IgnoresCommands),
                unanswered_commands: machine.commands.unanswered,
                age: now.saturating_sub(machine.last_heard_at),
            });
        }
        told
    }

    /// What became of a message.
    pub fn status_delivered(
        &mut self,
        now: Duration,
        leader: u64,
        machines: Vec<MachineName>,
        delivery: Delivery,
    ) {
        self.status_in_flight = false;
        let known = self.leader.as_mut().filter(|known| known.token == leader);
        // Of an earlier leader, which all machines are told of anew since.
        let Some(known) = known else { return };
        known.unsupported = delivery == Delivery::Unsupported;
        if delivery == Delivery::FullSyncNeeded {
            self.restart_stream();
            self.next_status_at = now;
            return;
        }
        if delivery == Delivery::Accepted {
            self.stream_begun = true;
            self.next_status_at = now + HEARTBEAT;
            self.send_news_soon(now);
            return;
        }
        let there = machines.into_iter().filter(|host| self.fleet.machines.contains_key(host));
        self.unreported.extend(there);
        self.next_status_at = now + RETRY;
    }

    /// News has come: the next message need not wait for the heartbeat.
    pub fn send_news_soon(&mut self, now: Duration) {
        if !self.unreported.is_empty() && !self.status_in_flight {
            self.next_status_at = self
                .next_status_at
                .min(now.max(self.status_sent_at + self.settings.shard_message_interval()));
        }
    }

    /// How many shards a zone has, by the shards that this node holds.
    pub(super) fn shards_of_zone(&self, zone: &str) -> u32 {
        self.shards_per_zone.get(zone).copied().unwrap_or(1)
    }
}
