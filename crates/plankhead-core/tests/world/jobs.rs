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
    pub aborting: bool,
    pub cancelled: Option<Duration>,
    pub told: Option<JobStatus>,
    /// When the user first heard that it is over.
    pub(super) told_over: Duration,
    pub done: BTreeSet<u32>,
    pub runs: f64,
    /// How much longer than the first its last task runs.
    pub spread: f64,
    /// It ran when its user was told that it is cancelled.
    pub(super) cut_short: bool,
    /// Of a gang: what is saved, in seconds, and the attempt that runs.
    pub(super) progress: f64,
    pub(super) run: Option<gang::Run>,
    /// The latest attempt of which a task was told to run.
    pub(super) told_run: u64,
    /// When a question about it was last answered.
    pub(super) heard: Duration,
    /// When it was accepted, and when its first task started.
    pub since: Option<Duration>,
    pub began: Option<Duration>,
    /// Since when it waits although a machine has room for it.
    pub(super) waiting: Option<Duration>,
    /// The same for urgent jobs, also while troubles last.
    pub(super) urgent_waiting: Option<Duration>,
}

impl Job {
    pub fn done_or_cancelled(&self) -> bool {
        matches!(self.told, Some(JobStatus::Done | JobStatus::Cancelled))
    }
}
