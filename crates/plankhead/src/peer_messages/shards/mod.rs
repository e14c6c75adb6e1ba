//! Messages about shards between the leader and the holders. Large messages, such as those with the snapshot
//! of a shard, are compressed.

mod decode;
mod encode;

pub use decode::decode;
pub use encode::encode;

use plankhead_core::protocol::{ExitReason, TaskStatus};
use rkyv::{Archive, Deserialize, Serialize};

/// The path of messages about shards on the controller port.
pub const PATH: &str = "/shards";
/// The largest encoded message, in bytes.
pub const MAX_MESSAGE: usize = 2 * 1024 * 1024;
/// The largest message after decompression, in bytes.
const MAX_DECOMPRESSED: usize = 8 * 1024 * 1024;
/// The size in bytes from which messages are compressed.
const MIN_COMPRESSED: usize = 2 * 1024;
/// The first byte of a message that is not compressed.
const ENCODING_PLAIN: u8 = 0;
/// The first byte of a message whose remaining bytes are compressed with LZ4.
const ENCODING_LZ4: u8 = 1;

// The codes of the commands.
const COMMAND_RUN: u8 = 0;
const COMMAND_KILL: u8 = 1;
const COMMAND_ACKNOWLEDGE: u8 = 2;

/// The statuses of a task. The index of a status is its code.
const TASK_STATUSES: [TaskStatus; 14] = [
    TaskStatus::FetchingImage,
    TaskStatus::WaitingForGang,
    TaskStatus::Running,
    TaskStatus::Checkpointing,
    TaskStatus::Unrecognized,
    TaskStatus::Exited(ExitReason::Completed),
    TaskStatus::Exited(ExitReason::Stopped),
    TaskStatus::Exited(ExitReason::Failed),
    TaskStatus::Exited(ExitReason::InsufficientResources),
    TaskStatus::Exited(ExitReason::AttemptConflict),
    TaskStatus::Exited(ExitReason::UnknownJob),
    TaskStatus::Exited(ExitReason::GangMemberLost),
    TaskStatus::Exited(ExitReason::GangIncomplete),
    TaskStatus::Exited(ExitReason::Unrecognized),
];

#[derive(Archive, Serialize, Deserialize)]
enum Message {
    HolderStatus(HolderStatusMessage),
    LeaderCommands(LeaderCommandsMessage),
}

#[derive(Archive, Serialize, Deserialize)]
struct ShardHoldingMessage {
    zone: String,
    index: u32,
    epoch: u64,
    released: bool,
}

#[derive(Archive, Serialize, Deserialize)]
struct HolderStatusMessage {
    host: String,
    boot: u64,
    sequence: u64,
    zone: String,
    term: u64,
    sees_records: bool,
    shards: Vec<ShardHoldingMessage>,
    stream: u64,
    first: bool,
    updates: Vec<MachineUpdateMessage>,
    alive: Vec<u8>,
    alive_age_ms: u64,
}

#[derive(Archive, Serialize, Deserialize)]
struct MachineUpdateMessage {
    number: u32,
    heartbeat: HeartbeatMessage,
    confirmed: bool,
    ignores_commands: bool,
    unanswered_commands: u32,
    age_ms: u64,
}

#[derive(Archive, Serialize, Deserialize)]
struct HeartbeatMessage {
    machine: String,
    address: String,
    machine_type: String,
    zone: String,
    spot: bool,
    incarnation: u64,
    sequence: u64,
    token: u64,
    preemption_notice_ms: Option<u64>,
    tasks: Vec<ReportedTaskMessage>,
}

#[derive(Archive, Serialize, Deserialize)]
struct ReportedTaskMessage {
    job: String,
    index: u32,
    attempt: u64,
    status: u8,
}

#[derive(Archive, Serialize, Deserialize)]
struct LeaderCommandsMessage {
    host: String,
    boot: u64,
    sequence: u64,
    acknowledged: u64,
    token: u64,
    shards: Vec<ShardHoldingMessage>,
    latest_epoch: u64,
    machines: Vec<MachineCommandsMessage>,
    removed: Vec<String>,
    snapshot: Vec<HeartbeatMessage>,
}

#[derive(Archive, Serialize, Deserialize)]
struct MachineCommandsMessage {
    machine: String,
    shard: u32,
    incarnation: u64,
    commands: Vec<CommandMessage>,
}

#[derive(Archive, Serialize, Deserialize)]
struct CommandMessage {
    kind: u8,
    job: String,
    index: u32,
    attempt: u64,
    grace_ms: u64,
}
