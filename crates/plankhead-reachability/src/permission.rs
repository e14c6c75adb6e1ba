//! The one table of what a node may do in which mode.
//!
//! It only takes away: what is allowed still needs its own evidence (a commit, a worker's
//! report, the cloud's answer). Bounds name evidence that has an age; the caller, which
//! has it, judges them.

use crate::mode::{Mode, MODES};

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Action {
    /// Take a user's job.
    Accept,
    /// Cancel a user's job.
    Cancel,
    /// Tell a user what never changes any more.
    AnswerFromMemory,
    /// Book a task on a machine.
    Place,
    /// Tell a worker to run a task.
    Start,
    /// Tell a worker to end a task that is not wanted.
    Kill,
    /// Take in what a worker reports.
    AnswerReports,
    /// Answer a report so that the worker's lease goes on.
    KeepLeases,
    /// Let a worker forget a task that has ended.
    AcknowledgeEnds,
    Rent,
    /// Give back a machine that is not needed.
    Return,
    /// Give back a machine that may hold a task past its cancellation.
    ReclaimOverdue,
    /// Take a machine's silence for its loss.
    JudgeSilent,
    /// Hold the leader's lease, or try to get it.
    Lead,
}

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

/// Why something may not be done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DenialReason {
    /// It could not be recorded.
    NoState,
    /// It could not be confirmed by the workers.
    NoWorkers,
    Neither,
    /// The silence may be ours.
    OwnSilence,
    /// Somebody who sees both sides should.
    BetterPlaced,
    /// The lease can't be given up: it runs out by itself.
    LeaseRunsOut,
}

impl DenialReason {
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

/// Evidence with an age, which the caller judges.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Precondition {
    /// The jobs were seen so lately that no cancellation is likely to be unseen.
    JobsSynced,
    /// A cancellation that this node did not see is not due before leases run out.
    CancellationUnseen,
    /// Every other node hears no worker either.
    PeersAgree,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Permission {
    Allowed,
    /// As long as the evidence is there.
    Within(Precondition),
    /// Not now: it is done once the side is back.
    Deferred(DenialReason),
    /// Refused at once.
    Forbidden(DenialReason),
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PermissionTable([[Permission; ACTIONS.len()]; MODES.len()]);

impl PermissionTable {
    pub fn standard() -> Self {
        Self(MODES.map(|mode| ACTIONS.map(|action| standard(mode, action))))
    }

    pub fn of(&self, mode: Mode, action: Action) -> Permission {
        self.0[mode as usize][action as usize]
    }

    /// With one cell changed: for tests that plant a fault.
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
        // Each is carried by the state service's own answer.
        (Action::Accept | Action::Cancel, Whole | StateOnly) => Allowed,
        (Action::Accept | Action::Cancel, WorkersOnly | Isolated) => Forbidden(NoState),
        // Never changes, and needs neither side.
        (Action::AnswerFromMemory, _) => Allowed,
        (Action::Place | Action::Start, Whole) => Within(JobsSynced),
        (Action::Place | Action::Start, StateOnly) => Deferred(NoWorkers),
        (Action::Place | Action::Start, WorkersOnly) => Forbidden(NoState),
        (Action::Place | Action::Start, Isolated) => Forbidden(Neither),
        // Only what is known to be unwanted is killed, for ever: repeated until confirmed.
        (Action::Kill, _) => Allowed,
        // A report shows by itself that its worker is there.
        (Action::AnswerReports, _) => Allowed,
        (Action::KeepLeases, _) => Within(CancellationUnseen),
        (Action::AcknowledgeEnds, Whole | StateOnly) => Allowed,
        (Action::AcknowledgeEnds, WorkersOnly | Isolated) => Deferred(NoState),
        // A rental needs the state service and the cloud; a new machine's first report
        // shows whether workers are reached.
        (Action::Rent, Whole | StateOnly) => Within(JobsSynced),
        (Action::Rent, WorkersOnly | Isolated) => Forbidden(NoState),
        (Action::Return, Whole) => Allowed,
        (Action::Return, StateOnly) => Forbidden(NoWorkers),
        (Action::Return, WorkersOnly) => Forbidden(NoState),
        (Action::Return, Isolated) => Forbidden(Neither),
        // A rule presses, and the cloud's answer is the evidence.
        (Action::ReclaimOverdue, _) => Allowed,
        (Action::JudgeSilent, Whole) => Allowed,
        (Action::JudgeSilent, StateOnly) => Within(PeersAgree),
        (Action::JudgeSilent, WorkersOnly | Isolated) => Forbidden(OwnSilence),
        (Action::Lead, Whole) => Allowed,
        (Action::Lead, StateOnly) => Deferred(BetterPlaced),
        (Action::Lead, WorkersOnly | Isolated) => Deferred(LeaseRunsOut),
    }
}
