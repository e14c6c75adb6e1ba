//! How often each kind of request was made.

use std::sync::atomic::{AtomicU64, Ordering};

/// The kinds that are told apart.
#[derive(Debug, Clone, Copy)]
pub enum Kind {
    Report,
    Command,
    Submission,
    Question,
    Cancellation,
    HealthCheck,
    StateRead,
    StateTransaction,
    StateLease,
    StateWatch,
    /// A user was told that a job is over.
    JobOver,
}

const KINDS: [(Kind, &str); 11] = [
    (Kind::Report, "reports"),
    (Kind::Command, "direct commands"),
    (Kind::Submission, "submissions"),
    (Kind::Question, "questions"),
    (Kind::Cancellation, "cancellations"),
    (Kind::HealthCheck, "health checks"),
    (Kind::StateRead, "state reads"),
    (Kind::StateTransaction, "state transactions"),
    (Kind::StateLease, "state lease calls"),
    (Kind::StateWatch, "state watches"),
    (Kind::JobOver, "jobs over"),
];

#[derive(Debug, Default)]
pub struct Counts([AtomicU64; KINDS.len()]);

impl Counts {
    pub fn add(&self, kind: Kind) {
        self.0[kind as usize].fetch_add(1, Ordering::Relaxed);
    }

    pub fn read(&self) -> [u64; KINDS.len()] {
        std::array::from_fn(|i| self.0[i].load(Ordering::Relaxed))
    }

    pub fn jobs_over(&self) -> u64 {
        self.0[Kind::JobOver as usize].load(Ordering::Relaxed)
    }

    /// Prints what came since `before`, in a second.
    pub fn print(&self, before: &[u64; KINDS.len()], seconds: u64) {
        let now = self.read();
        for (kind, name) in KINDS {
            let since = now[kind as usize] - before[kind as usize];
            println!("{name}: {:.1} a second", since as f64 / seconds as f64);
        }
    }
}
