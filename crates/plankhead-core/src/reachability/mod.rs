//! Reachability: which links of this node work, and what the node may do as a result.
//!
//! This module feeds [`plankhead_reachability`] with the outcomes of calls and messages, maintains the
//! numbering of machines, and exchanges coverage with the peers.

mod coverage;
mod evidence;
mod numbering;
mod probes;
mod reporting_machines;
mod view;

use crate::calls::ReachabilityCall;
use crate::effects::EffectSink;
use crate::protocol::{CallError, CallId, KvReply, LogLevel, MachineName};
use crate::settings::Settings;
use numbering::NumberingStore;
use plankhead_reachability::coverage::{Coverage, CoverageTable};
use plankhead_reachability::handover::Handover;
use plankhead_reachability::link::LinkId;
use plankhead_reachability::mode::Mode;
use plankhead_reachability::monitor::{ModeChange, Monitor};
use plankhead_reachability::permission::{Action, Permission};
use reporting_machines::ReportingMachines;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// The link on which workers' heartbeats arrive counts as failed once none has arrived for the heartbeat
/// timeout plus this time.
const SILENCE_MARGIN: Duration = Duration::from_secs(1);

/// The state of the leader on this node, as far as reachability depends on it.
#[derive(Debug, Clone, Default)]
pub struct LeaderFacts {
    /// The leader's fencing token.
    pub token: u64,
    pub leading_since: Duration,
    /// Whether the leader has loaded its state, its lease is valid and the latest renewal of the lease
    /// has not failed.
    pub lease_undisputed: bool,
    /// The number of machines that are up and should send heartbeats to the leader.
    pub machines_up: usize,
    /// Machines whose recent heartbeats came directly, not relayed by a peer.
    pub reporting_directly: Vec<MachineName>,
    /// Machines that are up, have sent a heartbeat recently and were sent a reply.
    pub replied_to: Vec<MachineName>,
}

/// What this node may currently do for users.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UserPermissions {
    /// Whether new jobs may be accepted.
    pub accept: bool,
    /// Whether jobs may be cancelled.
    pub cancel: bool,
    /// Whether the status of ended jobs may be answered from memory, without a read.
    pub answer_from_memory: bool,
}

impl UserPermissions {
    /// All permissions.
    pub const ALL: Self = Self { accept: true, cancel: true, answer_from_memory: true };
}

/// Tracks the reachability of this node.
#[derive(Debug)]
pub struct Reachability {
    settings: Arc<Settings>,
    monitor: Monitor,
    coverage_table: CoverageTable,
    numbering: NumberingStore,
    handover: Handover,
    /// The link that each call in flight uses.
    link_by_call: HashMap<CallId, LinkId>,
    reporting_machines: ReportingMachines,
    /// The sequence number of the latest coverage that was sent.
    sequence: u64,
    next_coverage_at: Duration,
    next_probe_at: Duration,
    next_rejection_log_at: Duration,
}

impl Reachability {
    /// Creates the reachability of a node whose links all count as working until calls or messages fail.
    pub fn new(settings: Arc<Settings>, now: Duration) -> Self {
        let reachability = &settings.reachability;
        let max_silence = settings.heartbeat_timeout() + SILENCE_MARGIN;
        Self {
            monitor: Monitor::new(reachability, settings.peers.len(), max_silence, now),
            coverage_table: CoverageTable::new(&settings.host, &settings.peers),
            numbering: NumberingStore::new(now),
            handover: Handover::new(reachability),
            settings,
            link_by_call: HashMap::new(),
            reporting_machines: ReportingMachines::default(),
            sequence: 0,
            next_coverage_at: now,
            next_probe_at: now,
            next_rejection_log_at: now,
        }
    }

    /// Whether reachability is enabled in the settings, so that decisions depend on it.
    pub fn is_enabled(&self) -> bool {
        self.settings.reachability.enabled
    }

    /// Returns the node's reachability mode.
    pub fn mode(&self) -> Mode {
        self.monitor.mode()
    }

    /// Whether an action is allowed in a mode without any precondition.
    fn allows(&self, mode: Mode, action: Action) -> bool {
        matches!(self.settings.reachability.table.of(mode, action), Permission::Allowed)
    }

    /// Returns what this node may currently do for users. No request succeeds without the state service's own
    /// answer, so it is sufficient that no link to the service is down at the moment, even if flap
    /// damping still treats the service as not reached.
    pub fn user_permissions(&self) -> UserPermissions {
        let mode = match (self.monitor.mode(), self.monitor.state_links_work()) {
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

    /// Whether this node should leave a vacant leader key to its peers for a short time. This is the case if
    /// a peer names a node other than this one as its successor, or if this node may not lead in its mode
    /// and a peer reaches both the state service and workers.
    pub fn defers_to_peers(&self, now: Duration) -> bool {
        let may_not_lead = !self.allows(self.mode(), Action::Lead);
        let names_another =
            |coverage: &Coverage| coverage.successor.as_ref().is_some_and(|host| *host != self.settings.host);
        self.coverage_table
            .fresh(now)
            .any(|coverage| names_another(coverage) || may_not_lead && coverage.mode == Mode::Whole)
    }

    /// Whether the links are due to be evaluated.
    pub fn is_due(&self, now: Duration) -> bool {
        self.monitor.is_due(now)
    }

    /// Returns when this node's coverage is next due to be sent.
    pub fn next_coverage_due(&self) -> Duration {
        self.next_coverage_at
    }

    /// Returns when coverage, the numbering or an evaluation of the links is next due, unless an event
    /// occurs earlier.
    pub fn next_due(&self, now: Duration) -> Duration {
        let dues = [self.numbering.next_due(), self.monitor.next_due(now)];
        dues.into_iter().flatten().fold(self.next_coverage_at, Duration::min)
    }

    /// Evaluates the links, and logs and returns a change of mode.
    pub fn evaluate_links(
        &mut self,
        machines: usize,
        now: Duration,
        effects: &mut EffectSink,
    ) -> Option<ModeChange> {
        let change = self.monitor.evaluate(now, machines)?;
        let causes = if change.causes.is_empty() {
            "no link that determines the mode is down".into()
        } else {
            change.causes.join(", ")
        };
        let (from, to, lasted) = (change.from.name(), change.to.name(), change.lasted.as_secs_f64());
        let text = format!(
            "reachability mode changed: from=\"{from}\" to=\"{to}\" after_s={lasted:.1} reason=\"{causes}\""
        );
        effects.log(LogLevel::Info, text);
        // Tell the peers at once.
        self.next_coverage_at = now;
        Some(change)
    }

    /// Sends coverage, reads the numbering and probes links, each if it is due.
    pub fn tick(&mut self, facts: Option<&LeaderFacts>, now: Duration, effects: &mut EffectSink) {
        if now >= self.next_coverage_at {
            self.next_coverage_at = now + self.settings.reachability.coverage_interval;
            self.send_coverage(facts, None, now, effects);
        }
        self.numbering.tick(now, effects);
        if now >= self.next_probe_at {
            self.next_probe_at = now + probes::PROBE_INTERVAL;
            probes::send_probes(&self.monitor, now, effects);
        }
    }

    /// Returns whether the leader is due to check for machines without a number. If so, the next check is
    /// scheduled.
    pub fn take_numbering_check(&mut self, now: Duration) -> bool {
        self.numbering.take_check_due(now)
    }

    /// Writes the next page of the numbering that must change for exactly these machines to have numbers. The
    /// write succeeds only if the leader with this fencing token still leads.
    pub fn write_numbering(
        &mut self,
        machines: &BTreeSet<MachineName>,
        token: u64,
        effects: &mut EffectSink,
    ) {
        self.numbering.write_page(machines, token, self.settings.max_value_bytes, effects);
    }

    /// Handles the reply to one of the calls that this module makes itself.
    pub fn handle_reply(
        &mut self,
        call: ReachabilityCall,
        reply: Result<KvReply, CallError>,
        now: Duration,
        effects: &mut EffectSink,
    ) {
        match call {
            ReachabilityCall::Probe => {}
            ReachabilityCall::ListPages => self.numbering.list_reply(reply, now, effects),
            ReachabilityCall::WritePage { key, value } => {
                self.numbering.write_reply(key, value, reply, now, effects)
            }
        }
    }
}
