//! One controller node: requests of users, the election, and the roles of leader and holder
//! while it has them.
//!
//! [`Node::step`] is the only entry: it takes events, lets the parts act, and returns the
//! effects that they decided on.

mod heartbeats;
mod kv_health;
mod leadership;
mod machine_types;
mod peers;
mod reachability;
mod replies;
mod shards;
mod view;

use crate::effects::{EffectSink, StepTime};
use crate::leader::Leader;
use crate::leadership::election::Election;
use crate::leadership::version_barrier::VersionBarrier;
use crate::protocol::{Effect, Event, JobProgress, PeerHeartbeat, Response};
use crate::reachability::Reachability;
use crate::requests::{RequestHandler, Submission, SubmissionContext};
use crate::settings::Settings;
use crate::sizing::cpu_budget::CpuBudget;
use heartbeats::{DeferredHeartbeat, RedirectedWorkers};
use kv_health::KvHealth;
use machine_types::MachineTypeList;
use peers::Peers;
use plankhead_fencing::token::TokenGuard;
use plankhead_reachability::mode::Mode;
use shards::Sharding;
use std::sync::Arc;
use std::time::Duration;

/// The state service must have failed a node for this long before the node sends its users
/// elsewhere.
const UNHEALTHY_AFTER: Duration = Duration::from_secs(3);
/// Jobs whose progress one peer heartbeat tells: all that a fleet of two thousand machines
/// works on. Other nodes show those left out as queued.
pub const MAX_PROGRESS: usize = 2_000;
/// Jobs whose progress is read from one peer heartbeat: a later version may tell more, for
/// fleets of four thousand machines.
pub const MAX_PROGRESS_READ: usize = 8_192;

/// A process whose timers are later than this lacks processor time.
const MAX_TIMER_LAG: Duration = Duration::from_millis(100);

/// How soon what waits for a budget, or for the state service, is looked at again.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// A step that no event asked for comes at least this long after the one before.
const MIN_WAKE_INTERVAL: Duration = Duration::from_millis(10);

/// A controller node.
#[derive(Debug)]
pub struct Node {
    settings: Arc<Settings>,
    effects: EffectSink,
    requests: RequestHandler,
    election: Election,
    version_barrier: VersionBarrier,
    /// The leader's role, while this node has it.
    leader: Option<Leader>,
    machine_types: MachineTypeList,
    peers: Peers,
    kv_health: KvHealth,
    redirected_workers: RedirectedWorkers,
    deferred_heartbeats: Vec<DeferredHeartbeat>,
    /// The highest fencing token that anything showed.
    token_guard: TokenGuard,
    /// How late the process's timers are.
    timer_lag: Duration,
    next_reachability_check_at: Duration,
    /// Its part in sharding, where that is on.
    sharding: Option<Box<Sharding>>,
    /// Which links work, where that is judged; made at the first step, which has the time.
    reachability: Option<Reachability>,
}

impl Node {
    /// A node that has just started and knows nothing of the cluster yet.
    pub fn new(settings: Settings) -> Self {
        let settings = Arc::new(settings);
        let sharding = settings.sharding.enabled.then(|| Box::new(Sharding::new(settings.clone())));
        Self {
            requests: RequestHandler::new(settings.clone()),
            election: Election::new(
                settings.host.clone(),
                settings.boot_id,
                CpuBudget::new(settings.cpu_share).leader_lease(),
            ),
            version_barrier: VersionBarrier::new(&settings),
            peers: Peers::new(settings.clone()),
            settings,
            effects: EffectSink::default(),
            leader: None,
            machine_types: MachineTypeList::default(),
            kv_health: KvHealth::default(),
            redirected_workers: RedirectedWorkers::default(),
            deferred_heartbeats: Vec::new(),
            token_guard: TokenGuard::default(),
            timer_lag: Duration::ZERO,
            next_reachability_check_at: Duration::ZERO,
            reachability: None,
            sharding,
        }
    }

    /// Whether users should be sent here. A node that only it can't reach the state service
    /// sends them to its peers, and so does one that hears no peer at all; when the state
    /// service fails all nodes, none does.
    pub fn is_healthy(&self, now: Duration) -> bool {
        let kv_failing = self.kv_health.is_failing_for_longer_than(UNHEALTHY_AFTER, now);
        !(kv_failing && (self.peers.any_reaches_kv(now) || self.peers.hears_none(now)))
    }

    /// The mode that the links give, where they are judged.
    pub fn mode(&self) -> Option<Mode> {
        self.reachability.as_ref().map(Reachability::mode)
    }

    /// Sets how late the process's timers are for want of processor time, so that work that
    /// can wait gives way.
    pub fn set_timer_lag(&mut self, lag: Duration) {
        self.timer_lag = lag;
    }

    fn is_cpu_starved(&self) -> bool {
        self.timer_lag > MAX_TIMER_LAG
    }

    /// Handles a batch of events, lets every part act that is due, and returns the effects
    /// in the order in which they were decided on.
    pub fn step(&mut self, times: StepTime, batch: Vec<Event>) -> Vec<Effect> {
        self.init_reachability(times.now);
        for event in batch {
            self.handle_event(times, event);
        }
        self.judge_reachability(times.now);
        self.tick(times);
        self.tick_reachability(times);
        if let Some(reachability) = &mut self.reachability {
            reachability.calls_sent(&self.effects.queued, times.now);
        }
        std::mem::take(&mut self.effects.queued)
    }

    /// When [`Node::step`] is to be called next if no event comes before. Each step without
    /// need costs the process as much as a heartbeat.
    pub fn next_wake(&self, now: Duration) -> Duration {
        let retry = now + RETRY_INTERVAL;
        let dues = [
            self.election.next_due(),
            self.version_barrier.next_due(),
            self.machine_types.next_due(),
            self.deferred_heartbeats.iter().map(|deferred| deferred.until).min(),
            self.requests.has_queued().then_some(retry),
            self.leader.as_ref().map(|leader| leader.next_due(now, retry)),
            self.reachability.as_ref().map(|reachability| reachability.next_due(now)),
            self.next_sharding_due(),
        ];
        let next = dues.into_iter().flatten().fold(self.peers.next_due(), Duration::min);
        next.max(now + MIN_WAKE_INTERVAL)
    }

    fn handle_event(&mut self, times: StepTime, event: Event) {
        let now = times.now;
        match event {
            Event::Submit { request, id, job } => {
                let context = SubmissionContext {
                    machine_types: self.machine_types.by_name(),
                    gangs_allowed: self.version_barrier.is_open(),
                };
                let submission = Submission { request, id, job };
                self.requests.submit(times, submission, context, &mut self.effects);
            }
            Event::Poll { request, id } => self.requests.poll(now, request, id, &mut self.effects),
            Event::Cancel { request, id } => {
                self.requests.cancel_requested(now, request, id, &mut self.effects)
            }
            Event::Heartbeat { request, heartbeat, relayed } => {
                self.receive_heartbeat(times, request, heartbeat, relayed)
            }
            Event::KvReply { call, reply } => self.handle_kv_reply(times, call, reply),
            Event::CloudReply { call, reply } => self.handle_cloud_reply(times, call, reply),
            Event::CommandReply { call, reply } => self.handle_command_reply(times, call, reply),
            Event::ShardMessage { request, message } => {
                let delivery = self.handle_shard_message(times, message);
                self.effects.respond(request, Response::ShardMessageDelivery(delivery));
            }
            Event::ShardMessageDelivery { call, delivery } => {
                self.handle_shard_message_delivery(now, call, delivery)
            }
            Event::PeerHeartbeat(heartbeat) => self.handle_peer_heartbeat(times, heartbeat),
            Event::Coverage(coverage) => self.handle_coverage(now, coverage),
            Event::PeerDelivery { host, confirmed } => self.handle_peer_delivery(now, &host, confirmed),
            Event::View { request } => {
                let view = self.view(times);
                self.effects.respond(request, Response::View(view));
            }
        }
    }

    /// Lets every part act that is due. The order decides the order of the effects.
    fn tick(&mut self, times: StepTime) {
        let now = times.now;
        self.election.tick(now, &mut self.effects);
        self.version_barrier.tick(now, &mut self.effects);
        self.machine_types.tick(now, &mut self.effects);
        self.requests.tick(times, &mut self.effects);
        self.tick_sharding(times);
        let evidence = self.leader_evidence(now);
        self.tick_leader(times, evidence);
        if !self.deferred_heartbeats.is_empty() {
            self.answer_deferred(times);
        }
        self.step_down_if_isolated(times, evidence);
        if self.peers.take_heartbeat_due(now) {
            self.send_peer_heartbeat();
        }
    }

    fn send_peer_heartbeat(&mut self) {
        let progress: Vec<JobProgress> = match &self.leader {
            Some(leader) => leader.all_progress(MAX_PROGRESS),
            None => Vec::new(),
        };
        self.effects.queued.push(Effect::SendPeerHeartbeat(PeerHeartbeat {
            host: self.settings.host.clone(),
            kv_available: self.kv_health.is_available(),
            token: self.leader.as_ref().map_or(0, |leader| leader.token),
            progress,
        }));
    }
}
