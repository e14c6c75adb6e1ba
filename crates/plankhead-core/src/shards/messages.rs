//! Messages between the leader and the holders of shards.

use crate::protocol::{Heartbeat, MachineName, WorkerCommand};
use plankhead_sharding::sequence::MessageStamp;
use plankhead_sharding::shard::ShardId;
use roaring::RoaringBitmap;
use std::time::Duration;
use thiserror::Error;

/// The maximum number of machines in a message; further machines are sent in the next one.
pub const MAX_MACHINES: usize = 400;
/// The number of tasks or commands above which no further machine is added to a message.
pub const MAX_TASKS: usize = 8_000;
/// The maximum number of shards in a message.
pub const MAX_SHARDS: usize = 4_096;

/// A message about shards between two nodes.
#[derive(Debug, Clone, PartialEq)]
pub enum ShardMessage {
    /// From a holder to the leader.
    HolderStatus(Box<HolderStatus>),
    /// From the leader to a holder.
    LeaderCommands(Box<LeaderCommands>),
}

/// The status of a node as a holder of shards, sent to the leader. A node without shards sends it too, to
/// show that it is available as a holder.
#[derive(Debug, Clone, PartialEq)]
pub struct HolderStatus {
    /// The sender's host name.
    pub host: String,
    /// The position of the message among those of the sender.
    pub stamp: MessageStamp,
    /// The sender's zone.
    pub zone: String,
    /// The fencing token of the leader to which the message is addressed.
    pub term: u64,
    /// Whether the sender has read the shards' records recently, so that it notices when a shard is
    /// assigned to another node.
    pub sees_records: bool,
    /// The shards for which the sender currently acts as holder.
    pub shards: Vec<ShardHolding>,
    /// The id of the stream of messages; the numbers of machines are only valid within one stream.
    pub stream: u64,
    /// Whether the leader has not accepted a message of this stream yet.
    pub first: bool,
    /// Machines whose heartbeats have changed since the leader was last told of them.
    pub updates: Vec<MachineUpdate>,
    /// The numbers of machines that have sent heartbeats without changes since the previous message.
    pub alive: RoaringBitmap,
    /// The time since the first of the heartbeats that `alive` stands for.
    pub alive_age: Duration,
}

/// The state of a shard at its holder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardHolding {
    pub shard: ShardId,
    /// The epoch under which the holder holds the shard.
    pub epoch: u64,
    /// Whether the holder has released the shard: it starts no more tasks there and, including this
    /// message, has reported all of the shard's machines.
    pub released: bool,
}

/// The latest heartbeat of a machine, and the holder's state of the machine.
#[derive(Debug, Clone, PartialEq)]
pub struct MachineUpdate {
    /// The machine's number in the stream.
    pub number: u32,
    /// The machine's latest heartbeat.
    pub heartbeat: Heartbeat,
    /// Whether the machine's presence is confirmed: a heartbeat of it carried the shard's epoch, or it has
    /// answered a command of the holder.
    pub confirmed: bool,
    /// Whether the holder has found that the machine's worker ignores commands.
    pub ignores_commands: bool,
    /// The number of consecutive commands that the worker did not answer.
    pub unanswered_commands: u32,
    /// The time since the machine was last heard from.
    pub age: Duration,
}

/// The leader's commands for machines in the shards of a holder.
#[derive(Debug, Clone, PartialEq)]
pub struct LeaderCommands {
    /// The leader's host name.
    pub host: String,
    /// The position of the message among those of the leader.
    pub stamp: MessageStamp,
    /// The sequence number of the receiver's latest status that the leader has accepted.
    pub acknowledged: u64,
    /// The leader's fencing token.
    pub token: u64,
    /// The shards that the receiver holds according to the leader, with their epochs.
    pub shards: Vec<(ShardId, u64)>,
    /// The highest epoch that the leader has assigned so far. The receiver must stop acting for a shard
    /// with a lower epoch that is missing from `shards`.
    pub latest_epoch: u64,
    /// Machines with all their commands, which replace those from earlier messages.
    pub machines: Vec<MachineCommands>,
    /// Machines that are gone, as confirmed by the cloud.
    pub removed: Vec<MachineName>,
    /// The leader's latest heartbeats of machines in shards that were newly assigned to the receiver.
    pub snapshot: Vec<Heartbeat>,
}

/// All commands for a machine, addressed to one incarnation of its worker.
#[derive(Debug, Clone, PartialEq)]
pub struct MachineCommands {
    pub machine: MachineName,
    /// The index of the machine's shard in the message's list of shards.
    pub shard: usize,
    pub incarnation: u64,
    pub commands: Vec<WorkerCommand>,
}

/// The outcome of sending a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    /// The receiver has accepted the message.
    Accepted,
    /// The leader has accepted the message, but does not know its stream: the sender must report all
    /// machines again.
    FullSyncNeeded,
    /// The receiver has refused the message or a part of it: it could not be decoded, is outdated, or does
    /// not agree with the receiver's role, shards or leader.
    Rejected,
    /// The receiver does not use sharding.
    Unsupported,
    /// The receiver did not answer; the message may still arrive.
    NoResponse,
}

/// The reason why a received message could not be decoded.
#[derive(Debug, Error, Clone, PartialEq, Eq)]
pub enum ShardMessageError {
    #[error("message is too large")]
    TooLarge,
    #[error("message is malformed: {0}")]
    Malformed(String),
    #[error("field is out of range: {0}")]
    Range(&'static str),
}
