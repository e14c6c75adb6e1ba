//! One controller node: requests of users, the election, and the leader's role
//! while it has it.

mod out;
mod shards;
mod workers;

use crate::election::{Election, LeadershipChange};
use crate::job::JobId;
use crate::leader::{Leader, LeaderCall, LeaderEvidence};
use crate::portions::CpuBudget;
use crate::protocol::{
    CallError, CallId, CloudReply, CloudRequest, Effect, Event, Heartbeat, JobProgress, KvReply, LogLevel,
    MachineName, MachineType, PeerHeartbeat, RequestId, Response,
};
use crate::reach::{LeaderFacts, Reachability};
use crate::requests::{PendingRequest, RequestHandler};
use crate::settings::Settings;
use crate::version_barrier::VersionBarrier;
pub use out::{CallPurpose, EffectSink, StepTime};
use plankhead_fencing::token::TokenGuard;
use plankhead_reachability::coverage::{Coverage, CoverageError, KnownLeader};
use plankhead_reachability::mode::Mode;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;
use workers::Held;

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
pub const MOST_PROGRESS: usize = 2_000;
/// Jobs whose progress is taken in from one pulse: a later version may tell more, for
/// fleets of four thousand machines.
pub const MOST_PROGRESS_READ: usize = 8_192;

/// A process whose timers are later than this is behind.
const BEHIND: Duration = Duration::from_millis(100);

/// How often the node's reach is looked at while it leads.
const REACH_LOOK: Duration = Duration::from_millis(500);

/// How soon what waits for a budget, or for the state service, is looked at again.
const RETRY_WAKE: Duration = Duration::from_millis(50);
/// A step that nothing asked for comes at least this long after the one before.
const LEAST_WAKE: Duration = Duration::from_millis(10);

#[derive(Debug)]
pub struct Node {
    settings: Arc<Settings>,
    out: EffectSink,
    requests: RequestHandler,
    election: Election,
    version_barrier: VersionBarrier,
    leader: Option<Leader>,
    rigs: BTreeMap<String, MachineType>,
    catalog_due: Duration,
    catalog_asked: bool,
    pulse_due: Duration,
    siblings: HashMap<String, (Duration, PeerHeartbeat)>,
    /// Since when the state service has failed every call.
    state_bad: Option<Duration>,
    /// Workers sent to a leader: under which token, and when.
    sent: HashMap<MachineName, (u64, Duration)>,
    held: Vec<Held>,
    /// The highest fencing token that anything showed.
    tokens: TokenGuard,
    /// How far the process is behind.
    lag: Duration,
    /// When the reach is looked at next.
    reach_due: Duration,
    /// Its part in divided machines, where they are.
    sharding: Option<Box<shards::Sharding>>,
    /// What this node reaches; made at the first step, which has the time.
    reach: Option<Reachability>,
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
            out: EffectSink::default(),
            leader: None,
            rigs: BTreeMap::new(),
            catalog_due: Duration::ZERO,
            catalog_asked: false,
            pulse_due: Duration::ZERO,
            siblings: HashMap::new(),
            state_bad: None,
            sent: HashMap::new(),
            held: Vec::new(),
            tokens: TokenGuard::default(),
            lag: Duration::ZERO,
            reach_due: Duration::ZERO,
            reach: None,
            sharding,
        }
    }

    /// Whether users should be sent here. A node that the state service alone
    /// refuses sends them to its siblings, and so does one that hears nobody at
    /// all; when the state service fails all, nobody does.
    pub fn healthy(&self, now: Duration) -> bool {
        let refused = self.state_bad.is_some_and(|since| now.saturating_sub(since) > REFUSED);
        let better = self
            .siblings
            .values()
            .any(|(at, pulse)| now.saturating_sub(*at) < PULSE_LIFE && pulse.kv_available);
        let alone = !self.settings.peers.is_empty() && !self.company(now);
        !(refused && (better || alone))
    }

    /// Which sides this node sees, where that is judged.
    pub fn mode(&self) -> Option<Mode> {
        self.reach.as_ref().map(Reachability::mode)
    }

    /// Tells how far the process is behind for want of processor time, so that what can
    /// wait gives way.
    pub fn lags(&mut self, lag: Duration) {
        self.lag = lag;
    }

    pub fn step(&mut self, times: StepTime, batch: Vec<Event>) -> Vec<Effect> {
        if self.reach.is_none() && self.settings.reachability.enabled {
            self.reach = Some(Reachability::new(self.settings.clone(), times.now));
        }
        for event in batch {
            self.handle(times, event);
        }
        self.judge_reach(times.now);
        self.tick(times);
        self.tick_reach(times);
        if let Some(reach) = &mut self.reach {
            reach.sent(&self.out.effects, times.now);
        }
        std::mem::take(&mut self.out.effects)
    }

    /// Judges the links before anything is decided.
    fn judge_reach(&mut self, now: Duration) {
        let Some(reach) = self.reach.as_mut().filter(|reach| reach.is_due(now)) else { return };
        let machines = self.leader.as_ref().map_or(0, Leader::machines_up);
        reach.judge(machines, now, &mut self.out);
        self.requests.permit(reach.users());
        let holds_back = reach.holds_back(now);
        self.election.set_defers_to_peers(holds_back);
    }

    fn leader_facts(&self, now: Duration) -> Option<LeaderFacts> {
        let steady = self.election.is_lease_undisputed(now);
        self.leader.as_ref().map(|leader| leader.facts(now, steady))
    }

    /// Tells the others of this node's reach, numbers machines, and hands the lease over
    /// to a node that sees more.
    fn tick_reach(&mut self, times: StepTime) {
        let now = times.now;
        let news = self.reach.as_ref().is_some_and(|reach| reach.tells_at() <= now);
        if !news && now < self.reach_due {
            return;
        }
        self.reach_due = now + REACH_LOOK;
        let facts = self.leader_facts(now);
        let Some(reach) = &mut self.reach else { return };
        reach.tick(facts.as_ref(), now, &mut self.out);
        let (Some(leader), Some(facts)) = (&mut self.leader, facts) else { return };
        if facts.steady && reach.wants_numbers(now) {
            reach.write_numbers(&leader.machine_names(), facts.token, &mut self.out);
        }
        leader.note_heard_elsewhere(now, |host| reach.heard_by_a_peer(host, now));
        if let Some(successor) = reach.successor(&facts, now, &mut self.out) {
            self.out.log(LogLevel::Info, format!("hands the lease over to {successor}, which sees more"));
            let verdict = self.election.step_down_for_peers(now, &mut self.out);
            self.verdict(times, verdict);
        }
    }

    /// A peer's coverage came, or was refused on the way.
    fn coverage(&mut self, now: Duration, coverage: Result<Box<Coverage>, CoverageError>) {
        let holder = match (&self.leader, &self.election.known_leader) {
            (Some(leader), _) => Some(KnownLeader { host: &self.settings.host, token: leader.token }),
            (None, Some((host, token))) => Some(KnownLeader { host, token: *token }),
            (None, None) => None,
        };
        if let Some(reach) = &mut self.reach {
            reach.coverage(coverage.map(|coverage| *coverage), holder, now, &mut self.out);
        }
    }

    /// When [`Node::step`] is to be called next if no event comes before. Whatever a
    /// process does at fixed times without need costs it as much as a report.
    pub fn next_wake(&self, now: Duration) -> Duration {
        let retry = now + RETRY_WAKE;
        let catalog = (!self.catalog_asked).then_some(self.catalog_due);
        let held = self.held.iter().map(|held| held.until).min();
        let waiting = self.requests.has_waiting().then_some(retry);
        let leader = self.leader.as_ref().map(|leader| leader.next_due(now, retry));
        let dues =
            [self.election.next_due(), self.version_barrier.next_due(), catalog, held, waiting, leader];
        let reach = self.reach.as_ref().map(|reach| reach.next_due(now));
        let next = dues
            .into_iter()
            .chain([reach, self.sharding_due()])
            .flatten()
            .fold(self.pulse_due, Duration::min);
        next.max(now + LEAST_WAKE)
    }

    fn handle(&mut self, times: StepTime, event: Event) {
        let now = times.now;
        match event {
            Event::Submit { request: ask, id, job } => {
                let takes = (&self.rigs, self.version_barrier.open());
                self.requests.submit(times, ask, id, job, takes, &mut self.out);
            }
            Event::Poll { request: ask, id } => self.requests.poll(now, ask, id, &mut self.out),
            Event::Cancel { request: ask, id } => self.requests.abort(now, ask, id, &mut self.out),
            Event::Heartbeat { request: ask, heartbeat: report, relayed } => {
                let Some(report) = self.hold(now, ask, report, relayed) else { return };
                let answer = self.beat(times, report, relayed);
                self.out.answer(ask, answer);
            }
            Event::KvReply { call, reply } => {
                if let Some(reach) = &mut self.reach {
                    reach.state_reply(call, &reply, now);
                }
                match &reply {
                    Ok(_) => {
                        let out = self.state_bad.take().map(|since| now.saturating_sub(since));
                        if let Some(long) = out.filter(|long| *long > TELL_OUTAGE) {
                            let text = format!("the state service failed for {} s", long.as_secs());
                            self.out.log(LogLevel::Info, text);
                        }
                    }
                    Err(CallError::RateLimited) => {}
                    Err(CallError::TooLarge) => {
                        self.out.log(LogLevel::Error, "a change was larger than is allowed by now".into());
                        let news = self.version_barrier.pass(&mut self.out);
                        self.opened(news);
                    }
                    Err(_) => {
                        self.state_bad.get_or_insert(now);
                    }
                }
                match self.out.calls.remove(&call) {
                    Some(CallPurpose::Election(step)) => {
                        let verdict = self.election.reply(now, step, reply, &mut self.out);
                        self.verdict(times, verdict);
                    }
                    Some(CallPurpose::VersionBarrier(step)) => {
                        let news = self.version_barrier.reply(step, reply, &mut self.out);
                        self.opened(news);
                    }
                    Some(CallPurpose::Reachability(reach_call)) => {
                        if let Some(reach) = &mut self.reach {
                            reach.reply(reach_call, reply, now, &mut self.out);
                        }
                    }
                    Some(CallPurpose::UserRequest(request)) => self.request(times, request, reply),
                    Some(CallPurpose::ShardRecords(step)) => self.records_reply(now, step, reply),
                    Some(CallPurpose::Holder(call)) => self.holder_state_reply(now, call, reply),
                    Some(CallPurpose::Leader(token, leader_call)) => {
                        if let Some(leader) = self.leader.as_mut().filter(|l| l.token == token) {
                            if !leader.state_reply(
                                times,
                                leader_call,
                                reply,
                                &mut self.requests,
                                &mut self.out,
                            ) {
                                let verdict = self.election.release_lease(&mut self.out);
                                self.verdict(times, verdict);
                            }
                        }
                    }
                    _ => {}
                }
            }
            Event::CloudReply { call, reply } => {
                if let Some(reach) = &mut self.reach {
                    reach.cloud_reply(call, &reply, now);
                }
                match self.out.calls.remove(&call) {
                    Some(CallPurpose::MachineTypes) => self.catalog(now, reply),
                    Some(CallPurpose::Leader(token, leader_call)) => {
                        if let Some(leader) = self.leader.as_mut().filter(|l| l.token == token) {
                            leader.cloud_reply(times, leader_call, reply, &mut self.out);
                        }
                    }
                    _ => {}
                }
            }
            Event::CommandReply { call, reply } => {
                if let Some(reach) = &mut self.reach {
                    reach.orders_reply(call, &reply, now);
                }
                match self.out.calls.remove(&call) {
                    Some(CallPurpose::Leader(token, leader_call)) => {
                        if let Some(leader) = self.leader.as_mut().filter(|l| l.token == token) {
                            leader.orders_reply(times, leader_call, reply, &mut self.out);
                        }
                    }
                    Some(CallPurpose::Holder(call)) => self.holder_orders_reply(now, call, reply),
                    _ => {}
                }
            }
            Event::ShardMessage { request: ask, message } => {
                let delivery = self.shard_message(times, message);
                self.out.answer(ask, Response::ShardMessageDelivery(delivery));
            }
            Event::ShardMessageDelivery { call, delivery } => self.shard_told(now, call, delivery),
            Event::PeerHeartbeat(pulse) => self.pulse(times, pulse),
            Event::Coverage(coverage) => self.coverage(now, coverage),
            Event::PeerDelivery { host, confirmed } => {
                if let Some(reach) = &mut self.reach {
                    reach.peer_told(&host, confirmed, now);
                }
            }
            Event::View { request: ask } => {
                let view = self.view(times);
                self.out.answer(ask, Response::View(view));
            }
        }
    }

    fn request(&mut self, times: StepTime, request: PendingRequest, reply: Result<KvReply, CallError>) {
        let leader = self.leader.as_ref();
        let progress = |id: &JobId| leader.and_then(|l| l.progress(id));
        let news = self.requests.reply(times, request, reply, &progress, &mut self.out);
        if let Some(leader) = &mut self.leader {
            for row in news {
                leader.job_record_changed(times, &row, &mut self.requests);
            }
        }
    }

    fn opened(&mut self, news: bool) {
        if news {
            self.requests.all_new();
            if let Some(leader) = &mut self.leader {
                leader.set_all_nodes_upgraded();
            }
        }
    }

    fn verdict(&mut self, times: StepTime, verdict: LeadershipChange) {
        match verdict {
            LeadershipChange::Unchanged => {}
            LeadershipChange::Won { token } => {
                self.tokens.learn(token);
                self.out.log(LogLevel::Info, format!("leads under token {token}"));
                let mut leader = Leader::new(self.settings.clone(), token, times.now);
                leader.set_machine_types(self.rigs.clone());
                if self.version_barrier.open() {
                    leader.set_all_nodes_upgraded();
                }
                leader.begin_loading(times.now, &mut self.out);
                self.leader = Some(leader);
                self.holder_leads(times);
            }
            LeadershipChange::Lost => {
                self.out.log(LogLevel::Info, "leads no more".into());
                self.leader = None;
                self.holder_resumes();
                if let Some(reach) = &mut self.reach {
                    reach.leads_no_more();
                }
            }
        }
    }

    /// Whether a sibling was heard lately.
    fn company(&self, now: Duration) -> bool {
        self.siblings.values().any(|(at, _)| now.saturating_sub(*at) < PULSE_LIFE)
    }

    /// Whether every sibling was heard lately, and none says that it leads.
    fn among_all(&self, now: Duration) -> bool {
        let there = |name: &String| {
            let heard = self.siblings.get(name);
            heard.is_some_and(|(at, pulse)| now.saturating_sub(*at) < PULSE_LIFE && pulse.token == 0)
        };
        self.settings.peers.iter().all(there)
    }

    /// The node that leads, under no earlier token than `least`: by its key, or
    /// by its own word where the state service does not serve us.
    fn foreman(&self, now: Duration, least: u64) -> Option<(u64, String)> {
        let heard = self.siblings.values().filter(|(at, _)| now.saturating_sub(*at) < PULSE_LIFE);
        let told = heard.map(|(_, pulse)| (pulse.token, &pulse.host));
        let read = self.election.known_leader.iter().map(|(host, token)| (*token, host));
        let latest = told.chain(read).filter(|(token, _)| *token > 0 && *token >= least).max();
        latest.map(|(token, host)| (token, host.clone()))
    }

    fn catalog(&mut self, now: Duration, reply: Result<CloudReply, CallError>) {
        self.catalog_asked = false;
        match reply {
            Ok(CloudReply::MachineTypes(rigs)) if !rigs.is_empty() => {
                self.rigs = rigs.into_iter().map(|r| (r.name.clone(), r)).collect();
                self.catalog_due = now + CATALOG_AGE;
                if let Some(leader) = &mut self.leader {
                    leader.set_machine_types(self.rigs.clone());
                }
            }
            _ => self.catalog_due = now + CATALOG_RETRY,
        }
    }

    /// Where fencing is on, what a node that claims to lead under a token that is over tells
    /// of jobs is passed over. It still counts as one that leads where this matters for
    /// workers: it may renew leases of those that know no later token.
    fn admit_claim(&mut self, pulse: &mut PeerHeartbeat) {
        if !self.settings.fencing.enabled || pulse.token == 0 {
            return;
        }
        if let Err(stale) = self.tokens.admit(pulse.token) {
            let known = self.siblings.get(&pulse.host).is_some_and(|(_, before)| before.token == pulse.token);
            let level = if known { LogLevel::Debug } else { LogLevel::Info };
            self.out.log(level, format!("{} claims to lead: {stale}", pulse.host));
            pulse.progress.clear();
        }
    }

    /// The highest fencing token seen, for adapters that pass answers on; 0 while fencing is
    /// off.
    pub fn highest_token(&self) -> u64 {
        if self.settings.fencing.enabled {
            self.tokens.highest()
        } else {
            0
        }
    }

    fn pulse(&mut self, times: StepTime, mut pulse: PeerHeartbeat) {
        if !self.settings.peers.contains(&pulse.host) {
            return;
        }
        self.admit_claim(&mut pulse);
        // The state service may not serve us, who then would not learn from it
        // that the key is somebody else's, and would hold the workers.
        if self.leader.as_ref().is_some_and(|l| l.token < pulse.token) {
            let verdict = self.election.lease_lost();
            self.verdict(times, verdict);
        }
        let now = times.now;
        if let Some(reach) = &mut self.reach {
            reach.peer_heard(&pulse.host, now);
        }
        if pulse.token > 0 {
            self.requests.progress(&pulse.progress);
        }
        self.siblings.insert(pulse.host.clone(), (now, pulse));
    }

    fn tick(&mut self, times: StepTime) {
        let now = times.now;
        self.election.tick(now, &mut self.out);
        self.version_barrier.tick(now, &mut self.out);
        if now >= self.catalog_due && !self.catalog_asked {
            self.catalog_asked = true;
            self.out.cloud(CallPurpose::MachineTypes, CloudRequest::ListMachineTypes);
        }
        self.requests.tick(times, &mut self.out);
        self.tick_sharding(times);
        let sight = LeaderEvidence {
            lease_valid: self.election.is_lease_valid(now),
            kv_undisputed: self.election.is_lease_undisputed(now),
            no_peer_leads: self.among_all(now),
            cpu_starved: self.lag > BEHIND,
            mode: self.reach.as_ref().map_or(Mode::Whole, Reachability::mode),
            peers_agree: self.reach.as_ref().is_some_and(|reach| reach.peers_agree(now)),
        };
        if let Some(leader) = &mut self.leader {
            leader.tick(times, sight, &mut self.requests, &mut self.out);
        }
        if !self.held.is_empty() {
            self.release_held(times);
        }
        // Without the state service nobody could take over, and what this leader knows of
        // cancellations would be lost: it runs out of its key by itself.
        // Where all nodes tell what they hear, that decides who should lead.
        let coverage = self.reach.as_ref().is_some_and(|reach| reach.is_complete(now));
        let other = sight.lease_valid && self.company(now) && !coverage;
        if other && self.leader.as_ref().is_some_and(|l| l.is_isolated(now)) {
            self.out.log(LogLevel::Info, "hears no worker and steps down".into());
            let verdict = self.election.step_down_for_peers(now, &mut self.out);
            self.verdict(times, verdict);
        }
        if now >= self.pulse_due {
            self.pulse_due = now + PULSE;
            let progress: Vec<JobProgress> = match &self.leader {
                Some(leader) => leader.all_progress(MOST_PROGRESS),
                None => Vec::new(),
            };
            self.out.effects.push(Effect::SendPeerHeartbeat(PeerHeartbeat {
                host: self.settings.host.clone(),
                kv_available: self.state_bad.is_none(),
                token: self.leader.as_ref().map_or(0, |l| l.token),
                progress,
            }));
        }
    }

    fn view(&self, times: StepTime) -> serde_json::Value {
        let siblings: Vec<_> = self
            .siblings
            .values()
            .map(|(at, p)| {
                serde_json::json!({"host": p.host, "heardS": times.now.saturating_sub(*at).as_secs_f64(),
                    "stateOk": p.kv_available, "leads": p.token > 0})
            })
            .collect();
        serde_json::json!({
            "host": self.settings.host,
            "stateOk": self.state_bad.is_none(),
            "allNew": self.version_barrier.open(),
            "leader": self.leader.as_ref().map(|l| l.view(times)),
            "foreman": self.foreman(times.now, 0).map(|(_, host)| host),
            "tokens": {"highest": self.tokens.highest(), "refused": self.tokens.refused()},
            "siblings": siblings,
            "sharding": self.sharding_view(times.now),
            "reachability": self.reach.as_ref().map(|reach| reach.view(times.now)),
        })
    }
}
