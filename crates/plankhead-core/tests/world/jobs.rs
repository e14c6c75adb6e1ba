//! Jobs as their users know them, and the model's knowledge of them.

use super::gang;
use plankhead_core::jobs::job::{JobId, JobSpec};
use plankhead_core::protocol::JobStatus;
use std::collections::BTreeSet;
use std::time::Duration;

/// A user's job, the responses to its user, and its actual state.
#[derive(Debug)]
pub struct Job {
    pub id: JobId,
    pub spec: JobSpec,
    pub accepted: bool,
    pub submitted: bool,
    pub cancelling: bool,
    pub cancelled_at: Option<Duration>,
    pub last_status: Option<JobStatus>,
    /// When the user first learned that the job has ended.
    pub(super) ended_reported_at: Duration,
    pub done: BTreeSet<u32>,
    pub runtime_s: f64,
    /// The difference of run time between the last task and the first one.
    pub runtime_spread_s: f64,
    /// Whether the job was running when its user learned that it is cancelled.
    pub(super) ran_when_cancelled: bool,
    /// The saved progress of a gang, in seconds.
    pub(super) progress: f64,
    /// The running attempt of a gang.
    pub(super) run: Option<gang::GangRun>,
    /// The latest attempt of which a task was told to run.
    pub(super) latest_started_attempt: u64,
    /// When a request about the job was last answered.
    pub(super) last_answered_at: Duration,
    /// When the job was accepted.
    pub accepted_at: Option<Duration>,
    /// When its first task started.
    pub started_at: Option<Duration>,
    /// Since when the job has been waiting although a machine has room for it.
    pub(super) waiting_since: Option<Duration>,
    /// The same as `waiting_since` for urgent jobs, measured during faults as well.
    pub(super) urgent_waiting_since: Option<Duration>,
}

impl Job {
    pub fn has_ended(&self) -> bool {
        matches!(self.last_status, Some(JobStatus::Done | JobStatus::Cancelled))
    }
}
