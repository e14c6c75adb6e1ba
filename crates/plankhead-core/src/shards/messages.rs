//! The messages between the leader and the holders of shards.

use crate::protocol::{Heartbeat, MachineName, WorkerCommand};
use plankhead_sharding::sequence::MessageStamp;
use plankhead_sharding::shard::ShardId;
use roaring::RoaringBitmap;
use std::time::Duration;
use thiserror::Error;

/// Machines in one message; the others go into the next one.
pub const MAX_MACHINES: usize = 400;
/// Tasks, or commands about them, after which no further machine goes into a message.
pub const MAX_TASKS: usize = 8_000;
/// Shards that one message names.
pub const MAX_SHARDS: usize = 4_096;

/// A message about shards between two nodes.
#[derive(Debug, Clone, PartialEq)]
pub enum ShardMessage {
    /// From a holder to the leader.
    HolderStatus(Box<HolderStatus>),
    /// From the leader to a holder.
    LeaderCommands(Box<LeaderCommands>),
}

/// A node's status as a holder, for the leader; one without shards shows that it could hold
/// some.
#[derive(Debug, Clone, PartialEq)]
pub struct HolderStatus {
    /// The sender.
    pub host: String,
    /// Orders the sender's messages.
    pub stamp: MessageStamp,
    /// Where the sender is.
    pub zone: String,
    /// The fencing token of the leader that it is meant for.
    pub term: u64,
    /// Whether it reads the records, so that it notices when a shard is taken from it.
    pub sees_records: bool,
    /// The shards that the sender acts for.
    pub shards: Vec<ShardHolding>,
    /// Tells one numbering of machines from another.
    pub stream: u64,
    /// The first message of its stream.
    pub first: bool,
    /// Machines whose heartbeats brought something new.
    pub updates: Vec<MachineUpdate>,
    /// Numbers of machines whose heartbeats brought nothing new.
    pub alive: RoaringBitmap,
    /// How long ago the first of these was heard.
    pub alive_age: Duration,
}

/// A shard as its holder sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardHolding {
    pub shard: ShardId,
    /// The epoch under which it is held.
    pub epoch: u64,
    /// Nothing is started there any more, and the leader has been told of all its machines.
    pub released: bool,
}

/// A machine's latest heartbeat, and what its holder knows beside that.
#[derive(Debug, Clone, PartialEq)]
pub struct MachineUpdate {
    /// The machine's number in the stream.
    pub number: u32,
    /// Its latest heartbeat.
    pub heartbeat: Heartbeat,
    /// It is a confirmed machine: it has shown an epoch of this holder.
    pub confirmed: bool,
    /// It does not act on the commands that it is sent.
    pub ignores_commands: bool,
    /// Commands in a row that it did not answer.
    pub unanswered_commands: u32,
    /// How long ago it was heard.
    pub age: Duration,
}

/// The leader's commands for the machines of a holder.
#[derive(Debug, Clone, PartialEq)]
pub struct LeaderCommands {
    /// The leader.
    pub host: String,
    /// Orders the leader's messages.
    pub stamp: MessageStamp,
    /// The sequence of the receiver's latest status that the leader has accepted.
    pub acknowledged: u64,
    /// The leader's fencing token.
    pub token: u64,
    /// The shards that the leader takes the receiver to hold, with their epochs.
    pub shards: Vec<(ShardId, u64)>,
    /// The highest epoch that the leader has given so far.
    pub latest_epoch: u64,
    /// All commands for each of these machines; replaces those of earlier messages.
    pub machines: Vec<MachineCommands>,
    /// Machines that the cloud has taken back.
    pub removed: Vec<MachineName>,
    /// What is known of machines of shards that the receiver holds only now.
    pub snapshot: Vec<Heartbeat>,
}

/// All commands for a machine in one incarnation of its worker.
#[derive(Debug, Clone, PartialEq)]
pub struct MachineCommands {
    pub machine: MachineName,
    /// The index of the machine's shard among those that the message names.
    pub shard: usize,
    pub incarnation: u64,
    pub commands: Vec<WorkerCommand>,
}

/// What became of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    /// Accepted by its receiver.
    Accepted,
    /// Accepted by a leader that does not know the stream: it must be told of all machines
    /// anew.
    FullSyncNeeded,
    /// Refused: it is not meant for its receiver, or out of date.
    Rejected,
    /// Its receiver does not shard machines.
    Unsupported,
    /// No answer came; the message may still arrive.
    NoResponse,
}

/// Why a message was refused before it reached the core.
#[derive(Debug, Error, Clone, PartialEq, Eq)]
pub enum ShardMessageError {
    #[error("it is too large")]
    TooLarge,
    #[error("it can't be read: {0}")]
    Malformed(String),
    #[error("a field is out of range: {0}")]
    Range(&'static str),
}
