//! One controller node: requests of users, the election, and the leader's role
//! while it has it.

mod heartbeats;
mod shards;

use crate::calls::{CallPurpose, PendingRequest};
use crate::effects::{EffectSink, StepTime};
use crate::jobs::job::JobId;
use crate::leader::{Leader, LeaderEvidence};
use crate::leadership::election::{Election, LeadershipChange};
use crate::leadership::version_barrier::VersionBarrier;
use crate::protocol::{
    CallError, CloudReply, CloudRequest, Effect, Event, JobProgress, KvReply, LogLevel, MachineName,
    MachineType, PeerHeartbeat, Response,
};
use crate::reachability::{LeaderFacts, Reachability};
use crate::requests::RequestHandler;
use crate::settings::Settings;
use crate::sizing::cpu_budget::CpuBudget;
use heartbeats::Held;
use plankhead_fencing::token::TokenGuard;
use plankhead_reachability::coverage::{Coverage, CoverageError, KnownLeader};
use plankhead_reachability::mode::Mode;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// How often siblings hear from a node.
const PULSE: Duration = Duration::from_secs(1);
/// A sibling not heard of for this long says nothing any more.
const PULSE_LIFE: Duration = Duration::from_secs(3);
/// The state service must have failed a node for this long before the node
/// sends its users elsewhere.
const REFUSED: Duration = Duration::from_secs(3);
/// A failure of the state service that lasted longer is logged.
const TELL_OUTAGE: Duration = Duration::from_secs(2);
/// Pause between attempts to read the catalog, and between refreshes.
const CATALOG_RETRY: Duration = Duration::from_secs(1);
const CATALOG_AGE: Duration = Duration::from_secs(300);
/// Jobs whose progress one pulse tells: all that a fleet of two thousand machines
/// works on. Other nodes show those left out as queued.
pub const MAX_PROGRESS: usize = 2_000;
/// Jobs whose progress is taken in from one pulse: a later version may tell more, for
/// fleets of four thousand machines.
pub const MAX_PROGRESS_READ: usize = 8_192;

/// A process whose timers are later than this is behind.
const BEHIND: Duration = Duration::from_millis(100);

/// How often the node's reach is looked at while it leads.
const REACH_LOOK: Duration = Duration::from_millis(500);

/// How soon what waits for a budget, or for the state service, is looked at again.
const RETRY_WAKE: Duration = Duration::from_millis(50);
/// A step that nothing asked for comes at least this long after the one before.
const MIN_WAKE: Duration = Duration::from_millis(10);

#[derive(Debug)]
pub struct Node {
    settings: Arc<Settings>,
    effects: EffectSink,
    requests: RequestHandler,
    election: Election,
    version_barrier: VersionBarrier,
    leader: Option<Leader>,
    machine_types: BTreeMap<String, MachineType>,
    next_machine_type_list_at: Duration,
    machine_type_list_in_flight: bool,
    next_peer_heartbeat_at: Duration,
    peer_heartbeats: HashMap<String, (Duration, PeerHeartbeat)>,
    /// Since when the state service has failed every call.
    kv_failing_since: Option<Duration>,
    /// Workers sent to a leader: under which token, and when.
    redirected_workers: HashMap<MachineName, (u64, Duration)>,
    deferred_heartbeats: Vec<Held>,
    /// The highest fencing token that anything showed.
    token_guard: TokenGuard,
    /// How far the process is behind.
    timer_lag: Duration,
    /// When the reach is looked at next.
    next_reachability_check_at: Duration,
    /// Its part in divided machines, where they are.
    sharding: Option<Box<shards::Sharding>>,
    /// What this node reaches; made at the first step, which has the time.
    reachability: Option<Reachability>,
}

impl Node {
    pub fn new(settings: Settings) -> Self {
        let settings = Arc::new(settings);
        let divided = settings.sharding.enabled;
        let sharding = divided.then(|| Box::new(shards::Sharding::new(settings.clone())));
        Self {
            requests: RequestHandler::new(settings.clone()),
            election: Election::new(
                settings.host.clone(),
                settings.boot_id,
                CpuBudget::new(settings.cpu_share).leader_lease(),
            ),
            version_barrier: VersionBarrier::new(&settings),
            settings,
            effects: EffectSink::default(),
            leader: None,
            machine_types: BTreeMap::new(),
            next_machine_type_list_at: Duration::ZERO,
            machine_type_list_in_flight: false,
            next_peer_heartbeat_at: Duration::ZERO,
            peer_heartbeats: HashMap::new(),
            kv_failing_since: None,
            redirected_workers: HashMap::new(),
            deferred_heartbeats: Vec::new(),
            token_guard: TokenGuard::default(),
            timer_lag: Duration::ZERO,
            next_reachability_check_at: Duration::ZERO,
            reachability: None,
            sharding,
        }
    }

    /// Whether users should be sent here. A node that the state service alone
    /// refuses sends them to its siblings, and so does one that hears nobody at
    /// all; when the state service fails all, nobody does.
    pub fn is_healthy(&self, now: Duration) -> bool {
        let refused = self.kv_failing_since.is_some_and(|since| now.saturating_sub(since) > REFUSED);
        let better = self
            .peer_heartbeats
            .values()
            .any(|(at, peer_heartbeat)| now.saturating_sub(*at) < PULSE_LIFE && peer_heartbeat.kv_available);
        let alone = !self.settings.peers.is_empty() && !self.hears_a_peer(now);
        !(refused && (better || alone))
    }

    /// Which sides this node sees, where that is judged.
    pub fn mode(&self) -> Option<Mode> {
        self.reachability.as_ref().map(Reachability::mode)
    }

    /// Tells how far the process is behind for want of processor time, so that what can
    /// wait gives way.
    pub fn set_timer_lag(&mut self, lag: Duration) {
        self.timer_lag = lag;
    }

    pub fn step(&mut self, times: StepTime, batch: Vec<Event>) -> Vec<Effect> {
        if self.reachability.is_none() && self.settings.reachability.enabled {
            self.reachability = Some(Reachability::new(self.settings.clone(), times.now));
        }
        for event in batch {
            self.handle_event(times, event);
        }
        self.judge_reachability(times.now);
        self.tick(times);
        self.tick_reachability(times);
        if let Some(reach) = &mut self.reachability {
            reach.calls_sent(&self.effects.queued, times.now);
        }
        std::mem::take(&mut self.effects.queued)
    }

    /// Judges the links before anything is decided.
    fn judge_reachability(&mut self, now: Duration) {
        let Some(reach) = self.reachability.as_mut().filter(|reach| reach.is_due(now)) else { return };
        let machines = self.leader.as_ref().map_or(0, Leader::machines_expected);
        reach.judge(machines, now, &mut self.effects);
        self.requests.set_permissions(reach.user_permissions());
        let holds_back = reach.defers_to_peers(now);
        self.election.set_defers_to_peers(holds_back);
    }

    fn reachability_facts(&self, now: Duration) -> Option<LeaderFacts> {
        let steady = self.election.is_lease_undisputed(now);
        self.leader.as_ref().map(|leader| leader.reachability_facts(now, steady))
    }

    /// Tells the others of this node's reach, numbers machines, and hands the lease over
    /// to a node that sees more.
    fn tick_reachability(&mut self, times: StepTime) {
        let now = times.now;
        let news = self.reachability.as_ref().is_some_and(|reach| reach.next_coverage_due() <= now);
        if !news && now < self.next_reachability_check_at {
            return;
        }
        self.next_reachability_check_at = now + REACH_LOOK;
        let facts = self.reachability_facts(now);
        let Some(reach) = &mut self.reachability else { return };
        reach.tick(facts.as_ref(), now, &mut self.effects);
        let (Some(leader), Some(facts)) = (&mut self.leader, facts) else { return };
        if facts.lease_undisputed && reach.take_numbering_check(now) {
            reach.write_numbering(&leader.machine_names(), facts.token, &mut self.effects);
        }
        leader.record_heard_by_peers(now, |host| reach.heard_by_a_peer(host, now));
        if let Some(successor) = reach.successor(&facts, now, &mut self.effects) {
            self.effects.log(LogLevel::Info, format!("hands the lease over to {successor}, which sees more"));
            let verdict = self.election.step_down_for_peers(now, &mut self.effects);
            self.apply_leadership(times, verdict);
        }
    }

    /// A peer's coverage came, or was refused on the way.
    fn handle_coverage(&mut self, now: Duration, coverage: Result<Box<Coverage>, CoverageError>) {
        let holder = match (&self.leader, &self.election.known_leader) {
            (Some(leader), _) => Some(KnownLeader { host: &self.settings.host, token: leader.token }),
            (None, Some((host, token))) => Some(KnownLeader { host, token: *token }),
            (None, None) => None,
        };
        if let Some(reach) = &mut self.reachability {
            reach.coverage_received(coverage.map(|coverage| *coverage), holder, now, &mut self.effects);
        }
    }

    /// When [`Node::step`] is to be called next if no event comes before. Whatever a
    /// process does at fixed times without need costs it as much as a report.
    pub fn next_wake(&self, now: Duration) -> Duration {
        let retry = now + RETRY_WAKE;
        let catalog = (!self.machine_type_list_in_flight).then_some(self.next_machine_type_list_at);
        let held = self.deferred_heartbeats.iter().map(|held| held.until).min();
        let waiting = self.requests.has_queued().then_some(retry);
        let leader = self.leader.as_ref().map(|leader| leader.next_due(now, retry));
        let dues =
            [self.election.next_due(), self.version_barrier.next_due(), catalog, held, waiting, leader];
        let reach = self.reachability.as_ref().map(|reach| reach.next_due(now));
        let next = dues
            .into_iter()
            .chain([reach, self.next_sharding_due()])
            .flatten()
            .fold(self.next_peer_heartbeat_at, Duration::min);
        next.max(now + MIN_WAKE)
    }

    fn handle_event(&mut self, times: StepTime, event: Event) {
        let now = times.now;
        match event {
            Event::Submit { request, id, job } => {
                let takes = (&self.machine_types, self.version_barrier.open());
                self.requests.submit(times, request, id, job, takes, &mut self.effects);
            }
            Event::Poll { request, id } => self.requests.poll(now, request, id, &mut self.effects),
            Event::Cancel { request, id } => {
                self.requests.cancel_requested(now, request, id, &mut self.effects)
            }
            Event::Heartbeat { request, heartbeat, relayed } => {
                let Some(heartbeat) = self.defer_heartbeat(now, request, heartbeat, relayed) else { return };
                let answer = self.handle_heartbeat(times, heartbeat, relayed);
                self.effects.respond(request, answer);
            }
            Event::KvReply { call, reply } => {
                if let Some(reach) = &mut self.reachability {
                    reach.kv_reply(call, &reply, now);
                }
                match &reply {
                    Ok(_) => {
                        let effects = self.kv_failing_since.take().map(|since| now.saturating_sub(since));
                        if let Some(long) = effects.filter(|long| *long > TELL_OUTAGE) {
                            let text = format!("the state service failed for {} s", long.as_secs());
                            self.effects.log(LogLevel::Info, text);
                        }
                    }
                    Err(CallError::RateLimited) => {}
                    Err(CallError::TooLarge) => {
                        self.effects
                            .log(LogLevel::Error, "a change was larger than is allowed by now".into());
                        let news = self.version_barrier.open_barrier(&mut self.effects);
                        self.barrier_checked(news);
                    }
                    Err(_) => {
                        self.kv_failing_since.get_or_insert(now);
                    }
                }
                match self.effects.calls_in_flight.remove(&call) {
                    Some(CallPurpose::Election(step)) => {
                        let verdict = self.election.reply(now, step, reply, &mut self.effects);
                        self.apply_leadership(times, verdict);
                    }
                    Some(CallPurpose::VersionBarrier(step)) => {
                        let news = self.version_barrier.reply(step, reply, &mut self.effects);
                        self.barrier_checked(news);
                    }
                    Some(CallPurpose::Reachability(reach_call)) => {
                        if let Some(reach) = &mut self.reachability {
                            reach.reply(reach_call, reply, now, &mut self.effects);
                        }
                    }
                    Some(CallPurpose::UserRequest(request)) => self.user_request_reply(times, request, reply),
                    Some(CallPurpose::ShardRecords(step)) => self.shard_records_reply(now, step, reply),
                    Some(CallPurpose::Holder(call)) => self.holder_kv_reply(now, call, reply),
                    Some(CallPurpose::Leader(token, leader_call)) => {
                        if let Some(leader) = self.leader.as_mut().filter(|l| l.token == token) {
                            if !leader.kv_reply(
                                times,
                                leader_call,
                                reply,
                                &mut self.requests,
                                &mut self.effects,
                            ) {
                                let verdict = self.election.release_lease(&mut self.effects);
                                self.apply_leadership(times, verdict);
                            }
                        }
                    }
                    _ => {}
                }
            }
            Event::CloudReply { call, reply } => {
                if let Some(reach) = &mut self.reachability {
                    reach.cloud_reply(call, &reply, now);
                }
                match self.effects.calls_in_flight.remove(&call) {
                    Some(CallPurpose::MachineTypes) => self.machine_types_reply(now, reply),
                    Some(CallPurpose::Leader(token, leader_call)) => {
                        if let Some(leader) = self.leader.as_mut().filter(|l| l.token == token) {
                            leader.cloud_reply(times, leader_call, reply, &mut self.effects);
                        }
                    }
                    _ => {}
                }
            }
            Event::CommandReply { call, reply } => {
                if let Some(reach) = &mut self.reachability {
                    reach.command_reply(call, &reply, now);
                }
                match self.effects.calls_in_flight.remove(&call) {
                    Some(CallPurpose::Leader(token, leader_call)) => {
                        if let Some(leader) = self.leader.as_mut().filter(|l| l.token == token) {
                            leader.command_reply(times, leader_call, reply, &mut self.effects);
                        }
                    }
                    Some(CallPurpose::Holder(call)) => self.holder_command_reply(now, call, reply),
                    _ => {}
                }
            }
            Event::ShardMessage { request, message } => {
                let delivery = self.handle_shard_message(times, message);
                self.effects.respond(request, Response::ShardMessageDelivery(delivery));
            }
            Event::ShardMessageDelivery { call, delivery } => {
                self.shard_message_delivered(now, call, delivery)
            }
            Event::PeerHeartbeat(peer_heartbeat) => self.handle_peer_heartbeat(times, peer_heartbeat),
            Event::Coverage(coverage) => self.handle_coverage(now, coverage),
            Event::PeerDelivery { host, confirmed } => {
                if let Some(reach) = &mut self.reachability {
                    reach.peer_delivery(&host, confirmed, now);
                }
            }
            Event::View { request } => {
                let view = self.view(times);
                self.effects.respond(request, Response::View(view));
            }
        }
    }

    fn user_request_reply(
        &mut self,
        times: StepTime,
        request: PendingRequest,
        reply: Result<KvReply, CallError>,
    ) {
        let leader = self.leader.as_ref();
        let progress = |id: &JobId| leader.and_then(|l| l.progress(id));
        let news = self.requests.reply(times, request, reply, &progress, &mut self.effects);
        if let Some(leader) = &mut self.leader {
            for row in news {
                leader.job_record_changed(times, &row, &mut self.requests);
            }
        }
    }

    fn barrier_checked(&mut self, news: bool) {
        if news {
            self.requests.set_all_nodes_upgraded();
            if let Some(leader) = &mut self.leader {
                leader.set_all_nodes_upgraded();
            }
        }
    }

    fn apply_leadership(&mut self, times: StepTime, verdict: LeadershipChange) {
        match verdict {
            LeadershipChange::Unchanged => {}
            LeadershipChange::Won { token } => {
                self.token_guard.observe(token);
                self.effects.log(LogLevel::Info, format!("leads under token {token}"));
                let mut leader = Leader::new(self.settings.clone(), token, times.now);
                leader.set_machine_types(self.machine_types.clone());
                if self.version_barrier.open() {
                    leader.set_all_nodes_upgraded();
                }
                leader.begin_loading(times.now, &mut self.effects);
                self.leader = Some(leader);
                self.start_leading_shards(times);
            }
            LeadershipChange::Lost => {
                self.effects.log(LogLevel::Info, "leads no more".into());
                self.leader = None;
                self.resume_holding();
                if let Some(reach) = &mut self.reachability {
                    reach.leadership_lost();
                }
            }
        }
    }

    /// Whether a sibling was heard lately.
    fn hears_a_peer(&self, now: Duration) -> bool {
        self.peer_heartbeats.values().any(|(at, _)| now.saturating_sub(*at) < PULSE_LIFE)
    }

    /// Whether every sibling was heard lately, and none says that it leads.
    fn no_peer_leads(&self, now: Duration) -> bool {
        let there = |name: &String| {
            let heard = self.peer_heartbeats.get(name);
            heard.is_some_and(|(at, peer_heartbeat)| {
                now.saturating_sub(*at) < PULSE_LIFE && peer_heartbeat.token == 0
            })
        };
        self.settings.peers.iter().all(there)
    }

    /// The node that leads, under no earlier token than `least`: by its key, or
    /// by its own word where the state service does not serve us.
    fn known_leader(&self, now: Duration, least: u64) -> Option<(u64, String)> {
        let heard = self.peer_heartbeats.values().filter(|(at, _)| now.saturating_sub(*at) < PULSE_LIFE);
        let told = heard.map(|(_, peer_heartbeat)| (peer_heartbeat.token, &peer_heartbeat.host));
        let read = self.election.known_leader.iter().map(|(host, token)| (*token, host));
        let latest = told.chain(read).filter(|(token, _)| *token > 0 && *token >= least).max();
        latest.map(|(token, host)| (token, host.clone()))
    }

    fn machine_types_reply(&mut self, now: Duration, reply: Result<CloudReply, CallError>) {
        self.machine_type_list_in_flight = false;
        match reply {
            Ok(CloudReply::MachineTypes(machine_types)) if !machine_types.is_empty() => {
                self.machine_types = machine_types.into_iter().map(|r| (r.name.clone(), r)).collect();
                self.next_machine_type_list_at = now + CATALOG_AGE;
                if let Some(leader) = &mut self.leader {
                    leader.set_machine_types(self.machine_types.clone());
                }
            }
            _ => self.next_machine_type_list_at = now + CATALOG_RETRY,
        }
    }

    /// Where fencing is on, what a node that claims to lead under a token that is over tells
    /// of jobs is passed over. It still counts as one that leads where this matters for
    /// workers: it may renew leases of those that know no later token.
    fn drop_stale_claim(&mut self, peer_heartbeat: &mut PeerHeartbeat) {
        if !self.settings.fencing.enabled || peer_heartbeat.token == 0 {
            return;
        }
        if let Err(stale) = self.token_guard.admit(peer_heartbeat.token) {
            let known = self
                .peer_heartbeats
                .get(&peer_heartbeat.host)
                .is_some_and(|(_, before)| before.token == peer_heartbeat.token);
            let level = if known { LogLevel::Debug } else { LogLevel::Info };
            self.effects.log(level, format!("{} claims to lead: {stale}", peer_heartbeat.host));
            peer_heartbeat.progress.clear();
        }
    }

    /// The highest fencing token seen, for adapters that pass answers on; 0 while fencing is
    /// off.
    pub fn highest_token(&self) -> u64 {
        if self.settings.fencing.enabled {
            self.token_guard.highest()
        } else {
            0
        }
    }

    fn handle_peer_heartbeat(&mut self, times: StepTime, mut peer_heartbeat: PeerHeartbeat) {
        if !self.settings.peers.contains(&peer_heartbeat.host) {
            return;
        }
        self.drop_stale_claim(&mut peer_heartbeat);
        // The state service may not serve us, who then would not learn from it
        // that the key is somebody else's, and would hold the workers.
        if self.leader.as_ref().is_some_and(|l| l.token < peer_heartbeat.token) {
            let verdict = self.election.lease_lost();
            self.apply_leadership(times, verdict);
        }
        let now = times.now;
        if let Some(reach) = &mut self.reachability {
            reach.peer_heard(&peer_heartbeat.host, now);
        }
        if peer_heartbeat.token > 0 {
            self.requests.progress(&peer_heartbeat.progress);
        }
        self.peer_heartbeats.insert(peer_heartbeat.host.clone(), (now, peer_heartbeat));
    }

    fn tick(&mut self, times: StepTime) {
        let now = times.now;
        self.election.tick(now, &mut self.effects);
        self.version_barrier.tick(now, &mut self.effects);
        if now >= self.next_machine_type_list_at && !self.machine_type_list_in_flight {
            self.machine_type_list_in_flight = true;
            self.effects.call_cloud(CallPurpose::MachineTypes, CloudRequest::ListMachineTypes);
        }
        self.requests.tick(times, &mut self.effects);
        self.tick_sharding(times);
        let evidence = LeaderEvidence {
            lease_valid: self.election.is_lease_valid(now),
            kv_undisputed: self.election.is_lease_undisputed(now),
            no_peer_leads: self.no_peer_leads(now),
            cpu_starved: self.timer_lag > BEHIND,
            mode: self.reachability.as_ref().map_or(Mode::Whole, Reachability::mode),
            peers_agree: self.reachability.as_ref().is_some_and(|reach| reach.peers_agree(now)),
        };
        if let Some(leader) = &mut self.leader {
            leader.tick(times, evidence, &mut self.requests, &mut self.effects);
        }
        if !self.deferred_heartbeats.is_empty() {
            self.answer_deferred(times);
        }
        // Without the state service nobody could take over, and what this leader knows of
        // cancellations would be lost: it runs out of its key by itself.
        // Where all nodes tell what they hear, that decides who should lead.
        let coverage = self.reachability.as_ref().is_some_and(|reach| reach.is_complete(now));
        let other = evidence.lease_valid && self.hears_a_peer(now) && !coverage;
        if other && self.leader.as_ref().is_some_and(|l| l.is_isolated(now)) {
            self.effects.log(LogLevel::Info, "hears no worker and steps down".into());
            let verdict = self.election.step_down_for_peers(now, &mut self.effects);
            self.apply_leadership(times, verdict);
        }
        if now >= self.next_peer_heartbeat_at {
            self.next_peer_heartbeat_at = now + PULSE;
            let progress: Vec<JobProgress> = match &self.leader {
                Some(leader) => leader.all_progress(MAX_PROGRESS),
                None => Vec::new(),
            };
            self.effects.queued.push(Effect::SendPeerHeartbeat(PeerHeartbeat {
                host: self.settings.host.clone(),
                kv_available: self.kv_failing_since.is_none(),
                token: self.leader.as_ref().map_or(0, |l| l.token),
                progress,
            }));
        }
    }

    fn view(&self, times: StepTime) -> serde_json::Value {
        let peers: Vec<_> = self
            .peer_heartbeats
            .values()
            .map(|(at, p)| {
                serde_json::json!({"host": p.host, "heardS": times.now.saturating_sub(*at).as_secs_f64(),
                    "stateOk": p.kv_available, "leads": p.token > 0})
            })
            .collect();
        serde_json::json!({
            "host": self.settings.host,
            "stateOk": self.kv_failing_since.is_none(),
            "allNew": self.version_barrier.open(),
            "leader": self.leader.as_ref().map(|l| l.view(times)),
            "foreman": self.known_leader(times.now, 0).map(|(_, host)| host),
            "tokens": {"highest": self.token_guard.highest(), "refused": self.token_guard.refused()},
            "siblings": peers,
            "sharding": self.sharding_view(times.now),
            "reachability": self.reachability.as_ref().map(|reach| reach.view(times.now)),
        })
    }
}
