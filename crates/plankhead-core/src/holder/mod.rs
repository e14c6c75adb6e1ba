//! The holder's role: a controller that does not lead answers the workers of its shards,
//! passes on what the leader has them do, and tells the leader what is new.
//!
//! Each answer stands on the holder's own sight of the jobs and of the records of shards.
//! It starts only what the present leader ordered, ends tasks of cancelled jobs by itself,
//! and judges no machine: that is the leader's.

mod commands;
pub mod jobs;
mod reporting;

use crate::calls::KeyWatchCall;
use crate::effects::{EffectSink, StepTime};
use crate::fleet::{Fleet, HeartbeatNews, Machine};
use crate::leadership::LeaderId;
use crate::protocol::HeartbeatPath;
use crate::protocol::{
    CallError, Heartbeat, KvReply, LogLevel, MachineName, Response, TaskId, WorkerCommand,
};
use crate::requests::RequestHandler;
use crate::settings::Settings;
use jobs::JobWatch;
use plankhead_sharding::freshness::Freshness;
use plankhead_sharding::machine_numbers::MachineNumbers;
use plankhead_sharding::shard::ShardId;
use plankhead_sharding::table::ShardTable;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// Commands in one answer to a worker: its lines must stay below 64 KiB.
const MAX_ORDERS: usize = 300;
/// How long a holder acts under the records of a former leader while the present one has
/// not renewed them: it may be of a version that knows nothing of shards.
const FORMER_TERM: Duration = Duration::from_secs(15);
/// A machine that was not heard for so long is forgotten here; the leader judges it.
const FORGET: Duration = Duration::from_secs(60);
/// A leader's message is refused if it does not answer one that was sent within this time:
/// it may have been held up for minutes.
const ORDERS_LIFE: Duration = Duration::from_secs(3);
/// Messages whose time of sending is remembered.
const MAX_SENT: usize = 64;
/// How often machines are looked through.
const LOOK: Duration = Duration::from_millis(250);

/// A shard that this node holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Held {
    epoch: u64,
    /// The token of the leader that named this node.
    term: u64,
    /// It is to be let go: nothing is started there.
    releasing: bool,
}

/// What the leader has a machine told in one session of its worker.
#[derive(Debug)]
struct Commands {
    shard: ShardId,
    incarnation: u64,
    pending: Vec<WorkerCommand>,
    /// What was sent straight to the worker, once.
    sent: BTreeSet<(TaskId, u64, bool)>,
}

impl Commands {
    fn new(shard: &ShardId, incarnation: u64) -> Self {
        Self { shard: shard.clone(), incarnation, pending: Vec::new(), sent: BTreeSet::new() }
    }
}

/// The leader as a holder knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
struct KnownLeader {
    host: String,
    token: u64,
    known_since: Duration,
    /// It does not divide machines.
    unsupported: bool,
}

#[derive(Debug)]
pub struct Holder {
    settings: Arc<Settings>,
    jobs: JobWatch,
    fleet: Fleet,
    shards: BTreeMap<ShardId, Held>,
    /// Epochs of shards that the leader has given to others since, although this node can't
    /// read their records.
    superseded: BTreeMap<ShardId, u64>,
    /// Into how many shards the zones of those are divided.
    shards_per_zone: HashMap<String, u32>,
    /// Under which shard each machine was taken in.
    shard_of: HashMap<MachineName, ShardId>,
    commands: HashMap<MachineName, Commands>,
    leader: Option<KnownLeader>,
    /// The latest message of a leader: its token, which one start of one process has, and
    /// its number.
    latest_leader_message: (u64, u64),
    /// Messages that were refused, and commands that were under a token that is over.
    refused: u64,
    /// Machines whose latest report the leader has not been told.
    unreported: BTreeSet<MachineName>,
    /// Machines heard with nothing new since the last message, and since when.
    alive: BTreeSet<MachineName>,
    alive_since: Duration,
    numbers: MachineNumbers,
    stream: u64,
    /// The leader has been told the beginning of the stream.
    stream_begun: bool,
    sequence: u64,
    /// When the latest messages were sent, by their numbers.
    sent_messages: VecDeque<(u64, Duration)>,
    status_in_flight: bool,
    status_sent_at: Duration,
    next_status_at: Duration,
    next_machine_scan_at: Duration,
    /// The process is behind: starts go with the answers to reports only.
    cpu_starved: bool,
}

/// A shard, and the epoch under which this node holds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardEpoch {
    pub shard: ShardId,
    pub epoch: u64,
}

/// Commands that were sent directly to a worker.
#[derive(Debug)]
pub struct SentCommands {
    pub machine: MachineName,
    pub incarnation: u64,
    /// The attempts that they start.
    pub starts: Vec<(TaskId, u64)>,
}

/// What a holder's decisions of one step stand on.
#[derive(Debug, Clone, Copy)]
pub struct HolderEvidence {
    /// When the records of shards were last seen.
    pub records_synced_at: Option<Duration>,
    /// The state service has failed this node for some time.
    pub kv_failing: bool,
    pub cpu_starved: bool,
}

impl Holder {
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
            unreported: BTreeSet::new(),
            alive: BTreeSet::new(),
            alive_since: Duration::ZERO,
            numbers: MachineNumbers::default(),
            stream: 0,
            stream_begun: false,
            sequence: 0,
            sent_messages: VecDeque::new(),
            status_in_flight: false,
            status_sent_at: Duration::ZERO,
            next_status_at: Duration::ZERO,
            next_machine_scan_at: Duration::ZERO,
            cpu_starved: false,
        }
    }

    /// Takes in the records: which shards this node holds, and under which epoch.
    pub fn apply_records(&mut self, table: &ShardTable, effects: &mut EffectSink) {
        let (host, boot) = (&self.settings.host, self.settings.boot_id);
        let own = |known: &plankhead_sharding::table::KnownRecord| known.record.is_held_by(host, boot);
        let held = table.iter().filter(|(_, known)| own(known)).map(|(shard, known)| {
            let held = Held {
                epoch: known.epoch(),
                term: known.record.term,
                releasing: known.record.moving.is_some(),
            };
            (shard.clone(), held)
        });
        let held: BTreeMap<ShardId, Held> = held.collect();
        let per_zone = table.iter().map(|(shard, known)| (shard.zone.clone(), known.record.shards));
        self.shards_per_zone = per_zone.collect();
        for (shard, now) in &held {
            let before = self.shards.get(shard);
            if before.is_none_or(|before| before.epoch != now.epoch) {
                effects.log(LogLevel::Info, format!("holds shard {shard} under {}", now.epoch));
            }
            // What a former leader ordered is void, and so are starts in a shard that goes.
            let renewed = before.is_some_and(|before| before.term != now.term);
            if renewed || now.releasing {
                self.drop_commands(shard, now.releasing);
            }
        }
        for shard in self.shards.keys().filter(|shard| !held.contains_key(*shard)) {
            effects.log(LogLevel::Info, format!("holds shard {shard} no more"));
        }
        let gone = |shard: &ShardId| !held.contains_key(shard);
        let left: Vec<MachineName> =
            self.shard_of.iter().filter(|(_, shard)| gone(shard)).map(|(host, _)| host.clone()).collect();
        left.iter().for_each(|host| self.forget(host));
        self.commands.retain(|_, commands| held.contains_key(&commands.shard));
        self.shards = held;
    }

    /// Drops commands for a shard's machines; `starts`: only starts.
    fn drop_commands(&mut self, shard: &ShardId, starts: bool) {
        for commands in self.commands.values_mut().filter(|commands| commands.shard == *shard) {
            commands.pending.retain(|order| starts && !matches!(order, WorkerCommand::Run { .. }));
        }
    }

    fn forget(&mut self, host: &MachineName) {
        self.fleet.machines.remove(host);
        self.shard_of.remove(host);
        self.commands.remove(host);
        self.unreported.remove(host);
        self.alive.remove(host);
    }

    /// Notes who leads. A new leader is told of all machines at once.
    pub fn set_leader(&mut self, leader: Option<LeaderId>, now: Duration) {
        let Some(LeaderId { host, token }) = leader else { return };
        if self.leader.as_ref().is_some_and(|known| known.token >= token) {
            return;
        }
        self.leader = Some(KnownLeader { host, token, known_since: now, unsupported: false });
        self.restart_stream();
        self.next_status_at = now;
        // Orders of a former leader are void from here on, whoever renews the records.
        for commands in self.commands.values_mut() {
            commands.pending.clear();
        }
    }

    /// All machines are told of anew, under new numbers.
    fn restart_stream(&mut self) {
        self.stream += 1;
        self.stream_begun = false;
        self.numbers = MachineNumbers::default();
        self.alive.clear();
        self.unreported = self.fleet.machines.keys().cloned().collect();
    }

    /// The epoch under which this node acts for a shard.
    pub fn epoch(&self, shard: &ShardId, now: Duration) -> Option<u64> {
        let held = self.shards.get(shard)?;
        if self.superseded.get(shard).is_some_and(|epoch| held.epoch <= *epoch) {
            return None;
        }
        let current = self.leader.as_ref().is_none_or(|leader| {
            let renewed = held.term >= leader.token;
            renewed || !leader.unsupported && now.saturating_sub(leader.known_since) < FORMER_TERM
        });
        current.then_some(held.epoch)
    }

    /// Whether a report should wait until the jobs are read.
    pub fn is_loading(&self) -> bool {
        self.jobs.is_loading()
    }

    fn freshness(&self, evidence: HolderEvidence) -> Freshness {
        Freshness { jobs: self.jobs.synced_at(), records: evidence.records_synced_at }
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
        let evidence = self.freshness(evidence);
        let epoch = shard_epoch.epoch;
        let heard = self.observe_machine(now, heartbeat, shard_epoch, false);
        let settings = &self.settings;
        if !evidence.may_renew(now, settings.worker_lease, settings.cancel_within) {
            return Response::Unavailable { retry_after: Duration::from_secs(1) };
        }
        let orders = self.commands_for(&heartbeat.machine, evidence, now);
        let Some(machine) =
            self.fleet.machines.get_mut(&heartbeat.machine).filter(|_| heard != HeartbeatNews::Stale)
        else {
            // A copy gets no orders, nor counts as heard.
            return Response::Commands { token: epoch, commands: Vec::new() };
        };
        machine.is_relayed = path.relayed;
        if machine.take_redirect(path.is_cut_off, self.settings.worker_lease, now) {
            return Response::Redirect { leader: None };
        }
        machine.record_response(&orders, now);
        Response::Commands { token: epoch, commands: orders }
    }

    /// Takes in a report; `ours`: it answers a command of ours.
    fn observe_machine(
        &mut self,
        now: Duration,
        heartbeat: &Heartbeat,
        ShardEpoch { shard, epoch }: ShardEpoch,
        ours: bool,
    ) -> HeartbeatNews {
        let heard = match ours {
            true => self.fleet.observe_command_reply(heartbeat, epoch, now),
            false => self.fleet.observe_heartbeat(heartbeat, epoch, now),
        };
        let host = &heartbeat.machine;
        match heard {
            HeartbeatNews::Stale => return heard,
            HeartbeatNews::Unchanged => {
                if self.alive.is_empty() {
                    self.alive_since = now;
                }
                self.alive.insert(host.clone());
            }
            HeartbeatNews::Changed => {
                self.unreported.insert(host.clone());
            }
        }
        self.shard_of.insert(host.clone(), shard);
        self.drop_carried_out(heartbeat);
        heard
    }

    pub fn tick(&mut self, times: StepTime, evidence: HolderEvidence, effects: &mut EffectSink) {
        let now = times.now;
        self.cpu_starved = evidence.cpu_starved;
        self.jobs.tick(now, effects);
        if now >= self.next_machine_scan_at {
            self.next_machine_scan_at = now + LOOK;
            let silent = |machine: &&Machine| now.saturating_sub(machine.last_heard_at) > FORGET;
            let silent: Vec<MachineName> =
                self.fleet.machines.values().filter(silent).map(|machine| machine.name.clone()).collect();
            silent.iter().for_each(|host| self.forget(host));
            self.probe_late_machines(now, effects);
        }
        self.send_news_soon(now);
        self.send_status(now, evidence, effects);
    }

    pub fn next_due(&self) -> Duration {
        let jobs = self.jobs.next_due().unwrap_or(Duration::MAX);
        let heartbeat = if self.status_in_flight { Duration::MAX } else { self.next_status_at };
        let look = if self.fleet.machines.is_empty() { Duration::MAX } else { self.next_machine_scan_at };
        jobs.min(heartbeat).min(look)
    }

    pub fn kv_reply(
        &mut self,
        now: Duration,
        step: KeyWatchCall,
        reply: Result<KvReply, CallError>,
        requests: &mut RequestHandler,
        evidence: HolderEvidence,
        effects: &mut EffectSink,
    ) {
        let news = self.jobs.reply(now, step, reply, requests);
        if !news.ended.is_empty() {
            let over = |order: &WorkerCommand| matches!(order, WorkerCommand::Run { task, .. } if news.ended.contains(&task.job));
            self.commands.values_mut().for_each(|commands| commands.pending.retain(|order| !over(order)));
        }
        if news.cancelled {
            self.kill_cancelled(now, evidence, effects);
        }
    }

    /// The machines' newest reports, for the leader that this node becomes.
    pub fn machines(&self) -> impl Iterator<Item = &Machine> {
        self.fleet.machines.values()
    }

    pub fn view(&self, now: Duration) -> serde_json::Value {
        let shards: Vec<serde_json::Value> = self
            .shards
            .iter()
            .map(|(shard, held)| {
                let machines = self.shard_of.values().filter(|of| *of == shard).count();
                serde_json::json!({"shard": shard.to_string(), "epoch": held.epoch, "term": held.term,
                    "releasing": held.releasing, "machines": machines,
                    "acts": self.epoch(shard, now).is_some()})
            })
            .collect();
        serde_json::json!({"shards": shards, "refused": self.refused,
            "jobsSeenS": self.jobs.synced_at().map(|at| now.saturating_sub(at).as_secs_f64())})
    }
}
