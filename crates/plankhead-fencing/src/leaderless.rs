//! Reclaims by a node that does not lead: the evidence that they require, and what forbids them.
//!
//! A machine that hangs can keep the task of a cancelled job for as long as it hangs. While the state
//! service fails and the former leader has ended, no node can lead, so no intent can be recorded.
//! Any node that knows of the cancellation and of the attempt may then return the machine, if
//! [`LeaderlessReclaim::decide`] finds nothing that forbids it. Elapsed time only ever forbids.

use crate::action::{CloudAction, InstanceReturn, ReturnReason, MAX_RETURN_MACHINES};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;

/// How long before the deadline of a cancellation the machines that may still run its tasks are returned.
pub const RECLAIM_LEAD_TIME: Duration = Duration::from_secs(7);
/// The same for a node that does not lead, if a peer might be the leader. A leader returns such a machine
/// earlier, so that nothing is left to return.
pub const DEFERRED_RECLAIM_LEAD_TIME: Duration = Duration::from_secs(4);
/// The number of consecutive unanswered inspections after which a worker counts as unresponsive.
pub const MIN_UNANSWERED_INSPECTIONS: u32 = 2;
/// The maximum age of the latest inspection, counted from when it was sent. A machine may have resumed
/// since, also while this process was paused.
const MAX_INSPECTION_AGE: Duration = Duration::from_millis(3500);
/// The maximum age of the failed read of the state service, counted from when it was sent. A process
/// that was paused for longer must read again.
const MAX_FAILURE_AGE: Duration = Duration::from_secs(3);
/// The maximum age of the cloud's latest reply. Without one, a request may be carried out only when a
/// network partition ends.
const MAX_CLOUD_REPLY_AGE: Duration = Duration::from_secs(8);

/// What the peers' heartbeats show about who leads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerClaims {
    /// Heartbeats of every peer arrive, and none of them leads.
    NoneLeads,
    /// A peer is silent, or leads without reaching the state service.
    Unclear,
    /// The state service answers a peer, so that a leader exists or is about to be elected.
    StoreReachable,
}

impl fmt::Display for PeerClaims {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NoneLeads => "none_leads",
            Self::Unclear => "unclear",
            Self::StoreReachable => "state_service_answers",
        })
    }
}

/// What a node knows when its read of the state service has failed.
#[derive(Debug, Clone, Copy)]
pub struct NodeEvidence {
    /// The current time.
    pub now: Duration,
    /// When the read of the state service was sent that has just failed.
    pub failed_read_sent_at: Duration,
    /// When the cloud last replied to this node.
    pub cloud_replied_at: Option<Duration>,
    /// What the peers' heartbeats show.
    pub peers: PeerClaims,
}

/// What a node knows about a machine that may run a task of a cancelled job.
#[derive(Debug, Clone, Copy)]
pub struct MachineEvidence {
    /// When the task must be gone.
    pub deadline: Duration,
    /// The number of consecutive inspections that the worker did not answer.
    pub unanswered_inspections: u32,
    /// When the latest of them was sent.
    pub inspected_at: Option<Duration>,
}

/// What forbids a reclaim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Error)]
pub enum Forbidden {
    /// The deadline is not near enough.
    #[error("not_due")]
    NotDue,
    /// The worker has answered, or was not inspected often and recently enough.
    #[error("worker_not_inspected")]
    NotInspected,
    /// The failure of the state service is not recent: the process may have been paused since.
    #[error("failure_outdated")]
    FailureOutdated,
    /// The state service answers a peer.
    #[error("state_service_answers_peer")]
    StoreReachable,
    /// The cloud has not replied recently.
    #[error("cloud_unreachable")]
    CloudUnreachable,
}

/// A permitted return of machines by a node that does not lead.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaderlessReclaim {
    machines: Vec<Arc<str>>,
}

impl LeaderlessReclaim {
    /// Permits the return of those machines of which nothing forbids it, as many as fit into one
    /// request. Must be called in the step in which the failed read became known.
    ///
    /// # Errors
    ///
    /// If no machine may be returned, returns what forbids the one that is nearest to its return.
    pub fn decide(
        node: &NodeEvidence,
        machines: impl IntoIterator<Item = (Arc<str>, MachineEvidence)>,
    ) -> Result<Self, Forbidden> {
        let mut permitted = Vec::new();
        let mut nearest = Forbidden::NotDue;
        for (machine, evidence) in machines {
            match check(node, &evidence) {
                Ok(()) => permitted.push(machine),
                Err(forbidden) => nearest = nearest.max(forbidden),
            }
        }
        permitted.truncate(MAX_RETURN_MACHINES);
        if permitted.is_empty() {
            return Err(nearest);
        }
        Ok(Self { machines: permitted })
    }

    /// Returns the machines to return.
    pub fn machines(&self) -> &[Arc<str>] {
        &self.machines
    }

    pub(crate) fn into_action(self) -> CloudAction {
        CloudAction::Return(InstanceReturn { machines: self.machines, reason: ReturnReason::Reclaim })
    }
}

/// Returns when a machine with this deadline may be returned at the earliest.
pub fn reclaim_due(deadline: Duration, peers: PeerClaims) -> Duration {
    let lead_time = match peers {
        PeerClaims::NoneLeads => RECLAIM_LEAD_TIME,
        PeerClaims::Unclear | PeerClaims::StoreReachable => DEFERRED_RECLAIM_LEAD_TIME,
    };
    deadline.saturating_sub(lead_time)
}

fn check(node: &NodeEvidence, machine: &MachineEvidence) -> Result<(), Forbidden> {
    let age = |at: Duration| node.now.saturating_sub(at);
    if node.now < reclaim_due(machine.deadline, node.peers) {
        return Err(Forbidden::NotDue);
    }
    let is_recent = machine.inspected_at.is_some_and(|at| age(at) <= MAX_INSPECTION_AGE);
    if !is_recent || machine.unanswered_inspections < MIN_UNANSWERED_INSPECTIONS {
        return Err(Forbidden::NotInspected);
    }
    if age(node.failed_read_sent_at) > MAX_FAILURE_AGE {
        return Err(Forbidden::FailureOutdated);
    }
    if node.peers == PeerClaims::StoreReachable {
        return Err(Forbidden::StoreReachable);
    }
    if node.cloud_replied_at.is_none_or(|at| age(at) > MAX_CLOUD_REPLY_AGE) {
        return Err(Forbidden::CloudUnreachable);
    }
    Ok(())
}
