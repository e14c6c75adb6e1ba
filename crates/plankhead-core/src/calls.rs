//! The purposes of calls to other services and nodes, kept until the replies arrive.
//!
//! The types for all callers are defined in this one module, so that no caller depends on another
//! caller's module to tell replies apart.

use crate::jobs::job::{JobId, JobRecord};
use crate::protocol::{MachineName, Pool, RequestId, Response};
use plankhead_fencing::intent::IdempotencyKey;
use plankhead_fencing::record::PageId;
use plankhead_sharding::registry::RecordWrite;
use plankhead_sharding::shard::ShardId;
use std::collections::BTreeSet;
use std::time::Duration;

/// The purpose of a call, kept until its reply arrives.
#[derive(Debug, Clone, PartialEq)]
pub enum CallPurpose {
    /// A call of the leader election.
    Election(ElectionCall),
    /// A call of the version barrier.
    VersionBarrier(VersionBarrierCall),
    /// A call on behalf of users' requests.
    UserRequest(UserRequestCall),
    /// A call of the leader, with the fencing token of its term. Replies to calls of an earlier term
    /// are ignored.
    Leader(u64, LeaderCall),
    /// A call of the reachability subsystem.
    Reachability(ReachabilityCall),
    /// Asks whether the leader's key is still held in the term with this token.
    VerifyTerm { token: u64 },
    /// A read or a watch of the shard records.
    ShardRecords(KeyWatchCall),
    /// A call of a holder of shards.
    Holder(HolderCall),
    /// A call of the reclaimer, which acts while no node can lead.
    Reclaim(ReclaimCall),
    /// A read of the list of machine types.
    MachineTypes,
}

/// A key in the state service that is no longer needed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ObsoleteKey {
    pub key: String,
    /// The revision of the key's latest change, if known.
    pub revision: Option<u64>,
}

/// The purpose of a call of the leader election.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ElectionCall {
    /// Reads the leader's key.
    Read,
    /// Waits for the leader's key to change.
    Watch,
    /// Requests the lease under which to acquire the key.
    GrantLease,
    /// Writes the leader's key under the lease if the key does not exist.
    Acquire { lease: u64 },
    /// Renews the lease of the leader's key. `sent` is when the renewal was sent.
    RenewLease { lease: u64, sent: Duration },
    /// Revokes a lease, so that the key becomes vacant.
    RevokeLease,
}

/// The purpose of a call of the version barrier.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionBarrierCall {
    /// Writes the key with this node's version.
    WriteVersion,
    /// Reads the version keys of all nodes.
    ListVersions,
}

/// The purpose of a call of a [`crate::key_watch::KeyWatch`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyWatchCall {
    /// Reads a page of the keys. `sent` is when the first page was requested.
    List { sent: Duration },
    /// Waits for changes. `sent` is when the watch was sent.
    Watch { sent: Duration },
}

/// The purpose of a call on behalf of users' requests.
#[derive(Debug, Clone, PartialEq)]
pub enum UserRequestCall {
    /// Writes the records of new jobs.
    Create(Vec<JobCreation>),
    /// Reads a job's record.
    Lookup(Lookup),
    /// Writes a job's record with the job cancelled.
    Cancel(Box<Cancellation>),
}

/// A read of a job's record for a user.
#[derive(Debug, Clone, PartialEq)]
pub struct Lookup {
    pub(crate) request: RequestId,
    pub(crate) id: JobId,
    pub(crate) reason: LookupReason,
    /// Whether the archive key is read, because there was no record under the key of active jobs.
    pub(crate) archived: bool,
}

/// A write of a job's record with the job cancelled.
#[derive(Debug, Clone, PartialEq)]
pub struct Cancellation {
    pub(crate) request: RequestId,
    pub(crate) id: JobId,
    pub(crate) record: JobRecord,
    /// The number of earlier attempts that failed because the record had changed, or whose outcome is
    /// unknown.
    pub(crate) attempts: u32,
}

/// The reason for reading a job's record for a user.
#[derive(Debug, Clone, PartialEq)]
pub enum LookupReason {
    /// To return the job's state.
    Status,
    /// To answer a repeated submission, or one whose outcome is unknown.
    RepeatedSubmission,
    /// To reject the request with this response, unless the job exists.
    RejectUnlessKnown(Response),
    /// To cancel the job. `attempts` is as in [`Cancellation`].
    Cancel { attempts: u32 },
}

/// A job whose record is being written, with all requests that wait for it.
#[derive(Debug, Clone, PartialEq)]
pub struct JobCreation {
    pub(crate) requests: Vec<RequestId>,
    pub(crate) id: JobId,
    /// The record's serialized value.
    pub(crate) value: String,
    /// When the job was added to the queue of jobs to be written.
    pub(crate) queued_at: Duration,
}

/// The purpose of a call of the reachability subsystem.
#[derive(Debug, Clone, PartialEq)]
pub enum ReachabilityCall {
    /// Reads a page of the machine numbering.
    ListPages,
    /// Writes a page of the machine numbering.
    WritePage { key: String, value: String },
    /// Tests a link. The content of the reply does not matter.
    Probe,
}

/// The purpose of a holder's call.
#[derive(Debug, Clone, PartialEq)]
pub enum HolderCall {
    /// Reads or watches the job records.
    WatchJobs(KeyWatchCall),
    /// Sends commands directly to a worker.
    SendCommands { machine: MachineName },
    /// Sends the leader with this fencing token a status with updates of these machines.
    ReportStatus { leader: u64, machines: Vec<MachineName> },
}

/// The purpose of a call of the reclaimer.
#[derive(Debug, Clone, PartialEq)]
pub enum ReclaimCall {
    /// Reads or watches the job records.
    WatchJobs(KeyWatchCall),
    /// Reads a page of a cancelled job's chunks.
    ListChunks(JobId),
    /// Reads a key, to find out whether the state service answers. `sent` is when the read was sent.
    TestStore { sent: Duration },
    /// Reads a page of the cloud's inventory.
    ListInstances,
    /// Returns machines to the cloud.
    Release { machines: Vec<MachineName> },
    /// Inspects a worker. `sent` is when the call was sent.
    Inspect { machine: MachineName, sent: Duration },
}

/// The purpose of a leader's call.
#[derive(Debug, Clone, PartialEq)]
pub enum LeaderCall {
    /// Reads a page of the job records.
    ListJobs,
    /// Reads a page of the job chunks.
    ListChunks,
    /// Reads the target of the last sizing round.
    ReadTarget,
    /// Waits for changes of the job records.
    WatchJobs { sent: Duration },
    /// Writes chunks and the final records of ended jobs.
    Commit(WriteBatch),
    /// Reads a chunk again after its write failed or had an unknown outcome.
    ReadChunk(JobId, u32),
    /// Reads a job's record again after its write failed or had an unknown outcome.
    ReadJob(JobId),
    /// Deletes keys that are no longer needed.
    DeleteGarbage(Vec<ObsoleteKey>),
    /// Reads the revision of a key that is to be deleted.
    ReadGarbageRevision(String),
    /// Moves records of ended jobs to their archive keys.
    ArchiveJobs(Vec<FinishedJob>),
    /// Writes the target of a sizing round.
    WriteTarget,
    /// Reads a page of the cloud's inventory.
    ListInstances,
    /// Rents machines.
    Rent(PendingRental),
    /// Returns machines to the cloud.
    Release { machines: Vec<MachineName>, intent: IdempotencyKey },
    /// Reads a page of the intents of previous leaders.
    ListIntents,
    /// Writes this leader's intents.
    WriteIntents { sent: Duration },
    /// Reads a page of intents again after its write had an unknown outcome.
    ReadIntents { page: PageId, sent: Duration },
    /// Sends commands directly to a worker.
    SendCommands { machine: MachineName },
    /// Inspects a worker. `sent` is when the call was sent.
    Inspect { machine: MachineName, sent: Duration },
    /// Writes shard records.
    WriteShards { writes: Vec<RecordWrite>, sent: Duration },
    /// Sends a holder the commands for the machines of its shards.
    SendShardCommands { to: String, sent: SentShardCommands },
}

/// The content of one [`LeaderCall::Commit`] transaction.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct WriteBatch {
    /// The chunks that are written, each as its job, its number in the job and its version.
    pub(crate) chunks: Vec<(JobId, u32, u64)>,
    /// The jobs whose final records are written.
    pub(crate) finals: Vec<JobId>,
}

/// An ended job whose record is to be moved to its archive key.
#[derive(Debug, Clone, PartialEq)]
pub struct FinishedJob {
    pub id: JobId,
    /// The revision of the job's record under the key of active jobs.
    pub mod_revision: u64,
    /// The record to be stored under the archive key.
    pub record: JobRecord,
}

/// A rental that waits for its final reply.
#[derive(Debug, Clone, PartialEq)]
pub struct PendingRental {
    /// The idempotency key: the cloud carries out at most one rental of each name.
    pub name: String,
    pub pool: Pool,
    pub count: u32,
}

/// The content of a message to a holder, kept to be sent again if the message did not arrive.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct SentShardCommands {
    pub(crate) machines: Vec<MachineName>,
    /// The shards new to the holder, for which the message contained a snapshot of the machines.
    pub(crate) newly_held: BTreeSet<ShardId>,
    /// The machines whose release the message reported.
    pub(crate) removed: Vec<MachineName>,
    /// Whether a shard was taken from the holder since the previous message.
    pub(crate) shard_taken: bool,
}
