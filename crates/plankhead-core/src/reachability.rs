//! What this node can reach, and what follows from it: feeds [`plankhead_reachability`]
//! with what calls and messages confirm, keeps the numbering of machines, and exchanges
//! coverage with the other nodes.

use crate::calls::{CallPurpose, ReachabilityCall};
use crate::effects::EffectSink;
use crate::leadership::election;
use crate::protocol::{
    CallError, CallId, CommandReply, Condition, Effect, KeyValue, KvChange, KvReply, KvRequest, LogLevel,
    MachineName,
};
use crate::settings::Settings;
use plankhead_reachability::coverage::{Coverage, CoverageError, CoverageTable, KnownLeader};
use plankhead_reachability::handover::{Candidate, Handover, LeaderView};
use plankhead_reachability::link::LinkId;
use plankhead_reachability::mode::Mode;
use plankhead_reachability::monitor::{ModeChange, Monitor};
use plankhead_reachability::numbering::{self, MachineNumbering};
use plankhead_reachability::permission::{Action, Permission};
use roaring::RoaringBitmap;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// Time between two reads of the numbering, and after a failure or when it is behind.
const NUMBERING_AGE: Duration = Duration::from_secs(15);
const NUMBERING_RETRY: Duration = Duration::from_secs(2);
/// Time between two looks for machines without a number.
const NUMBERING_LOOK: Duration = Duration::from_secs(2);
/// A failing link without traffic is tried this often: while changes are not taken, users'
/// jobs are refused, so that nothing else would show that they are.
const PROBE: Duration = Duration::from_millis(250);
/// No key ever has this revision: a change under that condition is refused, and shows that
/// changes are taken.
const NO_REVISION: u64 = u64::MAX / 2;
/// Machines that the node remembers to have heard.
const MAX_HEARD: usize = 16_384;
/// Refused messages are logged this often at the most.
const FAULT_PAUSE: Duration = Duration::from_secs(10);

/// What the leader tells of itself.
#[derive(Debug, Clone, Default)]
pub struct LeaderFacts {
    pub token: u64,
    pub leading_since: Duration,
    /// Its grant is good, and nothing says that the state service fails it.
    pub lease_undisputed: bool,
    /// Machines that should report to it.
    pub machines_up: usize,
    /// Machines whose reports came lately without a detour.
    pub heard_directly: Vec<MachineName>,
    /// Machines that confirmed an answer or a command lately.
    pub confirmed_commands: Vec<MachineName>,
}

/// What users' requests may lead to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UserPermissions {
    pub accept: bool,
    pub cancel: bool,
    pub answer_from_memory: bool,
}

impl UserPermissions {
    pub const ALL: Self = Self { accept: true, cancel: true, answer_from_memory: true };
}

#[derive(Debug)]
pub struct Reachability {
    settings: Arc<Settings>,
    monitor: Monitor,
    coverage_table: CoverageTable,
    numbering: MachineNumbering,
    handover: Handover,
    /// Which link a call under way tells of.
    links_of_calls: HashMap<CallId, LinkId>,
    /// Machines whose reports reached this node itself, and when.
    heard_machines: HashMap<MachineName, Duration>,
    sequence: u64,
    next_coverage_at: Duration,
    list_in_flight: bool,
    list_after_key: Option<String>,
    next_list_at: Duration,
    /// All pages were read once.
    numbering_loaded: bool,
    write_in_flight: bool,
    next_write_at: Duration,
    next_probe_at: Duration,
    next_fault_log_at: Duration,
}

fn state_link(op: &KvRequest) -> LinkId {
    match op {
        KvRequest::Get { .. } | KvRequest::List { .. } => LinkId::KvReads,
        KvRequest::Txn { .. } | KvRequest::GrantLease { .. } | KvRequest::RevokeLease { .. } => {
            LinkId::KvWrites
        }
        KvRequest::RenewLease { .. } => LinkId::KvLeaseRenewal,
        KvRequest::Watch { .. } => LinkId::KvWatch,
    }
}

impl Reachability {
    pub fn new(settings: Arc<Settings>, now: Duration) -> Self {
        let reachability = &settings.reachability;
        let silence = settings.heartbeat_timeout() + Duration::from_secs(1);
        Self {
            monitor: Monitor::new(reachability, settings.peers.len(), silence, now),
            coverage_table: CoverageTable::new(&settings.host, &settings.peers),
            numbering: MachineNumbering::default(),
            handover: Handover::new(reachability),
            settings,
            links_of_calls: HashMap::new(),
            heard_machines: HashMap::new(),
            sequence: 0,
            next_coverage_at: now,
            list_in_flight: false,
            list_after_key: None,
            next_list_at: now,
            numbering_loaded: false,
            write_in_flight: false,
            next_write_at: now,
            next_probe_at: now,
            next_fault_log_at: now,
        }
    }

    pub fn is_enabled(&self) -> bool {
        self.settings.reachability.enabled
    }

    pub fn mode(&self) -> Mode {
        self.monitor.mode()
    }

    /// The permission for an action, where no bound has to be judged.
    fn allows(&self, mode: Mode, action: Action) -> bool {
        matches!(self.settings.reachability.table.of(mode, action), Permission::Allowed)
    }

    /// What users may have now. Their requests carry their own evidence, so that a state
    /// service which answers is enough, even where it is not trusted to last.
    pub fn user_permissions(&self) -> UserPermissions {
        let mode = match (self.monitor.mode(), self.monitor.state_good()) {
            (Mode::WorkersOnly, true) => Mode::Whole,
            (Mode::Isolated, true) => Mode::StateOnly,
            (mode, _) => mode,
        };
        UserPermissions {
            accept: self.allows(mode, Action::Accept),
            cancel: self.allows(mode, Action::Cancel),
            answer_from_memory: self.allows(mode, Action::AnswerFromMemory),
        }
    }

    /// Whether this node should leave the lease to others that see more, for a moment.
    pub fn defers_to_peers(&self, now: Duration) -> bool {
        let half_blind = !self.allows(self.mode(), Action::Lead);
        let successor = |c: &Coverage| c.successor.as_ref().is_some_and(|host| *host != self.settings.host);
        self.coverage_table.fresh(now).any(|c| successor(c) || half_blind && c.mode == Mode::Whole)
    }

    // ----- evidence -----

    /// Notes the calls that go out.
    pub fn calls_sent(&mut self, effects: &[Effect], now: Duration) {
        for effect in effects {
            let (call, link) = match effect {
                Effect::CallKv { call, request: op } => (*call, state_link(op)),
                Effect::CallCloud { call, .. } => (*call, LinkId::Cloud),
                Effect::SendCommands { call, .. } => (*call, LinkId::Commands),
                _ => continue,
            };
            self.links_of_calls.insert(call, link);
            // A watch waits by its nature, and a machine that hangs is no link's fault.
            if !matches!(link, LinkId::KvWatch | LinkId::Commands) {
                self.monitor.sent(link, call, now);
            }
        }
    }

    pub fn kv_reply(&mut self, call: CallId, reply: &Result<KvReply, CallError>, now: Duration) {
        let Some(link) = self.links_of_calls.remove(&call) else { return };
        match reply {
            Ok(_) | Err(CallError::TooLarge) => self.monitor.answered(link, call, now),
            // It is there, and has too much to do.
            Err(CallError::RateLimited) => self.monitor.dropped(link, call),
            Err(CallError::Refused | CallError::OutcomeUnknown) => self.monitor.unanswered(link, call, now),
        }
    }

    pub fn cloud_reply<T>(&mut self, call: CallId, reply: &Result<T, CallError>, now: Duration) {
        let Some(link) = self.links_of_calls.remove(&call) else { return };
        match reply {
            Err(CallError::OutcomeUnknown) => self.monitor.unanswered(link, call, now),
            _ => self.monitor.answered(link, call, now),
        }
    }

    pub fn command_reply(&mut self, call: CallId, reply: &CommandReply, now: Duration) {
        let Some(link) = self.links_of_calls.remove(&call) else { return };
        match reply {
            CommandReply::Answered(_) => self.monitor.confirmed(link, now),
            CommandReply::NotSent | CommandReply::Unanswered => self.monitor.failed(link, now),
        }
    }

    /// A worker's report came; `relayed`: through a peer.
    pub fn heartbeat_arrived(&mut self, host: &MachineName, relayed: bool, now: Duration) {
        self.monitor.report_arrived(now);
        if relayed {
            return;
        }
        if self.heard_machines.is_empty() {
            // Workers begin to come here: their leader may not hear them.
            self.next_coverage_at = now;
        }
        let remembered = self.heard_machines.len() < MAX_HEARD;
        if let Some(at) = self.heard_machines.get_mut(host) {
            *at = now;
        } else if remembered {
            self.heard_machines.insert(host.clone(), now);
        }
    }

    /// A worker that was answered before reported again, and does or does not show it.
    pub fn answer_confirmed(&mut self, shown: bool, now: Duration) {
        match shown {
            true => self.monitor.confirmed(LinkId::HeartbeatReplies, now),
            false => self.monitor.failed(LinkId::HeartbeatReplies, now),
        }
    }

    fn peer_index(&self, host: &str) -> Option<usize> {
        self.settings.peers.iter().position(|peer| peer == host)
    }

    pub fn peer_heard(&mut self, host: &str, now: Duration) {
        if let Some(peer) = self.peer_index(host) {
            self.monitor.peer_heard(peer, now);
        }
    }

    /// What came of telling a peer something.
    pub fn peer_delivery(&mut self, host: &str, confirmed: bool, now: Duration) {
        let Some(peer) = self.peer_index(host) else { return };
        match confirmed {
            true => self.monitor.confirmed(LinkId::PeerOut(peer), now),
            false => self.monitor.failed(LinkId::PeerOut(peer), now),
        }
    }

    /// The lease is over: nothing renews it, so that nothing tells of that link.
    pub fn leadership_lost(&mut self) {
        self.monitor.forget_link(LinkId::KvLeaseRenewal);
        self.monitor.forget_link(LinkId::HeartbeatReplies);
    }

    // ----- coverage -----

    /// Takes in what a peer tells, or says why not.
    pub fn coverage_received(
        &mut self,
        coverage: Result<Coverage, CoverageError>,
        holder: Option<KnownLeader<'_>>,
        now: Duration,
        effects: &mut EffectSink,
    ) -> bool {
        let received = match coverage {
            Ok(coverage) => self.coverage_table.receive(coverage, now, &self.numbering, holder).map(|_| ()),
            Err(fault) => {
                self.coverage_table.count_refused();
                Err(fault)
            }
        };
        let Err(fault) = received else { return true };
        if fault == CoverageError::NumberingAhead {
            self.next_list_at = self.next_list_at.min(now);
        } else if now >= self.next_fault_log_at {
            self.next_fault_log_at = now + FAULT_PAUSE;
            effects.log(LogLevel::Info, format!("a peer's coverage was refused: {fault}"));
        }
        false
    }

    /// Whether some peer hears the machine.
    pub fn heard_by_a_peer(&self, host: &str, now: Duration) -> bool {
        self.coverage_table.heard_by_a_peer(host, &self.numbering, now)
    }

    /// Whether every peer says that it hears no machine either.
    pub fn peers_agree(&self, now: Duration) -> bool {
        self.coverage_table.nobody_hears(now)
    }

    /// Whether all peers exchange coverage, so that it decides who should lead.
    pub fn is_complete(&self, now: Duration) -> bool {
        self.is_enabled() && !self.settings.peers.is_empty() && self.coverage_table.complete(now)
    }

    fn numbers_of<'a>(&self, hosts: impl Iterator<Item = &'a MachineName>) -> RoaringBitmap {
        hosts.filter_map(|host| self.numbering.number(host)).collect()
    }

    fn send_coverage(
        &mut self,
        facts: Option<&LeaderFacts>,
        successor: Option<String>,
        now: Duration,
        effects: &mut EffectSink,
    ) {
        let lately = self.settings.heartbeat_timeout() + Duration::from_secs(1);
        self.heard_machines.retain(|_, at| now.saturating_sub(*at) < lately);
        self.sequence += 1;
        let peers = self.settings.peers.iter().enumerate();
        let peers = peers.filter(|(peer, _)| self.monitor.hears_peer(*peer));
        let peers = peers.map(|(_, peer)| peer.clone()).collect();
        let coverage = Coverage {
            host: self.settings.host.clone(),
            boot: self.settings.boot_id,
            sequence: self.sequence,
            token: facts.map_or(0, |facts| facts.token),
            mode: self.mode(),
            numbering: self.numbering.revision(),
            heard: self.numbers_of(self.heard_machines.keys()),
            reached: facts.map(|facts| self.numbers_of(facts.confirmed_commands.iter())).unwrap_or_default(),
            expected: facts.map_or(0, |facts| u32::try_from(facts.machines_up).unwrap_or(u32::MAX)),
            peers,
            successor,
        };
        effects.queued.push(Effect::SendCoverage(Box::new(coverage)));
    }

    /// The node that this leader should hand over to now; the others are told.
    pub fn successor(
        &mut self,
        facts: &LeaderFacts,
        now: Duration,
        effects: &mut EffectSink,
    ) -> Option<String> {
        if !facts.lease_undisputed {
            // What can't be given up runs out by itself.
            return None;
        }
        let own = LeaderView {
            mode: self.mode(),
            heard: facts.heard_directly.len() as u64,
            expected: facts.machines_up as u64,
            state_suppressed: self.monitor.state_suppressed(now),
        };
        let candidate = |coverage: &Coverage| Candidate {
            host: coverage.host.clone(),
            mode: coverage.mode,
            heard: coverage.heard.len(),
        };
        let candidates: Vec<Candidate> = self.coverage_table.fresh(now).map(candidate).collect();
        let successor = self.handover.decide(&own, &candidates, facts.leading_since, now)?;
        self.send_coverage(Some(facts), Some(successor.clone()), now, effects);
        Some(successor)
    }

    // ----- time -----

    /// Whether it is time to judge the links.
    pub fn is_due(&self, now: Duration) -> bool {
        self.monitor.due(now)
    }

    /// When the others are told next of this node's reach.
    pub fn next_coverage_due(&self) -> Duration {
        self.next_coverage_at
    }

    /// Judges the links; a change of mode is logged, in one line.
    pub fn judge(&mut self, machines: usize, now: Duration, effects: &mut EffectSink) -> Option<ModeChange> {
        let change = self.monitor.judge(now, machines)?;
        let causes =
            if change.causes.is_empty() { "all links hold".into() } else { change.causes.join(", ") };
        let (from, to, lasted) = (change.from.name(), change.to.name(), change.lasted.as_secs_f64());
        effects.log(LogLevel::Info, format!("sees {to} after {lasted:.1} s of {from} ({causes})"));
        // The others should know at once.
        self.next_coverage_at = now;
        Some(change)
    }

    pub fn tick(&mut self, facts: Option<&LeaderFacts>, now: Duration, effects: &mut EffectSink) {
        if now >= self.next_coverage_at {
            self.next_coverage_at = now + self.settings.reachability.coverage_interval;
            self.send_coverage(facts, None, now, effects);
        }
        if !self.list_in_flight && now >= self.next_list_at {
            self.list_in_flight = true;
            self.list_numbering(effects);
        }
        if now >= self.next_probe_at {
            self.next_probe_at = now + PROBE;
            self.probe(now, effects);
        }
    }

    /// Whether the leader should look for machines without a number.
    pub fn take_numbering_check(&mut self, now: Duration) -> bool {
        let due = self.numbering_loaded && !self.write_in_flight && now >= self.next_write_at;
        if due {
            self.next_write_at = now + NUMBERING_LOOK;
        }
        due
    }

    /// Writes one page of the numbering, as the leader.
    pub fn write_numbering(
        &mut self,
        machines: &BTreeSet<MachineName>,
        token: u64,
        effects: &mut EffectSink,
    ) {
        let Some(write) = self.numbering.next_write(machines, self.settings.max_value_bytes) else { return };
        self.write_in_flight = true;
        let lead = Condition { key: election::KEY.into(), mod_revision: token };
        let page = Condition { key: write.key.clone(), mod_revision: write.revision };
        let (key, value) = (write.key, write.value);
        let changes = vec![KvChange::Put { key: key.clone(), value: value.clone(), lease: None }];
        let call = ReachabilityCall::WritePage { key, value };
        effects.call_kv(
            CallPurpose::Reachability(call),
            KvRequest::Txn { conditions: vec![lead, page], changes },
        );
    }

    fn list_numbering(&self, effects: &mut EffectSink) {
        let op = KvRequest::List { prefix: numbering::PREFIX.into(), after: self.list_after_key.clone() };
        effects.call_kv(CallPurpose::Reachability(ReachabilityCall::ListPages), op);
    }

    /// Tries links that fail and that nothing else uses.
    fn probe(&mut self, now: Duration, effects: &mut EffectSink) {
        if self.monitor.wants_probe(LinkId::KvReads, now) {
            effects.call_kv(
                CallPurpose::Reachability(ReachabilityCall::Probe),
                KvRequest::Get { key: election::KEY.into() },
            );
        }
        if self.monitor.wants_probe(LinkId::KvWrites, now) {
            let conditions = vec![Condition { key: election::KEY.into(), mod_revision: NO_REVISION }];
            let changes = vec![KvChange::Delete { key: election::KEY.into() }];
            effects.call_kv(
                CallPurpose::Reachability(ReachabilityCall::Probe),
                KvRequest::Txn { conditions, changes },
            );
        }
    }

    pub fn reply(
        &mut self,
        call: ReachabilityCall,
        reply: Result<KvReply, CallError>,
        now: Duration,
        effects: &mut EffectSink,
    ) {
        match call {
            ReachabilityCall::Probe => {}
            ReachabilityCall::ListPages => self.numbering_listed(reply, now, effects),
            ReachabilityCall::WritePage { key, value } => {
                self.write_in_flight = false;
                match reply {
                    Ok(KvReply::Committed { revision: epoch }) => {
                        self.apply_numbering_page(&KeyValue { key, value, mod_revision: epoch }, effects);
                        // More may be left to write.
                        self.next_write_at = now;
                    }
                    // The page is another than was thought, or may be.
                    _ => self.next_list_at = now,
                }
            }
        }
    }

    fn numbering_listed(
        &mut self,
        reply: Result<KvReply, CallError>,
        now: Duration,
        effects: &mut EffectSink,
    ) {
        let Ok(KvReply::Page { rows, truncated, .. }) = reply else {
            self.list_in_flight = false;
            self.list_after_key = None;
            self.next_list_at = now + NUMBERING_RETRY;
            return;
        };
        for row in &rows {
            self.apply_numbering_page(row, effects);
        }
        self.list_after_key = rows.last().map(|row| row.key.clone()).filter(|_| truncated);
        if truncated {
            return self.list_numbering(effects);
        }
        self.numbering_loaded = true;
        self.list_in_flight = false;
        self.next_list_at = now + NUMBERING_AGE;
    }

    fn apply_numbering_page(&mut self, row: &KeyValue, effects: &mut EffectSink) {
        if let Err(fault) = self.numbering.read(&row.key, &row.value, row.mod_revision) {
            effects.log(LogLevel::Debug, format!("left alone: {fault}"));
        }
    }

    /// When something is to be done next unless something comes before.
    pub fn next_due(&self, now: Duration) -> Duration {
        let list = (!self.list_in_flight).then_some(self.next_list_at);
        let dues = [list, self.monitor.next_due(now)];
        dues.into_iter().flatten().fold(self.next_coverage_at, Duration::min)
    }

    pub fn view(&self, now: Duration) -> serde_json::Value {
        let age = |at: Duration| now.saturating_sub(at).as_secs_f64();
        let peer = |number: usize| self.settings.peers.get(number).cloned();
        let link = |view: plankhead_reachability::monitor::LinkView| {
            let of = match view.link {
                LinkId::PeerIn(number) | LinkId::PeerOut(number) => peer(number),
                _ => None,
            };
            serde_json::json!({"link": view.link.name(), "peer": of, "condition": view.condition.name(),
                "sinceS": age(view.since), "confirmed": view.counts.confirmed, "failed": view.counts.failed,
                "highRoundTripS": view.high_round_trip.map(|time| time.as_secs_f64())})
        };
        let told = |coverage: &Coverage| {
            serde_json::json!({"host": coverage.host, "mode": coverage.mode, "heard": coverage.heard.len(),
                "reached": coverage.reached.len(), "expected": coverage.expected,
                "hears": coverage.peers, "leads": coverage.token > 0})
        };
        serde_json::json!({
            "enabled": self.is_enabled(),
            "mode": self.mode(),
            "sinceS": age(self.monitor.mode_since()),
            "changes": self.monitor.changes(),
            "freezes": self.monitor.freezes(),
            "handovers": self.handover.recent(),
            "links": self.monitor.links().into_iter().map(link).collect::<Vec<_>>(),
            "heard": self.heard_machines.len(),
            "numbered": self.numbering.len(),
            "refusedCoverage": self.coverage_table.refused(),
            "peers": self.coverage_table.fresh(now).map(told).collect::<Vec<_>>(),
        })
    }
}
