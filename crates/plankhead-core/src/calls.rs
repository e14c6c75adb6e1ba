//! What each call to the outside is for, kept until its reply comes.
//!
//! All of it stands here, below the parts that make the calls, so that no part has to know
//! another one's module to tell replies apart.

use crate::jobs::job::{JobId, JobRecord};
use crate::protocol::{MachineName, Pool, RequestId, Response, TaskId};
use plankhead_fencing::intent::IdempotencyKey;
use plankhead_fencing::record::PageId;
use plankhead_sharding::registry::RecordWrite;
use plankhead_sharding::shard::ShardId;
use std::collections::BTreeSet;
use std::time::Duration;

/// What a call to the outside is for, kept until its reply.
#[derive(Debug, Clone, PartialEq)]
pub enum CallPurpose {
    Election(ElectionCall),
    VersionBarrier(VersionBarrierCall),
    UserRequest(PendingRequest),
    /// With the fencing token of the term, so that replies to an earlier one are ignored.
    Leader(u64, LeaderCall),
    Reachability(ReachabilityCall),
    /// The records of shards.
    ShardRecords(KeyWatchCall),
    Holder(HolderCall),
    /// The list of machine types.
    MachineTypes,
}

/// A key in the state service that nobody needs any more.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredKey {
    pub key: String,
    /// Its revision, where that is known.
    pub revision: Option<u64>,
}

/// What a call of the leader election is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ElectionCall {
    Read,
    Watch,
    GrantLease,
    /// Writes the leader's key under the lease, if nobody holds it.
    Claim {
        lease: u64,
    },
    RenewLease {
        lease: u64,
        sent: Duration,
    },
    RevokeLease,
}

/// What a call of the version barrier is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionBarrierCall {
    WriteVersion,
    ListVersions,
}

/// What a call of a key watch is for; `sent`: when it was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyWatchCall {
    List { sent: Duration },
    Watch { sent: Duration },
}

/// What a call on behalf of users' requests is for.
#[derive(Debug, Clone, PartialEq)]
pub enum PendingRequest {
    /// Writes the records of new jobs.
    Create(Vec<JobCreation>),
    Lookup(Lookup),
    Cancel(Box<Cancellation>),
}

/// A read of a job's record for a user.
#[derive(Debug, Clone, PartialEq)]
pub struct Lookup {
    pub(crate) request: RequestId,
    pub(crate) id: JobId,
    pub(crate) reason: LookupReason,
    /// Under the key of archived jobs, since there was none under that of live ones.
    pub(crate) archived: bool,
}

/// A write of a job's record as cancelled.
#[derive(Debug, Clone, PartialEq)]
pub struct Cancellation {
    pub(crate) request: RequestId,
    pub(crate) id: JobId,
    pub(crate) record: JobRecord,
    /// Attempts before this one, which failed since the record had changed.
    pub(crate) attempts: u32,
}

/// Why a job's record is read for a user.
#[derive(Debug, Clone, PartialEq)]
pub enum LookupReason {
    Status,
    /// A repeated submission, or one whose outcome is unknown.
    RepeatedSubmission,
    /// If the job is not known, this is the answer.
    RejectUnlessKnown(Response),
    Cancel {
        attempts: u32,
    },
}

/// A job that is being created, with all requests that wait for it.
#[derive(Debug, Clone, PartialEq)]
pub struct JobCreation {
    pub(crate) requests: Vec<RequestId>,
    pub(crate) id: JobId,
    pub(crate) value: String,
    pub(crate) queued_at: Duration,
}

/// What a call of the reachability subsystem is for.
#[derive(Debug, Clone, PartialEq)]
pub enum ReachabilityCall {
    ListPages,
    WritePage { key: String, value: String },
    Probe,
}

/// What a holder's call is for.
#[derive(Debug, Clone, PartialEq)]
pub enum HolderCall {
    WatchJobs(KeyWatchCall),
    SendCommands { machine: MachineName, incarnation: u64, starts: Vec<(TaskId, u64)> },
    ReportStatus { leader: u64, machines: Vec<MachineName> },
}

/// What a leader's call is for.
#[derive(Debug, Clone, PartialEq)]
pub enum LeaderCall {
    ListJobs,
    ListChunks,
    ReadTarget,
    WatchJobs {
        sent: Duration,
    },
    Commit(WriteBatch),
    ReadChunk(JobId, u32),
    ReadJob(JobId),
    DeleteGarbage(Vec<StoredKey>),
    /// The revision of a key that is to go.
    ReadGarbageRevision(String),
    ArchiveJobs(Vec<FinishedJob>),
    WriteTarget,
    ListInstances,
    Rent(PendingRental),
    Release {
        machines: Vec<MachineName>,
        intent: IdempotencyKey,
    },
    /// Intents of former leaders.
    ListIntents,
    WriteIntents {
        sent: Duration,
    },
    ReadIntents {
        page: PageId,
        sent: Duration,
    },
    SendCommands {
        machine: MachineName,
        incarnation: u64,
        starts: Vec<(TaskId, u64)>,
    },
    WriteShards {
        writes: Vec<RecordWrite>,
        sent: Duration,
    },
    /// Commands for machines of shards that another node holds.
    SendShardCommands {
        to: String,
        sent: SentShardCommands,
    },
}

/// What one transaction makes durable.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct WriteBatch {
    pub(crate) chunks: Vec<(JobId, u32, u64)>,
    pub(crate) finals: Vec<JobId>,
}

/// A job that has ended, to be moved under its archive key.
#[derive(Debug, Clone, PartialEq)]
pub struct FinishedJob {
    pub id: JobId,
    /// The revision of its record under the key of live jobs.
    pub mod_revision: u64,
    /// What stays of it.
    pub record: JobRecord,
}

/// A rental that is not answered yet.
#[derive(Debug, Clone, PartialEq)]
pub struct PendingRental {
    /// The cloud carries each name out once at most.
    pub name: String,
    pub pool: Pool,
    pub count: u32,
}

/// What a message told a holder, to be told again if it did not arrive.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct SentShardCommands {
    pub(crate) machines: Vec<MachineName>,
    pub(crate) newly_held: BTreeSet<ShardId>,
    pub(crate) removed: Vec<MachineName>,
    pub(crate) shard_taken: bool,
}
