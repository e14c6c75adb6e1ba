//! The holder's role: a node that does not lead answers the workers of its shards, passes
//! the leader's commands on to them, and tells the leader what is new.
//!
//! Each answer is bounded by the freshness of what the holder itself has read of the jobs and
//! of the records of shards. It starts only what the present leader commanded, kills tasks of
//! cancelled jobs by itself, and judges no machine: that is the leader's part.

mod commands;
mod held_shards;
mod jobs;
mod leader_messages;
mod reporting;
mod view;

use crate::calls::KeyWatchCall;
use crate::effects::{EffectSink, StepTime};
use crate::fleet::{Fleet, HeartbeatNews, Machine};
use crate::leadership::LeaderId;
use crate::protocol::{CallError, Heartbeat, HeartbeatPath, KvReply, MachineName, Response, WorkerCommand};
use crate::requests::RequestHandler;
use crate::settings::Settings;
use commands::PendingCommands;
use held_shards::HeldShard;
use jobs::JobWatch;
use plankhead_sharding::read_times::ReadTimes;
use plankhead_sharding::shard::ShardId;
use reporting::StatusStream;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// A machine that was not heard for so long is forgotten here; the leader judges it.
const FORGET_TIMEOUT: Duration = Duration::from_secs(60);
/// How often the machines are looked through.
const MACHINE_SCAN_INTERVAL: Duration = Duration::from_millis(250);
/// How long a worker waits whose lease this node may not renew now.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The leader as a holder knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
struct KnownLeader {
    host: String,
    token: u64,
    known_since: Duration,
    /// It does not shard machines.
    unsupported: bool,
}

/// The holder's role of one node.
#[derive(Debug)]
pub struct Holder {
    settings: Arc<Settings>,
    jobs: JobWatch,
    fleet: Fleet,
    shards: BTreeMap<ShardId, HeldShard>,
    /// Epochs of shards that the leader has given to others since, although this node can't
    /// read their records.
    superseded: BTreeMap<ShardId, u64>,
    /// Into how many shards each zone is divided.
    shards_per_zone: HashMap<String, u32>,
    /// The shard as part of which each machine was heard.
    shard_of: HashMap<MachineName, ShardId>,
    commands: HashMap<MachineName, PendingCommands>,
    leader: Option<KnownLeader>,
    /// The latest message of a leader: its fencing token, under which one start of one process
    /// leads, and its sequence.
    latest_leader_message: (u64, u64),
    /// Messages of a leader that were refused, and commands under superseded epochs.
    refused: u64,
    status: StatusStream,
    next_machine_scan_at: Duration,
    /// The process lacks processor time: starts go with the answers to heartbeats only.
    cpu_starved: bool,
}

/// A shard, and the epoch under which this node holds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardEpoch {
    pub shard: ShardId,
    pub epoch: u64,
}

/// The evidence on which a holder decides in one step.
#[derive(Debug, Clone, Copy)]
pub struct HolderEvidence {
    /// When the latest complete read of the records of shards was asked for.
    pub records_synced_at: Option<Duration>,
    /// The state service has failed this node for some time.
    pub kv_failing: bool,
    /// The process lacks processor time.
    pub cpu_starved: bool,
}

impl Holder {
    /// A holder that knows neither a shard nor a machine yet.
    pub fn new(settings: Arc<Settings>) -> Self {
        Self {
            settings,
            jobs: JobWatch::default(),
            fleet: Fleet::default(),
            shards: BTreeMap::new(),
            superseded: BTreeMap::new(),
            shards_per_zone: HashMap::new(),
            shard_of: HashMap::new(),
            commands: HashMap::new(),
            leader: None,
            latest_leader_message: (0, 0),
            refused: 0,
            status: StatusStream::default(),
            next_machine_scan_at: Duration::ZERO,
            cpu_starved: false,
        }
    }

    fn forget(&mut self, machine: &MachineName) {
        self.fleet.machines.remove(machine);
        self.shard_of.remove(machine);
        self.commands.remove(machine);
        self.status.forget(machine);
    }

    /// Records which node leads. A new leader is told of all machines at once.
    pub fn set_leader(&mut self, leader: Option<LeaderId>, now: Duration) {
        let Some(LeaderId { host, token }) = leader else { return };
        if self.leader.as_ref().is_some_and(|known| known.token >= token) {
            return;
        }
        self.leader = Some(KnownLeader { host, token, known_since: now, unsupported: false });
        self.restart_stream();
        self.status.send_now(now);
        // A former leader's commands are void from here on, whether or not the records are
        // renewed.
        for commands in self.commands.values_mut() {
            commands.pending.clear();
        }
    }

    /// Whether heartbeats should wait until the jobs are read.
    pub fn is_loading(&self) -> bool {
        self.jobs.is_loading()
    }

    fn read_times(&self, evidence: HolderEvidence) -> ReadTimes {
        ReadTimes { jobs: self.jobs.synced_at(), records: evidence.records_synced_at }
    }

    /// Answers a heartbeat of a machine in one of the shards.
    pub fn handle_heartbeat(
        &mut self,
        times: StepTime,
        heartbeat: &Heartbeat,
        shard_epoch: ShardEpoch,
        path: HeartbeatPath,
        evidence: HolderEvidence,
    ) -> Response {
        let now = times.now;
        let read_times = self.read_times(evidence);
        let epoch = shard_epoch.epoch;
        let news = self.observe_machine(now, heartbeat, shard_epoch, false);
        let settings = &self.settings;
        if !read_times.may_renew_leases(now, settings.worker_lease, settings.cancel_within) {
            return Response::Unavailable { retry_after: RETRY_AFTER };
        }
        let commands = self.commands_for(&heartbeat.machine, read_times, now);
        let Some(machine) =
            self.fleet.machines.get_mut(&heartbeat.machine).filter(|_| news != HeartbeatNews::Stale)
        else {
            // A late copy gets no commands, and does not count as heard.
            return Response::Commands { token: epoch, commands: Vec::new() };
        };
        machine.is_relayed = path.relayed;
        if machine.take_redirect(path.is_cut_off, self.settings.worker_lease, now) {
            return Response::Redirect { leader: None };
        }
        machine.record_response(&commands, now);
        Response::Commands { token: epoch, commands }
    }

    /// Takes in a heartbeat; `is_reply`: it answers a command of this node.
    fn observe_machine(
        &mut self,
        now: Duration,
        heartbeat: &Heartbeat,
        ShardEpoch { shard, epoch }: ShardEpoch,
        is_reply: bool,
    ) -> HeartbeatNews {
        let news = match is_reply {
            true => self.fleet.observe_command_reply(heartbeat, epoch, now),
            false => self.fleet.observe_heartbeat(heartbeat, epoch, now),
        };
        let machine = &heartbeat.machine;
        match news {
            HeartbeatNews::Stale => return news,
            HeartbeatNews::Unchanged => self.status.record_alive(machine, now),
            HeartbeatNews::Changed => {
                self.status.unreported.insert(machine.clone());
            }
        }
        self.shard_of.insert(machine.clone(), shard);
        self.drop_carried_out(heartbeat);
        news
    }

    /// Reads the jobs, probes late machines, and tells the leader what is new.
    pub fn tick(&mut self, times: StepTime, evidence: HolderEvidence, effects: &mut EffectSink) {
        let now = times.now;
        self.cpu_starved = evidence.cpu_starved;
        self.jobs.tick(now, effects);
        if now >= self.next_machine_scan_at {
            self.next_machine_scan_at = now + MACHINE_SCAN_INTERVAL;
            self.forget_silent_machines(now);
            self.probe_late_machines(now, effects);
        }
        self.send_news_soon(now);
        self.send_status(now, evidence, effects);
    }

    fn forget_silent_machines(&mut self, now: Duration) {
        let is_silent =
            |machine: &&Machine| now.saturating_sub(machine.heartbeat_times.last_heard_at) > FORGET_TIMEOUT;
        let silent: Vec<MachineName> =
            self.fleet.machines.values().filter(is_silent).map(|machine| machine.name.clone()).collect();
        silent.iter().for_each(|machine| self.forget(machine));
    }

    /// When [`Holder::tick`] has something to do next, unless something comes before.
    pub fn next_due(&self) -> Duration {
        let scan = (!self.fleet.machines.is_empty()).then_some(self.next_machine_scan_at);
        let dues = [self.jobs.next_due(), self.status.next_due(), scan];
        dues.into_iter().flatten().min().unwrap_or(Duration::MAX)
    }

    /// Handles a reply about the jobs: drops starts of ended ones, and kills cancelled ones.
    pub fn kv_reply(
        &mut self,
        now: Duration,
        call: KeyWatchCall,
        reply: Result<KvReply, CallError>,
        requests: &mut RequestHandler,
        evidence: HolderEvidence,
        effects: &mut EffectSink,
    ) {
        let update = self.jobs.reply(now, call, reply, requests);
        if !update.ended.is_empty() {
            let starts_ended = |command: &WorkerCommand| matches!(command, WorkerCommand::Run { task, .. } if update.ended.contains(&task.job));
            for commands in self.commands.values_mut() {
                commands.pending.retain(|command| !starts_ended(command));
            }
        }
        if update.cancelled {
            self.kill_cancelled(now, evidence, effects);
        }
    }

    /// The machines as they were last heard, for the leader that this node becomes.
    pub fn machines(&self) -> impl Iterator<Item = &Machine> {
        self.fleet.machines.values()
    }
}
