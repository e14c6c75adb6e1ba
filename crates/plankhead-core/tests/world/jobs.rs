//! Jobs as their users know them, and what the model knows of them.

use super::gang;
use plankhead_core::jobs::job::{JobId, JobSpec};
use plankhead_core::protocol::JobStatus;
use std::collections::BTreeSet;
use std::time::Duration;

/// What a user asked for and was told.
#[derive(Debug)]
pub struct Job {
    pub id: JobId,
    pub spec: JobSpec,
    pub accepted: bool,
    pub submitted: bool,
    pub cancelling: bool,
    pub cancelled_at: Option<Duration>,
    pub last_status: Option<JobStatus>,
    /// When the user first heard that it is over.
    pub(super) ended_reported_at: Duration,
    pub done: BTreeSet<u32>,
    pub runtime_s: f64,
    /// How much longer than the first its last task runs.
    pub runtime_spread_s: f64,
    /// It ran when its user was told that it is cancelled.
    pub(super) ran_when_cancelled: bool,
    /// Of a gang: what is saved, in seconds, and the attempt that runs.
    pub(super) progress: f64,
    pub(super) run: Option<gang::GangRun>,
    /// The latest attempt of which a task was told to run.
    pub(super) latest_started_attempt: u64,
    /// When a question about it was last answered.
    pub(super) last_answered_at: Duration,
    /// When it was accepted, and when its first task started.
    pub accepted_at: Option<Duration>,
    pub started_at: Option<Duration>,
    /// Since when it waits although a machine has room for it.
    pub(super) waiting_since: Option<Duration>,
    /// The same for urgent jobs, also while troubles last.
    pub(super) urgent_waiting_since: Option<Duration>,
}

impl Job {
    pub fn has_ended(&self) -> bool {
        matches!(self.last_status, Some(JobStatus::Done | JobStatus::Cancelled))
    }
}
