//! A holder's status messages to the leader.

use super::{Holder, HolderEvidence, KnownLeader};
use crate::calls::{CallPurpose, HolderCall};
use crate::effects::EffectSink;
use crate::fleet::{Machine, RemovalReason};
use crate::protocol::MachineName;
use crate::shards::messages::{
    Delivery, HolderStatus, MachineUpdate, ShardHolding, ShardMessage, MAX_MACHINES, MAX_TASKS,
};
use plankhead_sharding::machine_numbers::MachineNumbers;
use plankhead_sharding::sequence::MessageStamp;
use plankhead_sharding::shard::ShardId;
use roaring::RoaringBitmap;
use std::collections::{BTreeSet, HashSet, VecDeque};
use std::time::Duration;

/// The time between two status messages if there are no changes to report.
const STATUS_INTERVAL: Duration = Duration::from_millis(500);
/// The delay before the next message after one that was rejected or not delivered.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// The maximum age of the shard records. A holder with older records may not notice that a shard was
/// assigned to another node.
const MAX_RECORDS_AGE: Duration = Duration::from_secs(5);
/// The maximum number of messages whose send times are kept.
const MAX_SENT_MESSAGES: usize = 64;

/// The send time of a message.
#[derive(Debug)]
struct SentMessage {
    sequence: u64,
    sent_at: Duration,
}

/// The stream of status messages to the leader, with the machines that are still to be reported.
#[derive(Debug, Default)]
pub(super) struct StatusStream {
    /// Machines whose latest heartbeat has not been reported to the leader.
    pub unreported: BTreeSet<MachineName>,
    /// Machines that have sent only unchanged heartbeats since the last message.
    pub alive: BTreeSet<MachineName>,
    /// When the first heartbeat of the machines in `alive` arrived.
    alive_since: Duration,
    /// The numbers of machines in this stream, used as short identifiers.
    numbers: MachineNumbers,
    /// Identifies the stream, and thus the numbering of machines.
    stream: u64,
    /// Whether the leader has accepted a message of this stream.
    stream_accepted: bool,
    sequence: u64,
    sent_messages: VecDeque<SentMessage>,
    in_flight: bool,
    last_sent_at: Duration,
    next_send_at: Duration,
}

impl StatusStream {
    /// Begins a new stream, in which all the given machines are reported again.
    pub fn restart(&mut self, machines: impl Iterator<Item = MachineName>) {
        self.stream += 1;
        self.stream_accepted = false;
        self.numbers = MachineNumbers::default();
        self.alive.clear();
        self.unreported = machines.collect();
    }

    /// Makes the next message due at once.
    pub fn send_now(&mut self, now: Duration) {
        self.next_send_at = now;
    }

    /// Returns when the next message is due; `None` while one is in flight.
    pub fn next_due(&self) -> Option<Duration> {
        (!self.in_flight).then_some(self.next_send_at)
    }

    pub fn record_alive(&mut self, machine: &MachineName, now: Duration) {
        if self.alive.is_empty() {
            self.alive_since = now;
        }
        self.alive.insert(machine.clone());
    }

    pub fn remove_machine(&mut self, machine: &MachineName) {
        self.unreported.remove(machine);
        self.alive.remove(machine);
    }

    /// Returns when the message with this sequence number was sent, if it is one of the latest
    /// `MAX_SENT_MESSAGES`.
    pub fn sent_at(&self, sequence: u64) -> Option<Duration> {
        let sent = self.sent_messages.iter().find(|sent| sent.sequence == sequence);
        sent.map(|sent| sent.sent_at)
    }

    fn record_sent(&mut self, now: Duration) {
        self.sequence += 1;
        self.in_flight = true;
        self.sent_messages.push_back(SentMessage { sequence: self.sequence, sent_at: now });
        if self.sent_messages.len() > MAX_SENT_MESSAGES {
            self.sent_messages.pop_front();
        }
        self.last_sent_at = now;
    }
}

impl Holder {
    /// Sends the next status message, if one is due and none is in flight.
    pub(super) fn send_status(&mut self, now: Duration, evidence: HolderEvidence, effects: &mut EffectSink) {
        if self.status.in_flight || now < self.status.next_send_at {
            return;
        }
        let Some(KnownLeader { host: leader, token, .. }) = self.leader.clone() else {
            self.status.next_send_at = now + STATUS_INTERVAL;
            return;
        };
        let updates = self.take_updates(now);
        let machines: Vec<MachineName> =
            updates.iter().map(|update| update.heartbeat.machine.clone()).collect();
        let alive = std::mem::take(&mut self.status.alive);
        let alive: RoaringBitmap =
            alive.iter().filter_map(|machine| self.status.numbers.get(machine)).collect();
        self.status.record_sent(now);
        let message = HolderStatus {
            host: self.settings.host.clone(),
            stamp: MessageStamp { boot: self.settings.boot_id, sequence: self.status.sequence },
            zone: self.settings.zone.clone(),
            term: token,
            sees_records: !evidence.kv_failing
                && evidence.records_synced_at.is_some_and(|at| now.saturating_sub(at) < MAX_RECORDS_AGE),
            shards: self.shard_holdings(now),
            stream: self.status.stream,
            first: !self.status.stream_accepted,
            updates,
            alive,
            alive_age: now.saturating_sub(self.status.alive_since),
        };
        let call = HolderCall::ReportStatus { leader: token, machines };
        let message = ShardMessage::HolderStatus(Box::new(message));
        effects.send_shard_message(CallPurpose::Holder(call), leader, message);
    }

    /// Returns the shards that this node acts for. A shard that is to be handed over counts as released
    /// once all its machines have been reported.
    fn shard_holdings(&self, now: Duration) -> Vec<ShardHolding> {
        let any_releasing = self.shards.values().any(|held| held.releasing);
        let unreported_shards: HashSet<&ShardId> = if any_releasing {
            self.status.unreported.iter().filter_map(|machine| self.shard_of.get(machine)).collect()
        } else {
            HashSet::new()
        };
        let held = self.shards.iter().filter(|(shard, _)| self.epoch(shard, now).is_some());
        let holdings = held.map(|(shard, held)| ShardHolding {
            shard: shard.clone(),
            epoch: held.epoch,
            released: held.releasing && !unreported_shards.contains(shard),
        });
        holdings.collect()
    }

    /// Returns updates for the next machines to report. If the stream has no numbers left, restarts it
    /// and returns no updates.
    fn take_updates(&mut self, now: Duration) -> Vec<MachineUpdate> {
        let machines: Vec<MachineName> = self.status.unreported.iter().take(MAX_MACHINES).cloned().collect();
        let mut updates: Vec<MachineUpdate> = Vec::with_capacity(machines.len());
        let mut tasks = 0;
        for machine in machines {
            if tasks > MAX_TASKS {
                break;
            }
            self.status.remove_machine(&machine);
            let Some(number) = self.status.numbers.assign(&machine) else {
                self.restart_stream();
                return Vec::new();
            };
            let machine = self.fleet.machines.get(&machine);
            let Some(update) = machine.and_then(|machine| machine_update(machine, number, now)) else {
                continue;
            };
            tasks += update.heartbeat.tasks.len();
            updates.push(update);
        }
        updates
    }

    /// Begins a new stream, in which all machines are reported again under new numbers.
    pub(super) fn restart_stream(&mut self) {
        self.status.restart(self.fleet.machines.keys().cloned());
    }

    /// Handles the delivery result of a message to the leader with this fencing token.
    pub fn handle_status_delivery(
        &mut self,
        now: Duration,
        token: u64,
        machines: Vec<MachineName>,
        delivery: Delivery,
    ) {
        self.status.in_flight = false;
        // If there is a new leader, the stream to it reports all machines anyway.
        let Some(leader) = self.leader.as_mut().filter(|leader| leader.token == token) else { return };
        leader.sharding_unsupported = delivery == Delivery::Unsupported;
        match delivery {
            Delivery::FullSyncNeeded => {
                self.restart_stream();
                self.status.next_send_at = now;
            }
            Delivery::Accepted => {
                self.status.stream_accepted = true;
                self.status.next_send_at = now + STATUS_INTERVAL;
                self.schedule_update(now);
            }
            Delivery::Rejected | Delivery::Unsupported | Delivery::NoResponse => {
                let known_machines =
                    machines.into_iter().filter(|machine| self.fleet.machines.contains_key(machine));
                self.status.unreported.extend(known_machines);
                self.status.next_send_at = now + RETRY_INTERVAL;
            }
        }
    }

    /// Schedules the next message before the regular interval if there are changes to report.
    pub fn schedule_update(&mut self, now: Duration) {
        let status = &mut self.status;
        if !status.unreported.is_empty() && !status.in_flight {
            let earliest = status.last_sent_at + self.settings.shard_message_interval();
            status.next_send_at = status.next_send_at.min(now.max(earliest));
        }
    }
}

fn machine_update(machine: &Machine, number: u32, now: Duration) -> Option<MachineUpdate> {
    let heartbeat = machine.last_heartbeat.as_ref()?;
    Some(MachineUpdate {
        number,
        heartbeat: heartbeat.clone(),
        confirmed: machine.confirmed,
        ignores_commands: machine.removal == Some(RemovalReason::IgnoresCommands),
        unanswered_commands: machine.commands.unanswered,
        age: now.saturating_sub(machine.heartbeat_times.last_heard_at),
    })
}
