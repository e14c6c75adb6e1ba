//! Counts of the requests of each kind.

use std::sync::atomic::{AtomicU64, Ordering};

/// The kinds of requests and events that are counted separately.
#[derive(Debug, Clone, Copy)]
pub enum RequestKind {
    Heartbeat,
    Command,
    /// A copy of a direct command that reached its worker again.
    RepeatedCommand,
    Submission,
    StatusQuery,
    Cancellation,
    HealthCheck,
    StateRead,
    StateTransaction,
    StateLease,
    StateWatch,
    /// A user received the answer that a job is done or cancelled.
    JobFinished,
}

const KINDS: [(RequestKind, &str); 12] = [
    (RequestKind::Heartbeat, "heartbeats"),
    (RequestKind::Command, "direct commands"),
    (RequestKind::RepeatedCommand, "repeated commands"),
    (RequestKind::Submission, "submissions"),
    (RequestKind::StatusQuery, "status queries"),
    (RequestKind::Cancellation, "cancellations"),
    (RequestKind::HealthCheck, "health checks"),
    (RequestKind::StateRead, "state reads"),
    (RequestKind::StateTransaction, "state transactions"),
    (RequestKind::StateLease, "state lease calls"),
    (RequestKind::StateWatch, "state watches"),
    (RequestKind::JobFinished, "jobs finished"),
];

#[derive(Debug, Default)]
pub struct RequestCounts {
    by_kind: [AtomicU64; KINDS.len()],
    /// The size of the largest heartbeat, in bytes.
    largest_heartbeat: AtomicU64,
}

impl RequestCounts {
    pub fn add(&self, kind: RequestKind) {
        self.by_kind[kind as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Records the size of a heartbeat, in bytes.
    pub fn record_heartbeat_size(&self, bytes: usize) {
        self.largest_heartbeat.fetch_max(bytes as u64, Ordering::Relaxed);
    }

    /// Returns the number of copies of direct commands that reached their workers.
    pub fn repeated_commands(&self) -> u64 {
        self.by_kind[RequestKind::RepeatedCommand as usize].load(Ordering::Relaxed)
    }

    pub fn read(&self) -> [u64; KINDS.len()] {
        std::array::from_fn(|i| self.by_kind[i].load(Ordering::Relaxed))
    }

    pub fn jobs_finished(&self) -> u64 {
        self.by_kind[RequestKind::JobFinished as usize].load(Ordering::Relaxed)
    }

    /// Prints the rate of each kind. `before` holds the counts from `seconds` ago.
    pub fn print(&self, before: &[u64; KINDS.len()], seconds: u64) {
        let now = self.read();
        for (kind, name) in KINDS {
            let delta = now[kind as usize] - before[kind as usize];
            println!("{name}: {:.1}/s", delta as f64 / seconds as f64);
        }
        println!("largest heartbeat: {} bytes", self.largest_heartbeat.load(Ordering::Relaxed));
    }
}
