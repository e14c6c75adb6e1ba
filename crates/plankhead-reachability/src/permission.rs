//! The one table of what a node may do in which mode.
//!
//! The table only restricts: what it allows still needs its own evidence (a commit, a worker's
//! heartbeat, the cloud's answer). A [`Precondition`] names evidence that has an age, which the
//! caller knows and checks.

use crate::mode::{Mode, MODES};

/// What a node may do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Action {
    /// Accept a user's job.
    Accept,
    /// Cancel a user's job.
    Cancel,
    /// Answer a user from memory, with what can't change any more.
    AnswerFromMemory,
    /// Place a task on a machine.
    Place,
    /// Command a worker to run a task.
    Start,
    /// Command a worker to stop a task that must not run.
    Kill,
    /// Take in a worker's heartbeat.
    AnswerReports,
    /// Reply to a heartbeat so that the worker's lease is renewed.
    KeepLeases,
    /// Acknowledge to a worker that a task has ended, so that it forgets the task.
    AcknowledgeEnds,
    /// Rent machines.
    Rent,
    /// Return a machine that is not needed.
    Return,
    /// Return a machine that may run a task past its cancellation.
    ReclaimOverdue,
    /// Treat a machine whose heartbeats stopped as lost.
    JudgeSilent,
    /// Hold the leader's lease, or try to take it.
    Lead,
}

/// All actions, in the order of the enum.
pub const ACTIONS: [Action; 14] = [
    Action::Accept,
    Action::Cancel,
    Action::AnswerFromMemory,
    Action::Place,
    Action::Start,
    Action::Kill,
    Action::AnswerReports,
    Action::KeepLeases,
    Action::AcknowledgeEnds,
    Action::Rent,
    Action::Return,
    Action::ReclaimOverdue,
    Action::JudgeSilent,
    Action::Lead,
];

/// Why an action is not allowed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DenialReason {
    /// It could not be recorded.
    NoState,
    /// It could not be confirmed by the workers.
    NoWorkers,
    /// Neither of both.
    Neither,
    /// The silence may be a failure of this node's own links.
    OwnSilence,
    /// A node that reaches both sides should do it.
    BetterPlaced,
    /// The lease can't be given up: it expires.
    LeaseRunsOut,
}

impl DenialReason {
    /// The reason in words, for log lines and views.
    pub fn text(self) -> &'static str {
        match self {
            Self::NoState => "the state service is not reached",
            Self::NoWorkers => "no worker is reached",
            Self::Neither => "neither the state service nor a worker is reached",
            Self::OwnSilence => "the silence may be this node's own",
            Self::BetterPlaced => "a node that sees both sides should",
            Self::LeaseRunsOut => "the lease runs out by itself",
        }
    }
}

/// Evidence with an age, which the caller checks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Precondition {
    /// The jobs were read so recently that no cancellation is likely to be missed.
    JobsSynced,
    /// A cancellation that this node has not read is not due before leases expire.
    CancellationUnseen,
    /// No other node receives heartbeats from any worker.
    NoPeerReceivesHeartbeats,
}

/// Whether an action is allowed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Permission {
    /// It is allowed.
    Allowed,
    /// It is allowed as long as the precondition holds.
    Within(Precondition),
    /// Not now: it is done once the side is reached again.
    Deferred(DenialReason),
    /// It is refused at once.
    Forbidden(DenialReason),
}

/// The permission for each mode and action.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PermissionTable([[Permission; ACTIONS.len()]; MODES.len()]);

impl PermissionTable {
    /// The table that plankhead uses.
    pub fn standard() -> Self {
        Self(MODES.map(|mode| ACTIONS.map(|action| standard(mode, action))))
    }

    /// The permission for an action in a mode.
    pub fn of(&self, mode: Mode, action: Action) -> Permission {
        self.0[mode as usize][action as usize]
    }

    /// The table with one cell changed, for tests that inject a fault.
    #[must_use]
    pub fn with(mut self, mode: Mode, action: Action, permission: Permission) -> Self {
        self.0[mode as usize][action as usize] = permission;
        self
    }
}

fn standard(mode: Mode, action: Action) -> Permission {
    use DenialReason::*;
    use Mode::*;
    use Permission::*;
    use Precondition::*;
    match (action, mode) {
        // Each depends on the state service's own answer.
        (Action::Accept | Action::Cancel, Whole | StateOnly) => Allowed,
        (Action::Accept | Action::Cancel, WorkersOnly | Isolated) => Forbidden(NoState),
        // What can't change needs neither side.
        (Action::AnswerFromMemory, _) => Allowed,
        (Action::Place | Action::Start, Whole) => Within(JobsSynced),
        (Action::Place | Action::Start, StateOnly) => Deferred(NoWorkers),
        (Action::Place | Action::Start, WorkersOnly) => Forbidden(NoState),
        (Action::Place | Action::Start, Isolated) => Forbidden(Neither),
        // A task that must not run stays so: its stop is repeated until it is confirmed.
        (Action::Kill, _) => Allowed,
        // A heartbeat by itself shows that its worker is reached.
        (Action::AnswerReports, _) => Allowed,
        (Action::KeepLeases, _) => Within(CancellationUnseen),
        (Action::AcknowledgeEnds, Whole | StateOnly) => Allowed,
        (Action::AcknowledgeEnds, WorkersOnly | Isolated) => Deferred(NoState),
        // A rental needs the state service and the cloud; a new machine's first heartbeat
        // shows whether workers are reached.
        (Action::Rent, Whole | StateOnly) => Within(JobsSynced),
        (Action::Rent, WorkersOnly | Isolated) => Forbidden(NoState),
        (Action::Return, Whole) => Allowed,
        (Action::Return, StateOnly) => Forbidden(NoWorkers),
        (Action::Return, WorkersOnly) => Forbidden(NoState),
        (Action::Return, Isolated) => Forbidden(Neither),
        // The deadline of a cancellation demands it, and the cloud's answer is the evidence.
        (Action::ReclaimOverdue, _) => Allowed,
        (Action::JudgeSilent, Whole) => Allowed,
        (Action::JudgeSilent, StateOnly) => Within(NoPeerReceivesHeartbeats),
        (Action::JudgeSilent, WorkersOnly | Isolated) => Forbidden(OwnSilence),
        (Action::Lead, Whole) => Allowed,
        (Action::Lead, StateOnly) => Deferred(BetterPlaced),
        (Action::Lead, WorkersOnly | Isolated) => Deferred(LeaseRunsOut),
    }
}
