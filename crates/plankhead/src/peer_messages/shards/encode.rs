//! Encodes messages about shards.

use super::{
    CommandMessage, HeartbeatMessage, HolderStatusMessage, LeaderCommandsMessage, MachineCommandsMessage,
    MachineUpdateMessage, Message, ReportedTaskMessage, ShardHoldingMessage, COMMAND_ACKNOWLEDGE,
    COMMAND_KILL, COMMAND_RUN, ENCODING_LZ4, ENCODING_PLAIN, MAX_DECOMPRESSED, MAX_MESSAGE, MIN_COMPRESSED,
    TASK_STATUSES,
};
use crate::peer_messages::encode_archive;
use plankhead_core::protocol::{Heartbeat, ReportedTask, TaskStatus, WorkerCommand};
use plankhead_core::shards::messages::{
    HolderStatus, LeaderCommands, MachineCommands, MachineUpdate, ShardHolding, ShardMessage,
};
use plankhead_reachability::bitmap;
use plankhead_sharding::shard::ShardId;
use std::time::Duration;

/// Encodes a message. Returns `None` if it would exceed the size that a receiver accepts.
pub fn encode(message: &ShardMessage) -> Option<Vec<u8>> {
    let message = match message {
        ShardMessage::HolderStatus(status) => Message::HolderStatus(holder_status(status)),
        ShardMessage::LeaderCommands(commands) => Message::LeaderCommands(leader_commands(commands)),
    };
    let plain = encode_archive(&message)?;
    let mut bytes = Vec::with_capacity(plain.len() + 1);
    if plain.len() < MIN_COMPRESSED {
        bytes.push(ENCODING_PLAIN);
        bytes.extend_from_slice(&plain);
    } else {
        bytes.push(ENCODING_LZ4);
        bytes.extend(lz4_flex::compress_prepend_size(&plain));
    }
    (plain.len() <= MAX_DECOMPRESSED && bytes.len() <= MAX_MESSAGE).then_some(bytes)
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn shard_holding(shard: &ShardId, epoch: u64, released: bool) -> ShardHoldingMessage {
    ShardHoldingMessage { zone: shard.zone.clone(), index: shard.index, epoch, released }
}

fn holder_status(status: &HolderStatus) -> HolderStatusMessage {
    let holding = |held: &ShardHolding| shard_holding(&held.shard, held.epoch, held.released);
    HolderStatusMessage {
        host: status.host.clone(),
        boot: status.stamp.boot,
        sequence: status.stamp.sequence,
        zone: status.zone.clone(),
        term: status.term,
        sees_records: status.sees_records,
        shards: status.shards.iter().map(holding).collect(),
        stream: status.stream,
        first: status.first,
        updates: status.updates.iter().map(machine_update).collect(),
        alive: bitmap::encode(&status.alive),
        alive_age_ms: millis(status.alive_age),
    }
}

fn machine_update(update: &MachineUpdate) -> MachineUpdateMessage {
    MachineUpdateMessage {
        number: update.number,
        heartbeat: heartbeat(&update.heartbeat),
        confirmed: update.confirmed,
        ignores_commands: update.ignores_commands,
        unanswered_commands: update.unanswered_commands,
        age_ms: millis(update.age),
    }
}

fn heartbeat(heartbeat: &Heartbeat) -> HeartbeatMessage {
    HeartbeatMessage {
        machine: heartbeat.machine.to_string(),
        address: heartbeat.address.to_string(),
        machine_type: heartbeat.machine_type.to_string(),
        zone: heartbeat.zone.to_string(),
        spot: heartbeat.spot,
        incarnation: heartbeat.incarnation,
        sequence: heartbeat.sequence,
        token: heartbeat.token,
        preemption_notice_ms: heartbeat.preemption_notice.map(millis),
        tasks: heartbeat.tasks.iter().map(reported_task).collect(),
    }
}

fn reported_task(reported: &ReportedTask) -> ReportedTaskMessage {
    ReportedTaskMessage {
        job: reported.task.job.to_string(),
        index: reported.task.index,
        attempt: reported.attempt,
        status: status_code(reported.status),
    }
}

fn status_code(status: TaskStatus) -> u8 {
    TASK_STATUSES.iter().position(|known| *known == status).unwrap_or_default() as u8
}

fn leader_commands(commands: &LeaderCommands) -> LeaderCommandsMessage {
    let shards = commands.shards.iter();
    LeaderCommandsMessage {
        host: commands.host.clone(),
        boot: commands.stamp.boot,
        sequence: commands.stamp.sequence,
        acknowledged: commands.acknowledged,
        token: commands.token,
        shards: shards.map(|(shard, epoch)| shard_holding(shard, *epoch, false)).collect(),
        latest_epoch: commands.latest_epoch,
        machines: commands.machines.iter().map(machine_commands).collect(),
        removed: commands.removed.iter().map(|machine| machine.to_string()).collect(),
        snapshot: commands.snapshot.iter().map(heartbeat).collect(),
    }
}

fn machine_commands(commands: &MachineCommands) -> MachineCommandsMessage {
    MachineCommandsMessage {
        machine: commands.machine.to_string(),
        shard: commands.shard as u32,
        incarnation: commands.incarnation,
        commands: commands.commands.iter().map(worker_command).collect(),
    }
}

fn worker_command(command: &WorkerCommand) -> CommandMessage {
    let (kind, task, attempt, grace) = match command {
        WorkerCommand::Run { task, attempt } => (COMMAND_RUN, task, attempt, Duration::ZERO),
        WorkerCommand::Kill { task, attempt, grace } => (COMMAND_KILL, task, attempt, *grace),
        WorkerCommand::Acknowledge { task, attempt } => (COMMAND_ACKNOWLEDGE, task, attempt, Duration::ZERO),
    };
    CommandMessage {
        kind,
        job: task.job.to_string(),
        index: task.index,
        attempt: *attempt,
        grace_ms: millis(grace),
    }
}
