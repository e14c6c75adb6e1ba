//! What this node can reach, and what follows from it: feeds [`plankhead_reachability`]
//! with what calls and messages confirm, keeps the numbering of machines, and exchanges
//! coverage with the peers.

mod coverage;
mod evidence;
mod heard_machines;
mod numbering;
mod probes;
mod view;

use crate::calls::ReachabilityCall;
use crate::effects::EffectSink;
use crate::protocol::{CallError, CallId, KvReply, LogLevel, MachineName};
use crate::settings::Settings;
use heard_machines::HeardMachines;
use numbering::NumberingStore;
use plankhead_reachability::coverage::{Coverage, CoverageTable};
use plankhead_reachability::handover::Handover;
use plankhead_reachability::link::LinkId;
use plankhead_reachability::mode::Mode;
use plankhead_reachability::monitor::{ModeChange, Monitor};
use plankhead_reachability::permission::{Action, Permission};
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// How much longer than heartbeats may take no worker is heard before that link counts as
/// failing.
const SILENCE_MARGIN: Duration = Duration::from_secs(1);

/// What the leader here knows of itself.
#[derive(Debug, Clone, Default)]
pub struct LeaderFacts {
    /// Its fencing token.
    pub token: u64,
    pub leading_since: Duration,
    /// Its lease is valid, and no call to the state service has failed since.
    pub lease_undisputed: bool,
    /// Machines that should report to it.
    pub machines_up: usize,
    /// Machines whose latest heartbeats came directly.
    pub heard_directly: Vec<MachineName>,
    /// Machines that have confirmed the latest answer or command.
    pub confirmed_commands: Vec<MachineName>,
}

/// What users' requests may lead to on this node now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UserPermissions {
    /// New jobs are accepted.
    pub accept: bool,
    /// Jobs are cancelled.
    pub cancel: bool,
    /// The state of ended jobs is answered without reading it.
    pub answer_from_memory: bool,
}

impl UserPermissions {
    /// Everything is allowed.
    pub const ALL: Self = Self { accept: true, cancel: true, answer_from_memory: true };
}

/// The reachability of one node.
#[derive(Debug)]
pub struct Reachability {
    settings: Arc<Settings>,
    monitor: Monitor,
    coverage_table: CoverageTable,
    numbering: NumberingStore,
    handover: Handover,
    /// The link that each call in flight uses.
    links_of_calls: HashMap<CallId, LinkId>,
    heard_machines: HeardMachines,
    /// Of the latest coverage that was sent.
    sequence: u64,
    next_coverage_at: Duration,
    next_probe_at: Duration,
    next_fault_log_at: Duration,
}

impl Reachability {
    /// A part that takes all links for good until something shows otherwise.
    pub fn new(settings: Arc<Settings>, now: Duration) -> Self {
        let reachability = &settings.reachability;
        let max_silence = settings.heartbeat_timeout() + SILENCE_MARGIN;
        Self {
            monitor: Monitor::new(reachability, settings.peers.len(), max_silence, now),
            coverage_table: CoverageTable::new(&settings.host, &settings.peers),
            numbering: NumberingStore::new(now),
            handover: Handover::new(reachability),
            settings,
            links_of_calls: HashMap::new(),
            heard_machines: HeardMachines::default(),
            sequence: 0,
            next_coverage_at: now,
            next_probe_at: now,
            next_fault_log_at: now,
        }
    }

    /// Whether the settings have reachability decide anything.
    pub fn is_enabled(&self) -> bool {
        self.settings.reachability.enabled
    }

    /// The mode that the links give.
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

    /// Whether this node should leave a vacant lease to peers that reach more, for a moment.
    pub fn defers_to_peers(&self, now: Duration) -> bool {
        let may_not_lead = !self.allows(self.mode(), Action::Lead);
        let names_another =
            |coverage: &Coverage| coverage.successor.as_ref().is_some_and(|host| *host != self.settings.host);
        self.coverage_table
            .fresh(now)
            .any(|coverage| names_another(coverage) || may_not_lead && coverage.mode == Mode::Whole)
    }

    /// Whether it is time to judge the links.
    pub fn is_due(&self, now: Duration) -> bool {
        self.monitor.due(now)
    }

    /// When this node's coverage is to be sent next.
    pub fn next_coverage_due(&self) -> Duration {
        self.next_coverage_at
    }

    /// When something is to be done next unless something comes before.
    pub fn next_due(&self, now: Duration) -> Duration {
        let dues = [self.numbering.next_due(), self.monitor.next_due(now)];
        dues.into_iter().flatten().fold(self.next_coverage_at, Duration::min)
    }

    /// Judges the links; a change of mode is logged, in one line.
    pub fn judge(&mut self, machines: usize, now: Duration, effects: &mut EffectSink) -> Option<ModeChange> {
        let change = self.monitor.judge(now, machines)?;
        let causes =
            if change.causes.is_empty() { "all links hold".into() } else { change.causes.join(", ") };
        let (from, to, lasted) = (change.from.name(), change.to.name(), change.lasted.as_secs_f64());
        let text = format!(
            "reachability mode changed: from=\"{from}\" to=\"{to}\" after_s={lasted:.1} reason=\"{causes}\""
        );
        effects.log(LogLevel::Info, text);
        // The peers should know at once.
        self.next_coverage_at = now;
        Some(change)
    }

    /// Sends what is due: coverage, the next read of the numbering, and probes.
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

    /// Whether the leader should check now for machines without a number; counts as checked.
    pub fn take_numbering_check(&mut self, now: Duration) -> bool {
        self.numbering.take_check_due(now)
    }

    /// Writes one page of the numbering, as the leader with this fencing token.
    pub fn write_numbering(
        &mut self,
        machines: &BTreeSet<MachineName>,
        token: u64,
        effects: &mut EffectSink,
    ) {
        self.numbering.write_page(machines, token, self.settings.max_value_bytes, effects);
    }

    /// Handles a reply to one of this part's own calls.
    pub fn reply(
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
