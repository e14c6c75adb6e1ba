//! A cache of ended jobs, whose status never changes again.

use crate::jobs::job::JobId;
use crate::protocol::JobStatus;
use std::collections::{HashMap, VecDeque};

/// The maximum number of cached jobs; the status of other jobs is read from the state service.
const MAX_ENDED_JOBS: usize = 50_000;

/// The final state of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct EndedJob {
    pub status: JobStatus,
    /// The number of its tasks that completed.
    pub done: u32,
}

/// The jobs that ended most recently.
#[derive(Debug, Default)]
pub(super) struct EndedJobs {
    by_id: HashMap<JobId, EndedJob>,
    /// The cached jobs, in the order in which they were recorded.
    order: VecDeque<JobId>,
}

impl EndedJobs {
    pub fn get(&self, id: &JobId) -> Option<EndedJob> {
        self.by_id.get(id).copied()
    }

    pub fn contains(&self, id: &JobId) -> bool {
        self.by_id.contains_key(id)
    }

    pub fn record(&mut self, id: &JobId, job: EndedJob) {
        if self.by_id.insert(id.clone(), job).is_none() {
            self.order.push_back(id.clone());
        }
        while self.order.len() > MAX_ENDED_JOBS {
            if let Some(oldest) = self.order.pop_front() {
                self.by_id.remove(&oldest);
            }
        }
    }
}
