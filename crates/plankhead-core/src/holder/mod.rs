//! The holder role: a node that does not lead answers the workers of its shards, relays the leader's
//! commands to them, and reports changes to the leader.
//!
//! What an answer may contain depends on how recently the holder itself has read the jobs and the
//! shard records. A holder starts only tasks that the current leader has commanded. It kills tasks of
//! cancelled jobs without a command, and leaves it to the leader to decide whether a machine is faulty.

mod commands;
mod held_shards;
mod leader_messages;
mod reporting;
mod view;

use crate::calls::{CallPurpose, HolderCall, KeyWatchCall};
use crate::effects::{EffectSink, StepTime};
use crate::fleet::{Fleet, HeartbeatChange, Machine};
use crate::job_watch::{JobUpdate, JobWatch};
use crate::leadership::LeaderId;
use crate::protocol::{CallError, Heartbeat, HeartbeatPath, KvReply, MachineName, Response, WorkerCommand};
use crate::requests::RequestHandler;
use crate::settings::Settings;
use commands::PendingCommands;
use held_shards::HeldShard;
use plankhead_sharding::read_times::ReadTimes;
use plankhead_sharding::shard::ShardId;
use plankhead_sharding::table::ShardTable;
use reporting::StatusStream;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// How long a machine may be silent before the holder drops its state. Whether the machine has failed
/// is decided by the leader.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(60);
/// How often the machines are checked for late heartbeats.
const MACHINE_SCAN_INTERVAL: Duration = Duration::from_millis(250);
/// The retry delay for workers whose leases this node may not renew, because its latest reads of the
/// jobs or the shard records are too old.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The leader, as known to a holder.
#[derive(Debug, Clone, PartialEq, Eq)]
struct KnownLeader {
    host: String,
    token: u64,
    known_since: Duration,
    /// Whether the leader runs without sharding.
    sharding_unsupported: bool,
}

/// The holder role of one node.
#[derive(Debug)]
pub struct Holder {
    settings: Arc<Settings>,
    jobs: JobWatch,
    fleet: Fleet,
    shards: BTreeMap<ShardId, HeldShard>,
    /// Shards that, according to the leader's messages, have since been assigned to other nodes, with
    /// the epochs under which this node held them. This node may not have read the new records yet.
    superseded: BTreeMap<ShardId, u64>,
    /// The number of shards of each zone.
    shards_per_zone: HashMap<String, u32>,
    /// The shard of each known machine.
    shard_of: HashMap<MachineName, ShardId>,
    commands: HashMap<MachineName, PendingCommands>,
    leader: Option<KnownLeader>,
    /// The fencing token and the sequence number of the latest message accepted from a leader. Together
    /// they order the messages: the sequence numbers start again with each term, but no two terms have
    /// the same token.
    latest_leader_message: (u64, u64),
    /// The number of rejected leader messages, and of rejected commands with an invalid shard index.
    refused: u64,
    status: StatusStream,
    next_machine_scan_at: Duration,
    /// Whether the process is short of CPU time. Starts are then sent only with the answers to
    /// heartbeats.
    cpu_starved: bool,
}

/// A shard and the epoch under which this node holds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardEpoch {
    pub shard: ShardId,
    pub epoch: u64,
}

/// The facts on which a holder bases its decisions in one step.
#[derive(Debug, Clone, Copy)]
pub struct HolderEvidence {
    /// When the latest complete read of the shard records was sent.
    pub records_synced_at: Option<Duration>,
    /// Whether this node's calls to the state service have been failing for some time.
    pub kv_failing: bool,
    /// Whether the process is short of CPU time.
    pub cpu_starved: bool,
}

impl Holder {
    /// Creates a holder that knows no shards and no machines yet.
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

    fn remove_machine(&mut self, machine: &MachineName) {
        self.fleet.machines.remove(machine);
        self.shard_of.remove(machine);
        self.commands.remove(machine);
        self.status.remove_machine(machine);
    }

    /// Records which node leads. A new leader is sent the state of all machines at once.
    pub fn set_leader(&mut self, leader: Option<LeaderId>, now: Duration) {
        let Some(LeaderId { host, token }) = leader else { return };
        if self.leader.as_ref().is_some_and(|known| known.token >= token) {
            return;
        }
        self.leader = Some(KnownLeader { host, token, known_since: now, sharding_unsupported: false });
        self.restart_stream();
        self.status.send_now(now);
        // Commands of a former leader are no longer valid, whether or not the shard records have been
        // renewed.
        for commands in self.commands.values_mut() {
            commands.pending.clear();
        }
    }

    /// Whether heartbeats should be deferred until the jobs have been read.
    pub fn is_loading(&self) -> bool {
        self.jobs.is_loading()
    }

    fn read_times(&self, evidence: HolderEvidence) -> ReadTimes {
        ReadTimes { jobs: self.jobs.synced_at(), records: evidence.records_synced_at }
    }

    /// Answers the heartbeat of a machine in one of this node's shards.
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
        let change = self.observe_machine(now, heartbeat, shard_epoch, false);
        let settings = &self.settings;
        if !read_times.may_renew_leases(now, settings.worker_lease, settings.cancel_within) {
            return Response::Unavailable { retry_after: RETRY_AFTER };
        }
        let mut commands = self.commands_for(&heartbeat.machine, read_times, now);
        let Some(machine) = self.fleet.machines.get_mut(&heartbeat.machine) else {
            return Response::Commands { token: epoch, commands: Vec::new() };
        };
        if change == HeartbeatChange::Stale {
            // A late copy of an earlier heartbeat gets no commands and does not count as a sign of life.
            return Response::Commands { token: machine.token(epoch), commands: Vec::new() };
        }
        machine.is_relayed = path.relayed;
        if machine.take_redirect(path.node_is_disconnected, self.settings.worker_lease, now) {
            return Response::Redirect { host: None };
        }
        let token = machine.choose_token(path.tokens, &mut commands);
        commands.truncate(commands::MAX_COMMANDS);
        machine.record_response(&commands, now);
        Response::Commands { token, commands }
    }

    /// Records a heartbeat. `is_reply` is true if it answers a command of this node.
    fn observe_machine(
        &mut self,
        now: Duration,
        heartbeat: &Heartbeat,
        ShardEpoch { shard, epoch }: ShardEpoch,
        is_reply: bool,
    ) -> HeartbeatChange {
        let change = match is_reply {
            true => self.fleet.observe_command_reply(heartbeat, epoch, now),
            false => self.fleet.observe_heartbeat(heartbeat, epoch, now),
        };
        let machine = &heartbeat.machine;
        match change {
            HeartbeatChange::Stale => return change,
            HeartbeatChange::Unchanged => self.status.record_alive(machine, now),
            HeartbeatChange::Changed => {
                self.status.unreported.insert(machine.clone());
            }
        }
        self.shard_of.insert(machine.clone(), shard);
        self.drop_completed_commands(heartbeat);
        change
    }

    /// Runs the work that is due: reading the jobs, probing late machines, and reporting to the leader.
    pub fn tick(&mut self, times: StepTime, evidence: HolderEvidence, effects: &mut EffectSink) {
        let now = times.now;
        self.cpu_starved = evidence.cpu_starved;
        if let Some((call, request)) = self.jobs.tick(now) {
            effects.call_kv(CallPurpose::Holder(HolderCall::WatchJobs(call)), request);
        }
        if now >= self.next_machine_scan_at {
            self.next_machine_scan_at = now + MACHINE_SCAN_INTERVAL;
            self.remove_silent_machines(now);
            self.probe_late_machines(now, effects);
        }
        self.schedule_update(now);
        self.send_status(now, evidence, effects);
    }

    fn remove_silent_machines(&mut self, now: Duration) {
        let is_silent =
            |machine: &&Machine| now.saturating_sub(machine.heartbeat_times.last_heard_at) > SILENCE_TIMEOUT;
        let silent: Vec<MachineName> =
            self.fleet.machines.values().filter(is_silent).map(|machine| machine.name.clone()).collect();
        silent.iter().for_each(|machine| self.remove_machine(machine));
    }

    /// Returns when [`Holder::tick`] must be called next, if no event arrives before.
    pub fn next_due(&self) -> Duration {
        let scan = (!self.fleet.machines.is_empty()).then_some(self.next_machine_scan_at);
        let due_times = [self.jobs.next_due(), self.status.next_due(), scan];
        due_times.into_iter().flatten().min().unwrap_or(Duration::MAX)
    }

    /// Handles a reply of the job watch: drops pending starts of jobs that have ended, and sends kills
    /// for the tasks of cancelled jobs. Returns the changes.
    pub fn handle_kv_reply(
        &mut self,
        now: Duration,
        call: KeyWatchCall,
        reply: Result<KvReply, CallError>,
        requests: &mut RequestHandler,
        evidence: HolderEvidence,
        effects: &mut EffectSink,
    ) -> JobUpdate {
        let update = self.jobs.handle_reply(now, call, reply, requests);
        if !update.ended.is_empty() {
            let starts_ended_job = |command: &WorkerCommand| {
                matches!(command, WorkerCommand::Run { task, .. }
                    if update.ended.contains(&task.job))
            };
            for commands in self.commands.values_mut() {
                commands.pending.retain(|command| !starts_ended_job(command));
            }
        }
        if !update.cancelled.is_empty() {
            self.kill_cancelled(now, evidence, effects);
        }
        update
    }

    /// Resumes the role after this node has led, and may have sent starts to the same machines.
    pub fn resume(&mut self, table: &ShardTable, effects: &mut EffectSink) {
        self.fleet.machines.values_mut().for_each(Machine::forget_direct_starts);
        self.apply_records(table, effects);
    }

    /// Returns the machines known to this node, for the leader role when the node becomes the leader.
    pub fn machines(&self) -> impl Iterator<Item = &Machine> {
        self.fleet.machines.values()
    }
}
