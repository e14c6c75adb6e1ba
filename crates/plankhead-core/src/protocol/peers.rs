//! Heartbeats between nodes.

/// The heartbeat that a node sends to its peers every second.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct PeerHeartbeat {
    /// The sender's name.
    pub host: String,
    /// Whether the state service answers the sender.
    pub kv_available: bool,
    /// The fencing token under which the sender leads, or 0 if it does not lead.
    pub token: u64,
    /// The progress of active jobs, if the sender leads.
    pub progress: Vec<JobProgress>,
}

/// The progress of a job.
#[derive(Debug, Clone, PartialEq)]
pub struct JobProgress {
    /// The job's id, which has not been validated.
    pub id: String,
    /// The number of completed tasks.
    pub done: u32,
    /// The number of running tasks.
    pub running: u32,
}
