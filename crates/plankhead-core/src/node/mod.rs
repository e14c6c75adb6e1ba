//! A controller node: user requests, the leader election, and the leader and holder roles while the
//! node has them.
//!
//! [`Node::step`] is the entry point for all events: it handles a batch of them, runs the work that
//! is due, and returns the resulting effects.

mod heartbeats;
mod kv_health;
mod leadership;
mod machine_types;
mod peers;
mod reachability;
mod reclaim;
mod replies;
mod shards;
mod tokens;
mod view;

use crate::effects::{EffectSink, StepTime};
use crate::leader::Leader;
use crate::leadership::election::Election;
use crate::leadership::version_barrier::VersionBarrier;
use crate::protocol::{Effect, Event, JobProgress, PeerHeartbeat, Response};
use crate::reachability::Reachability;
use crate::reclaim::Reclaimer;
use crate::requests::{RequestHandler, Submission, SubmissionContext};
use crate::settings::Settings;
use crate::sizing::cpu_budget::CpuBudget;
use crate::token_range::TermEvidence;
use heartbeats::{DeferredHeartbeat, RedirectedWorkers};
use kv_health::KvHealth;
use machine_types::MachineTypeList;
use peers::Peers;
use plankhead_fencing::token::TokenGuard;
use plankhead_reachability::mode::Mode;
use shards::Sharding;
use std::sync::Arc;
use std::time::Duration;
use tokens::TermCheck;

/// How long this node's calls to the state service must have been failing before the node may report
/// itself as unhealthy.
const UNHEALTHY_AFTER: Duration = Duration::from_secs(3);
/// The maximum number of jobs whose progress is sent in one peer heartbeat: all jobs in progress on
/// a fleet of 2,000 machines. Other nodes report the jobs left out as queued.
pub const MAX_SENT_PROGRESS_ENTRIES: usize = 2_000;
/// The maximum number of jobs whose progress is accepted in one peer heartbeat. It exceeds the
/// number sent because later versions may send more, for fleets of 4,000 machines.
pub const MAX_ACCEPTED_PROGRESS_ENTRIES: usize = 8_192;

/// A process whose timers fire later than this is short of CPU time.
const MAX_TIMER_LAG: Duration = Duration::from_millis(100);

/// The delay before work that waits for a budget or for the state service is tried again.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// The minimum time between a step and the next one, if no event requires it earlier.
const MIN_WAKE_INTERVAL: Duration = Duration::from_millis(10);

/// A controller node.
#[derive(Debug)]
pub struct Node {
    settings: Arc<Settings>,
    effects: EffectSink,
    requests: RequestHandler,
    election: Election,
    version_barrier: VersionBarrier,
    /// The leader role, while this node leads.
    leader: Option<Leader>,
    machine_types: MachineTypeList,
    peers: Peers,
    kv_health: KvHealth,
    redirected_workers: RedirectedWorkers,
    deferred_heartbeats: Vec<DeferredHeartbeat>,
    /// Tracks the highest fencing token seen.
    token_guard: TokenGuard,
    /// The latest leader's term, and how far it is known to have been in force.
    term_evidence: TermEvidence,
    term_check: TermCheck,
    /// How late the process's timers fire.
    timer_lag: Duration,
    next_reachability_check_at: Duration,
    /// The state for sharding, if it is enabled.
    sharding: Option<Box<Sharding>>,
    /// Returns machines with tasks of cancelled jobs while no node can lead.
    reclaimer: Reclaimer,
    /// Monitors which links work, if reachability is enabled. Created at the first step, because it
    /// needs the current time, which [`Node::new`] is not given.
    reachability: Option<Reachability>,
}

impl Node {
    /// Creates a node that has just started and knows nothing about the cluster yet.
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
            reclaimer: Reclaimer::new(settings.clone()),
            settings,
            effects: EffectSink::default(),
            leader: None,
            machine_types: MachineTypeList::default(),
            kv_health: KvHealth::default(),
            redirected_workers: RedirectedWorkers::default(),
            deferred_heartbeats: Vec::new(),
            token_guard: TokenGuard::default(),
            term_evidence: TermEvidence::default(),
            term_check: TermCheck::default(),
            timer_lag: Duration::ZERO,
            next_reachability_check_at: Duration::ZERO,
            reachability: None,
            sharding,
        }
    }

    /// Whether users should send their requests to this node. It is unhealthy if its calls to the state
    /// service have been failing for some time and either a peer still reaches the state service or no peer's
    /// heartbeats arrive. If the calls of all nodes fail and their heartbeats arrive, all stay healthy.
    pub fn is_healthy(&self, now: Duration) -> bool {
        let kv_failing = self.kv_health.is_failing_for_longer_than(UNHEALTHY_AFTER, now);
        !(kv_failing && (self.peers.any_reaches_kv(now) || self.peers.all_silent(now)))
    }

    /// Returns the reachability mode; `None` if reachability is disabled or before the first step.
    pub fn mode(&self) -> Option<Mode> {
        self.reachability.as_ref().map(Reachability::mode)
    }

    /// Sets how late the process's timers fire. A large lag shows a lack of CPU time, and work that can
    /// wait is then postponed.
    pub fn set_timer_lag(&mut self, lag: Duration) {
        self.timer_lag = lag;
    }

    fn is_cpu_starved(&self) -> bool {
        self.timer_lag > MAX_TIMER_LAG
    }

    /// Handles a batch of events, runs the work that is due, and returns the effects in the order in
    /// which they were decided.
    pub fn step(&mut self, times: StepTime, batch: Vec<Event>) -> Vec<Effect> {
        self.init_reachability(times.now);
        for event in batch {
            self.handle_event(times, event);
        }
        self.evaluate_links(times.now);
        self.tick(times);
        self.tick_reachability(times);
        if let Some(reachability) = &mut self.reachability {
            reachability.calls_sent(&self.effects.queued, times.now);
        }
        std::mem::take(&mut self.effects.queued)
    }

    /// Returns when [`Node::step`] must be called next if no event arrives before. This is at least
    /// `MIN_WAKE_INTERVAL` after `now`, because a step without due work costs as much CPU time as one
    /// that handles a heartbeat.
    pub fn next_wake(&self, now: Duration) -> Duration {
        let retry = now + RETRY_INTERVAL;
        let due_times = [
            self.election.next_due(),
            self.version_barrier.next_due(),
            self.machine_types.next_due(),
            self.deferred_heartbeats.iter().map(|deferred| deferred.deadline).min(),
            self.next_term_check_due(),
            self.requests.has_queued().then_some(retry),
            self.leader.as_ref().map(|leader| leader.next_due(now, retry)),
            self.reachability.as_ref().map(|reachability| reachability.next_due(now)),
            self.next_sharding_due(),
            self.next_reclaim_due(),
        ];
        let next = due_times.into_iter().flatten().fold(self.peers.next_due(), Duration::min);
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
            Event::Poll { request, id } => {
                self.requests.status_requested(now, request, id, &mut self.effects)
            }
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

    /// Runs the work that is due. The order of the calls determines the order of the effects.
    fn tick(&mut self, times: StepTime) {
        let now = times.now;
        self.election.tick(now, &mut self.effects);
        self.version_barrier.tick(now, &mut self.effects);
        self.machine_types.tick(now, &mut self.effects);
        self.requests.tick(times, &mut self.effects);
        self.tick_sharding(times);
        let evidence = self.leader_evidence(now);
        self.tick_leader(times, evidence);
        self.tick_reclaimer(times);
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
            Some(leader) => leader.all_progress(MAX_SENT_PROGRESS_ENTRIES),
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
