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

/// What a call is for, kept until its reply.
#[derive(Debug, Clone, PartialEq)]
pub enum CallPurpose {
    /// The leader election.
    Election(ElectionCall),
    /// The version barrier.
    VersionBarrier(VersionBarrierCall),
    /// A user's request.
    UserRequest(PendingRequest),
    /// The leader, with the fencing token of its term: replies to calls of an earlier term are
    /// ignored.
    Leader(u64, LeaderCall),
    /// The reachability subsystem.
    Reachability(ReachabilityCall),
    /// The records of shards.
    ShardRecords(KeyWatchCall),
    /// A holder of shards.
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
    /// Reads the leader's key.
    Read,
    /// Waits for the leader's key to change.
    Watch,
    /// Asks for the lease under which the key is to be claimed.
    GrantLease,
    /// Writes the leader's key under the lease, if no node holds it.
    Claim { lease: u64 },
    /// Renews the lease of the leader's key, at the time of sending.
    RenewLease { lease: u64, sent: Duration },
    /// Gives a lease up, so that the key becomes vacant.
    RevokeLease,
}

/// What a call of the version barrier is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionBarrierCall {
    /// Writes the key that shows this node's version.
    WriteVersion,
    /// Reads the keys of all nodes.
    ListVersions,
}

/// What a call of a key watch is for; `sent`: when it was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyWatchCall {
    /// Reads a page of the keys; `sent`: when the first page was asked for.
    List { sent: Duration },
    /// Waits for changes.
    Watch { sent: Duration },
}

/// What a call on behalf of users' requests is for.
#[derive(Debug, Clone, PartialEq)]
pub enum PendingRequest {
    /// Writes the records of new jobs.
    Create(Vec<JobCreation>),
    /// Reads a job's record.
    Lookup(Lookup),
    /// Writes a job's record as cancelled.
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
    /// To tell the job's state.
    Status,
    /// A repeated submission, or one whose outcome is unknown.
    RepeatedSubmission,
    /// The request is refused with this answer, unless the job is known.
    RejectUnlessKnown(Response),
    /// To cancel the job, after so many attempts that failed.
    Cancel { attempts: u32 },
}

/// A job that is being created, with all requests that wait for it.
#[derive(Debug, Clone, PartialEq)]
pub struct JobCreation {
    pub(crate) requests: Vec<RequestId>,
    pub(crate) id: JobId,
    /// The record, as it is to be stored.
    pub(crate) value: String,
    /// When it was accepted into the queue.
    pub(crate) queued_at: Duration,
}

/// What a call of the reachability subsystem is for.
#[derive(Debug, Clone, PartialEq)]
pub enum ReachabilityCall {
    /// Reads a page of the numbering of machines.
    ListPages,
    /// Writes a page of the numbering.
    WritePage { key: String, value: String },
    /// Tries a link; the reply's content does not matter.
    Probe,
}

/// What a holder's call is for.
#[derive(Debug, Clone, PartialEq)]
pub enum HolderCall {
    /// Reads the jobs.
    WatchJobs(KeyWatchCall),
    /// Sends commands directly to a worker.
    SendCommands(SentCommands),
    /// Tells the leader with this fencing token what is new of these machines.
    ReportStatus { leader: u64, machines: Vec<MachineName> },
}

/// Commands that were sent directly to a worker.
#[derive(Debug, Clone, PartialEq)]
pub struct SentCommands {
    pub machine: MachineName,
    pub incarnation: u64,
    /// The tasks that they start, each with its attempt.
    pub starts: Vec<(TaskId, u64)>,
}

/// What a leader's call is for.
#[derive(Debug, Clone, PartialEq)]
pub enum LeaderCall {
    /// Reads a page of the jobs' records.
    ListJobs,
    /// Reads a page of the jobs' chunks.
    ListChunks,
    /// Reads the target of the last sizing round.
    ReadTarget,
    /// Waits for changes of the jobs' records.
    WatchJobs { sent: Duration },
    /// Makes chunks and ended jobs durable.
    Commit(WriteBatch),
    /// Reads a chunk again, whose write failed or is in doubt.
    ReadChunk(JobId, u32),
    /// Reads a job's record again, whose write failed or is in doubt.
    ReadJob(JobId),
    /// Deletes keys that nobody needs any more.
    DeleteGarbage(Vec<StoredKey>),
    /// Reads the revision of a key that is to be deleted.
    ReadGarbageRevision(String),
    /// Moves records of ended jobs under their archive keys.
    ArchiveJobs(Vec<FinishedJob>),
    /// Writes the target of a sizing round.
    WriteTarget,
    /// Reads a page of the cloud's inventory.
    ListInstances,
    /// Rents machines.
    Rent(PendingRental),
    /// Returns machines to the cloud.
    Release { machines: Vec<MachineName>, intent: IdempotencyKey },
    /// Reads a page of the intents of former leaders.
    ListIntents,
    /// Writes this leader's intents.
    WriteIntents { sent: Duration },
    /// Reads a page of intents again, whose write is in doubt.
    ReadIntents { page: PageId, sent: Duration },
    /// Sends commands directly to a worker.
    SendCommands { machine: MachineName, incarnation: u64, starts: Vec<(TaskId, u64)> },
    /// Writes records of shards.
    WriteShards { writes: Vec<RecordWrite>, sent: Duration },
    /// Sends the holder of shards the commands for their machines.
    SendShardCommands { to: String, sent: SentShardCommands },
}

/// What one transaction makes durable.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct WriteBatch {
    pub(crate) chunks: Vec<(JobId, u32, u64)>,
    /// Jobs whose end it stores.
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

/// A rental that waits for its reply.
#[derive(Debug, Clone, PartialEq)]
pub struct PendingRental {
    /// The idempotency key: the cloud carries each name out once at most.
    pub name: String,
    pub pool: Pool,
    pub count: u32,
}

/// What a message to a holder contained, to be sent again if it did not arrive.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct SentShardCommands {
    pub(crate) machines: Vec<MachineName>,
    pub(crate) newly_held: BTreeSet<ShardId>,
    pub(crate) removed: Vec<MachineName>,
    pub(crate) shard_taken: bool,
}
