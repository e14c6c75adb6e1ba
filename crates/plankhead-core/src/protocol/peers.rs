//! What nodes tell each other.

/// What a node tells its peers every second.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct PeerHeartbeat {
    /// The sender.
    pub host: String,
    /// The state service answers the sender.
    pub kv_available: bool,
    /// The fencing token under which the sender leads, or 0.
    pub token: u64,
    /// The progress of jobs under way, if the sender leads.
    pub progress: Vec<JobProgress>,
}

/// How far a job has come.
#[derive(Debug, Clone, PartialEq)]
pub struct JobProgress {
    /// The job's id, not checked yet.
    pub id: String,
    /// Tasks that completed.
    pub done: u32,
    /// Tasks that run now.
    pub running: u32,
}
