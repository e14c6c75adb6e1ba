//! A digest of all decisions of the nodes in a simulated history.
//!
//! It covers the values of each effect under tags of its own, never the names of types or fields,
//! so that renamed or moved code leaves the digest unchanged. Texts for people are left out: log
//! lines, reasons of rejections, and the operators' view.

use plankhead_core::protocol::{
    CloudRequest, Effect, Heartbeat, JobStatus, KvChange, KvRequest, Response, TaskId, TaskStatus,
    WorkerCommand,
};
use plankhead_core::shards::messages::{HolderStatus, LeaderCommands, ShardMessage};
use plankhead_fencing::gate::Basis;
use plankhead_reachability::coverage::Coverage;
use std::time::Duration;

/// The digest of the effects so far. It is empty until it is enabled.
#[derive(Debug, Default)]
pub struct TraceDigest {
    hasher: Option<blake3::Hasher>,
    effects: u64,
}

impl TraceDigest {
    pub fn enable(&mut self) {
        self.hasher = Some(blake3::Hasher::new());
    }

    /// Returns the number of effects and the digest in hexadecimal.
    pub fn finish(&self) -> String {
        let hasher = self.hasher.as_ref().expect("the digest is not enabled");
        format!("{} effects {}", self.effects, hasher.finalize().to_hex())
    }

    /// Adds the effects of one step of a node to the digest.
    pub fn absorb(&mut self, now: Duration, node: usize, effects: &[Effect]) {
        let Some(hasher) = &mut self.hasher else { return };
        let mut sink = Sink(hasher);
        for effect in effects.iter().filter(|effect| !matches!(effect, Effect::Log(..))) {
            self.effects += 1;
            sink.duration(now);
            sink.number(node as u64);
            sink.effect(effect);
        }
    }
}

struct Sink<'a>(&'a mut blake3::Hasher);

impl Sink<'_> {
    fn tag(&mut self, tag: u8) {
        self.0.update(&[tag]);
    }

    fn number(&mut self, number: u64) {
        self.0.update(&number.to_le_bytes());
    }

    fn flag(&mut self, flag: bool) {
        self.tag(u8::from(flag));
    }

    fn text(&mut self, text: &str) {
        self.number(text.len() as u64);
        self.0.update(text.as_bytes());
    }

    fn duration(&mut self, duration: Duration) {
        self.0.update(&duration.as_nanos().to_le_bytes());
    }

    fn optional<T>(&mut self, value: Option<T>, absorb: impl FnOnce(&mut Self, T)) {
        self.flag(value.is_some());
        if let Some(value) = value {
            absorb(self, value);
        }
    }

    fn effect(&mut self, effect: &Effect) {
        match effect {
            Effect::Respond { request, response } => {
                self.tag(1);
                self.number(*request);
                self.response(response);
            }
            Effect::CallKv { call, request } => {
                self.tag(2);
                self.number(*call);
                self.kv_request(request);
            }
            Effect::CallCloud { call, request } => {
                self.tag(3);
                self.number(*call);
                self.cloud_request(request);
            }
            Effect::SendCommands { call, address, token, incarnation, commands } => {
                self.tag(4);
                self.number(*call);
                self.text(address);
                self.number(*token);
                self.number(*incarnation);
                self.commands(commands);
            }
            Effect::InspectWorker { call, address } => {
                self.tag(9);
                self.number(*call);
                self.text(address);
            }
            Effect::SendPeerHeartbeat(peer_heartbeat) => {
                self.tag(5);
                self.text(&peer_heartbeat.host);
                self.flag(peer_heartbeat.kv_available);
                self.number(peer_heartbeat.token);
                self.number(peer_heartbeat.progress.len() as u64);
                for progress in &peer_heartbeat.progress {
                    self.text(&progress.id);
                    self.number(u64::from(progress.done));
                    self.number(u64::from(progress.running));
                }
            }
            Effect::SendCoverage(coverage) => {
                self.tag(6);
                self.coverage(coverage);
            }
            Effect::SendShardMessage { call, to, message } => {
                self.tag(7);
                self.number(*call);
                self.text(to);
                match message {
                    ShardMessage::HolderStatus(status) => self.holder_status(status),
                    ShardMessage::LeaderCommands(commands) => self.leader_commands(commands),
                }
            }
            Effect::Log(..) => {}
        }
    }

    fn response(&mut self, response: &Response) {
        match response {
            Response::Job { created, id, status, done, running } => {
                self.tag(1);
                self.flag(*created);
                self.text(id.as_str());
                self.tag(match status {
                    JobStatus::Queued => 0,
                    JobStatus::Running => 1,
                    JobStatus::Done => 2,
                    JobStatus::Cancelled => 3,
                });
                self.number(u64::from(*done));
                self.number(u64::from(*running));
            }
            Response::BadRequest(_) => self.tag(2),
            Response::Unprocessable(_) => self.tag(3),
            Response::NotFound => self.tag(4),
            Response::Unavailable { retry_after } => {
                self.tag(5);
                self.duration(*retry_after);
            }
            Response::Commands { token, commands } => {
                self.tag(6);
                self.number(*token);
                self.commands(commands);
            }
            Response::Redirect { host: leader } => {
                self.tag(7);
                self.optional(leader.as_deref(), Self::text);
            }
            Response::Relay { host: leader } => {
                self.tag(8);
                self.text(leader);
            }
            Response::View(_) => self.tag(9),
            Response::ShardMessageDelivery(delivery) => {
                self.tag(10);
                self.number(*delivery as u64);
            }
        }
    }

    fn commands(&mut self, commands: &[WorkerCommand]) {
        self.number(commands.len() as u64);
        for command in commands {
            match command {
                WorkerCommand::Run { task, attempt } => {
                    self.tag(1);
                    self.attempt(task, *attempt);
                }
                WorkerCommand::Kill { task, attempt, grace } => {
                    self.tag(2);
                    self.attempt(task, *attempt);
                    self.duration(*grace);
                }
                WorkerCommand::Acknowledge { task, attempt } => {
                    self.tag(3);
                    self.attempt(task, *attempt);
                }
            }
        }
    }

    fn attempt(&mut self, task: &TaskId, attempt: u64) {
        self.text(task.job.as_str());
        self.number(u64::from(task.index));
        self.number(attempt);
    }

    fn kv_request(&mut self, request: &KvRequest) {
        match request {
            KvRequest::Get { key } => {
                self.tag(1);
                self.text(key);
            }
            KvRequest::List { prefix, after } => {
                self.tag(2);
                self.text(prefix);
                self.optional(after.as_deref(), Self::text);
            }
            KvRequest::Txn { conditions, changes } => {
                self.tag(3);
                self.number(conditions.len() as u64);
                for condition in conditions {
                    self.text(&condition.key);
                    self.number(condition.mod_revision);
                }
                self.number(changes.len() as u64);
                changes.iter().for_each(|change| self.change(change));
            }
            KvRequest::GrantLease { ttl } => {
                self.tag(4);
                self.duration(*ttl);
            }
            KvRequest::RenewLease { lease } => {
                self.tag(5);
                self.number(*lease);
            }
            KvRequest::RevokeLease { lease } => {
                self.tag(6);
                self.number(*lease);
            }
            KvRequest::Watch { prefix, after, wait } => {
                self.tag(7);
                self.text(prefix);
                self.number(*after);
                self.duration(*wait);
            }
        }
    }

    fn change(&mut self, change: &KvChange) {
        match change {
            KvChange::Put { key, value, lease } => {
                self.tag(1);
                self.text(key);
                self.text(value);
                self.optional(*lease, Self::number);
            }
            KvChange::Delete { key } => {
                self.tag(2);
                self.text(key);
            }
        }
    }

    fn cloud_request(&mut self, request: &CloudRequest) {
        match request {
            CloudRequest::ListMachineTypes => self.tag(1),
            CloudRequest::ListInstances { after } => {
                self.tag(2);
                self.optional(after.as_deref(), Self::text);
            }
            CloudRequest::Execute(permitted) => {
                self.tag(3);
                self.text(&permitted.action().digest().to_string());
                match permitted.basis() {
                    Basis::Recorded { revision } => self.number(revision),
                    Basis::Compelled => self.tag(1),
                    Basis::Unfenced => self.tag(2),
                    Basis::Leaderless => self.tag(3),
                }
            }
        }
    }

    fn coverage(&mut self, coverage: &Coverage) {
        self.text(&coverage.host);
        self.number(coverage.boot);
        self.number(coverage.sequence);
        self.number(coverage.token);
        self.tag(coverage.mode.code());
        self.number(coverage.numbering);
        for bitmap in [&coverage.reporting, &coverage.reached] {
            self.bitmap(bitmap);
        }
        self.number(u64::from(coverage.expected));
        self.number(coverage.peers.len() as u64);
        coverage.peers.iter().for_each(|peer| self.text(peer));
        self.optional(coverage.successor.as_deref(), Self::text);
    }

    fn bitmap(&mut self, bitmap: &roaring::RoaringBitmap) {
        self.number(bitmap.len());
        for number in bitmap {
            self.number(u64::from(number));
        }
    }

    fn holder_status(&mut self, status: &HolderStatus) {
        self.tag(1);
        self.text(&status.host);
        self.number(status.stamp.boot);
        self.number(status.stamp.sequence);
        self.text(&status.zone);
        self.number(status.term);
        self.flag(status.sees_records);
        self.number(status.shards.len() as u64);
        for held in &status.shards {
            self.text(&held.shard.to_string());
            self.number(held.epoch);
            self.flag(held.released);
        }
        self.number(status.stream);
        self.flag(status.first);
        self.number(status.updates.len() as u64);
        for update in &status.updates {
            self.number(u64::from(update.number));
            self.heartbeat(&update.heartbeat);
            self.flag(update.confirmed);
            self.flag(update.ignores_commands);
            self.number(u64::from(update.unanswered_commands));
            self.duration(update.age);
        }
        self.bitmap(&status.alive);
        self.duration(status.alive_age);
    }

    fn leader_commands(&mut self, commands: &LeaderCommands) {
        self.tag(2);
        self.text(&commands.host);
        self.number(commands.stamp.boot);
        self.number(commands.stamp.sequence);
        self.number(commands.acknowledged);
        self.number(commands.token);
        self.number(commands.shards.len() as u64);
        for (shard, epoch) in &commands.shards {
            self.text(&shard.to_string());
            self.number(*epoch);
        }
        self.number(commands.latest_epoch);
        self.number(commands.machines.len() as u64);
        for machine in &commands.machines {
            self.text(&machine.machine);
            self.number(machine.shard as u64);
            self.number(machine.incarnation);
            self.commands(&machine.commands);
        }
        self.number(commands.removed.len() as u64);
        commands.removed.iter().for_each(|machine| self.text(machine));
        self.number(commands.snapshot.len() as u64);
        commands.snapshot.iter().for_each(|heartbeat| self.heartbeat(heartbeat));
    }

    fn heartbeat(&mut self, heartbeat: &Heartbeat) {
        self.text(&heartbeat.machine);
        self.text(&heartbeat.address);
        self.text(&heartbeat.machine_type);
        self.text(&heartbeat.zone);
        self.flag(heartbeat.spot);
        self.number(heartbeat.incarnation);
        self.number(heartbeat.sequence);
        self.number(heartbeat.token);
        self.optional(heartbeat.preemption_notice, Self::duration);
        self.number(heartbeat.tasks.len() as u64);
        for listed in heartbeat.tasks.iter() {
            self.attempt(&listed.task, listed.attempt);
            match listed.status {
                TaskStatus::FetchingImage => self.tag(1),
                TaskStatus::WaitingForGang => self.tag(2),
                TaskStatus::Running => self.tag(3),
                TaskStatus::Checkpointing => self.tag(4),
                TaskStatus::Unrecognized => self.tag(5),
                TaskStatus::Exited(reason) => {
                    self.tag(6);
                    self.tag(reason as u8);
                }
            }
        }
    }
}
