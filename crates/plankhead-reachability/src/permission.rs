//! The table of the actions that are permitted in each mode.
//!
//! The table only restricts: an allowed action still needs its own evidence, such as a commit, a
//! worker's heartbeat or the cloud's answer. A [`Precondition`] names evidence that becomes outdated;
//! the caller knows its age and checks it.

use crate::mode::{Mode, MODES};

/// An action that a node may be permitted to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Action {
    /// Accept a user's job.
    Accept,
    /// Cancel a user's job.
    Cancel,
    /// Answer a user's request from memory, with a result that is final.
    AnswerFromMemory,
    /// Place a task on a machine.
    Place,
    /// Command a worker to run a task.
    Start,
    /// Command a worker to stop a task that must not run.
    Kill,
    /// Process a worker's heartbeat.
    ProcessHeartbeats,
    /// Respond to a heartbeat so that the worker's lease is renewed.
    RenewLeases,
    /// Acknowledge the end of a task to its worker, which then no longer reports the task.
    AcknowledgeEnds,
    /// Rent machines.
    Rent,
    /// Return a machine that is no longer needed.
    Return,
    /// Return a machine that may still run a task whose cancellation is overdue.
    ReclaimOverdue,
    /// Remove a machine as lost because its heartbeats have stopped.
    RemoveSilent,
    /// Hold the leader's lease or try to acquire it.
    Lead,
}

/// All actions, in the order of their declaration.
pub const ACTIONS: [Action; 14] = [
    Action::Accept,
    Action::Cancel,
    Action::AnswerFromMemory,
    Action::Place,
    Action::Start,
    Action::Kill,
    Action::ProcessHeartbeats,
    Action::RenewLeases,
    Action::AcknowledgeEnds,
    Action::Rent,
    Action::Return,
    Action::ReclaimOverdue,
    Action::RemoveSilent,
    Action::Lead,
];

/// The reason why an action is not allowed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DenialReason {
    /// The result could not be recorded in the state service.
    StateServiceUnreachable,
    /// The action could not be confirmed by the workers.
    WorkersUnreachable,
    /// Neither the state service nor the workers are reached.
    BothUnreachable,
    /// Heartbeats may be missing because of this node's own links.
    OwnLinksSuspect,
    /// A node that reaches both sides should do it.
    BetterConnectedNode,
    /// The lease can't be revoked without the state service, so it is left to expire.
    LeaseExpires,
}

impl DenialReason {
    /// Returns the reason in words, for log lines and views.
    pub fn text(self) -> &'static str {
        match self {
            Self::StateServiceUnreachable => "the state service is not reached",
            Self::WorkersUnreachable => "no worker is reached",
            Self::BothUnreachable => "neither the state service nor a worker is reached",
            Self::OwnLinksSuspect => "heartbeats may be missing because of this node's own links",
            Self::BetterConnectedNode => {
                "a node that reaches both the state service and workers should do it"
            }
            Self::LeaseExpires => "the lease can't be revoked and expires by itself",
        }
    }
}

/// Evidence that becomes outdated. The caller checks whether it is recent enough.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Precondition {
    /// The jobs were read so recently that a cancellation is unlikely to have been missed.
    JobsSynced,
    /// The leases of workers would expire before a cancellation that this node has not read is due.
    LeasesExpireInTime,
    /// No other node receives heartbeats from any worker.
    NoPeerReceivesHeartbeats,
}

/// The permission for an action.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Permission {
    /// The action is allowed.
    Allowed,
    /// The action is allowed while the precondition holds.
    AllowedWhile(Precondition),
    /// The action is not allowed now, but is done once the mode permits it.
    Deferred(DenialReason),
    /// The action is refused.
    Forbidden(DenialReason),
}

/// The permission for each mode and action.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PermissionTable([[Permission; ACTIONS.len()]; MODES.len()]);

impl PermissionTable {
    /// Returns the table that plankhead uses in production.
    pub fn standard() -> Self {
        Self(MODES.map(|mode| ACTIONS.map(|action| standard(mode, action))))
    }

    /// Returns the permission for an action in a mode.
    pub fn of(&self, mode: Mode, action: Action) -> Permission {
        self.0[mode as usize][action as usize]
    }

    /// Returns the table with one entry replaced, for tests that inject a fault.
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
        // Each of these takes effect only by a commit to the state service.
        (Action::Accept | Action::Cancel, Whole | StateOnly) => Allowed,
        (Action::Accept | Action::Cancel, WorkersOnly | Isolated) => Forbidden(StateServiceUnreachable),
        // A final result needs neither side.
        (Action::AnswerFromMemory, _) => Allowed,
        (Action::Place | Action::Start, Whole) => AllowedWhile(JobsSynced),
        (Action::Place | Action::Start, StateOnly) => Deferred(WorkersUnreachable),
        (Action::Place | Action::Start, WorkersOnly) => Forbidden(StateServiceUnreachable),
        (Action::Place | Action::Start, Isolated) => Forbidden(BothUnreachable),
        // Once a task must be stopped, this never changes, so the command is repeated until the worker
        // confirms it.
        (Action::Kill, _) => Allowed,
        // The heartbeat itself shows that its worker reaches this node.
        (Action::ProcessHeartbeats, _) => Allowed,
        (Action::RenewLeases, _) => AllowedWhile(LeasesExpireInTime),
        (Action::AcknowledgeEnds, Whole | StateOnly) => Allowed,
        (Action::AcknowledgeEnds, WorkersOnly | Isolated) => Deferred(StateServiceUnreachable),
        // A rental needs only the state service and the cloud. The first heartbeat of the new machine shows
        // whether it can reach this node.
        (Action::Rent, Whole | StateOnly) => AllowedWhile(JobsSynced),
        (Action::Rent, WorkersOnly | Isolated) => Forbidden(StateServiceUnreachable),
        (Action::Return, Whole) => Allowed,
        (Action::Return, StateOnly) => Forbidden(WorkersUnreachable),
        (Action::Return, WorkersOnly) => Forbidden(StateServiceUnreachable),
        (Action::Return, Isolated) => Forbidden(BothUnreachable),
        // The deadline of a cancellation requires it, and the cloud's answer proves that the task is over.
        (Action::ReclaimOverdue, _) => Allowed,
        (Action::RemoveSilent, Whole) => Allowed,
        (Action::RemoveSilent, StateOnly) => AllowedWhile(NoPeerReceivesHeartbeats),
        (Action::RemoveSilent, WorkersOnly | Isolated) => Forbidden(OwnLinksSuspect),
        (Action::Lead, Whole) => Allowed,
        (Action::Lead, StateOnly) => Deferred(BetterConnectedNode),
        (Action::Lead, WorkersOnly | Isolated) => Deferred(LeaseExpires),
    }
}
