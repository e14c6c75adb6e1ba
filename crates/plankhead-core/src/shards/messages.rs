//! What the leader and the holders of shards tell each other.

use crate::protocol::{Heartbeat, MachineName, WorkerCommand};
use plankhead_sharding::sequence::MessageStamp;
use plankhead_sharding::shard::ShardId;
use roaring::RoaringBitmap;
use std::time::Duration;
use thiserror::Error;

/// Machines that one message tells of at most; the others have the next one.
pub const MAX_MACHINES: usize = 400;
/// Tasks, or commands about them, after which a message takes in no further machine.
pub const MAX_TASKS: usize = 8_000;
/// Shards that one message names at most.
pub const MAX_SHARDS: usize = 4_096;

/// A message on the path for shards.
#[derive(Debug, Clone, PartialEq)]
pub enum ShardMessage {
    HolderStatus(Box<HolderStatus>),
    LeaderCommands(Box<LeaderCommands>),
}

/// What a controller tells the leader of the shards that it holds; without shards, that it
/// is there to hold some.
#[derive(Debug, Clone, PartialEq)]
pub struct HolderStatus {
    pub host: String,
    pub stamp: MessageStamp,
    /// Where the controller is.
    pub zone: String,
    /// The token of the leader that it is meant for.
    pub term: u64,
    /// Whether it sees the records, so that it notices when a shard is taken from it.
    pub sees_records: bool,
    pub shards: Vec<ShardHolding>,
    /// Tells one numbering of machines from another.
    pub stream: u64,
    /// The first message of its stream.
    pub first: bool,
    /// Machines of which something is new.
    pub updates: Vec<MachineUpdate>,
    /// Numbers of machines that reported with nothing new.
    pub alive: RoaringBitmap,
    /// How long ago the first of these was heard.
    pub alive_age: Duration,
}

/// A shard as its holder sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardHolding {
    pub shard: ShardId,
    pub epoch: u64,
    /// Nothing of it is started any more, and all news of it is told.
    pub released: bool,
}

/// A machine's newest report, and what its holder knows beside that.
#[derive(Debug, Clone, PartialEq)]
pub struct MachineUpdate {
    /// The machine's number in the stream.
    pub number: u32,
    pub heartbeat: Heartbeat,
    /// The machine is there for certain: it has shown a token of this holder.
    pub confirmed: bool,
    /// It does not hear what it is told.
    pub ignores_commands: bool,
    /// Commands in a row that it did not answer.
    pub unanswered_commands: u32,
    /// How long ago it was heard.
    pub age: Duration,
}

/// What the leader has a holder tell its machines.
#[derive(Debug, Clone, PartialEq)]
pub struct LeaderCommands {
    pub host: String,
    pub stamp: MessageStamp,
    /// The number of the receiver's message that the leader took in last.
    pub acknowledged: u64,
    /// The leader's token.
    pub token: u64,
    /// The shards that the leader takes the receiver to hold, with their epochs.
    pub shards: Vec<(ShardId, u64)>,
    /// The highest epoch that the leader has given so far.
    pub latest_epoch: u64,
    /// All that each of these machines is to be told; replaces what was said before.
    pub machines: Vec<MachineCommands>,
    /// Machines that the cloud has taken back.
    pub removed: Vec<MachineName>,
    /// What is known of machines of shards that the receiver holds only now.
    pub snapshot: Vec<Heartbeat>,
}

/// All commands for a machine in one session of its worker.
#[derive(Debug, Clone, PartialEq)]
pub struct MachineCommands {
    pub machine: MachineName,
    /// The place of the machine's shard among those that the message names.
    pub shard: usize,
    pub incarnation: u64,
    pub commands: Vec<WorkerCommand>,
}

/// What became of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    /// Taken in.
    Accepted,
    /// Taken in, by a leader that does not know the stream: all is to be told anew.
    FullSyncNeeded,
    /// Refused: its receiver is not whom it is meant for, or not yet.
    Rejected,
    /// Its receiver does not divide machines.
    Unsupported,
    /// Without an answer; it may come late.
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
