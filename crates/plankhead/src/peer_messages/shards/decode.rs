//! Decodes and checks messages about shards.

use super::{
    CommandMessage, HeartbeatMessage, HolderStatusMessage, LeaderCommandsMessage, MachineCommandsMessage,
    MachineUpdateMessage, Message, ReportedTaskMessage, ShardHoldingMessage, COMMAND_ACKNOWLEDGE,
    COMMAND_KILL, COMMAND_RUN, ENCODING_LZ4, ENCODING_PLAIN, MAX_DECOMPRESSED, MAX_MESSAGE, TASK_STATUSES,
};
use crate::peer_messages::{decode_archive, MAX_NAME};
use plankhead_core::jobs::job::JobId;
use plankhead_core::protocol::{Heartbeat, ReportedTask, TaskId, WorkerCommand};
use plankhead_core::shards::messages::{
    HolderStatus, LeaderCommands, MachineCommands, MachineUpdate, ShardHolding, ShardMessage,
    ShardMessageError, MAX_MACHINES, MAX_SHARDS,
};
use plankhead_sharding::machine_numbers;
use plankhead_sharding::sequence::MessageStamp;
use plankhead_sharding::shard::ShardId;
use std::time::Duration;

/// Decodes and checks a message.
pub fn decode(bytes: &[u8]) -> Result<ShardMessage, ShardMessageError> {
    if bytes.len() > MAX_MESSAGE {
        return Err(ShardMessageError::TooLarge);
    }
    let (encoding, rest) = bytes.split_first().ok_or_else(|| malformed("it is empty"))?;
    let message = match *encoding {
        ENCODING_PLAIN => decode_archive(rest),
        ENCODING_LZ4 => decode_archive(&decompress(rest)?),
        _ => return Err(malformed("it has an unknown form")),
    };
    match message.map_err(malformed)? {
        Message::HolderStatus(status) => Ok(ShardMessage::HolderStatus(Box::new(holder_status(status)?))),
        Message::LeaderCommands(commands) => {
            Ok(ShardMessage::LeaderCommands(Box::new(leader_commands(commands)?)))
        }
    }
}

fn malformed(reason: impl ToString) -> ShardMessageError {
    ShardMessageError::Malformed(reason.to_string())
}

fn decompress(bytes: &[u8]) -> Result<Vec<u8>, ShardMessageError> {
    let size = bytes.first_chunk::<4>().map(|size| u32::from_le_bytes(*size) as usize);
    let size = size.ok_or_else(|| malformed("it is cut off"))?;
    if size > MAX_DECOMPRESSED {
        return Err(ShardMessageError::TooLarge);
    }
    lz4_flex::decompress_size_prepended(bytes).map_err(malformed)
}

/// Checks the length of a name. `field` names the field in the error.
fn check_name(text: String, field: &'static str) -> Result<String, ShardMessageError> {
    if text.is_empty() || text.len() > MAX_NAME {
        return Err(ShardMessageError::Range(field));
    }
    Ok(text)
}

fn check_count(count: usize, max: usize, field: &'static str) -> Result<(), ShardMessageError> {
    if count > max {
        return Err(ShardMessageError::Range(field));
    }
    Ok(())
}

fn shard_id(message: &ShardHoldingMessage) -> Result<ShardId, ShardMessageError> {
    let id = ShardId { zone: message.zone.clone(), index: message.index };
    ShardId::from_key(&id.key()).map_err(|_| ShardMessageError::Range("shard"))
}

fn holder_status(message: HolderStatusMessage) -> Result<HolderStatus, ShardMessageError> {
    check_count(message.updates.len(), MAX_MACHINES, "updates")?;
    check_count(message.shards.len(), MAX_SHARDS, "shards")?;
    let shards = message.shards.iter().map(shard_holding).collect::<Result<_, _>>()?;
    let updates = message.updates.into_iter().map(machine_update).collect::<Result<_, _>>()?;
    let alive = machine_numbers::decode(&message.alive).map_err(malformed)?;
    Ok(HolderStatus {
        host: check_name(message.host, "host")?,
        stamp: MessageStamp { boot: message.boot, sequence: message.sequence },
        zone: message.zone,
        term: message.term,
        sees_records: message.sees_records,
        shards,
        stream: message.stream,
        first: message.first,
        updates,
        alive,
        alive_age: Duration::from_millis(message.alive_age_ms),
    })
}

fn shard_holding(message: &ShardHoldingMessage) -> Result<ShardHolding, ShardMessageError> {
    Ok(ShardHolding { shard: shard_id(message)?, epoch: message.epoch, released: message.released })
}

fn machine_update(message: MachineUpdateMessage) -> Result<MachineUpdate, ShardMessageError> {
    Ok(MachineUpdate {
        number: message.number,
        heartbeat: heartbeat(message.heartbeat)?,
        confirmed: message.confirmed,
        ignores_commands: message.ignores_commands,
        unanswered_commands: message.unanswered_commands,
        age: Duration::from_millis(message.age_ms),
    })
}

fn heartbeat(message: HeartbeatMessage) -> Result<Heartbeat, ShardMessageError> {
    let tasks: Vec<ReportedTask> =
        message.tasks.iter().map(reported_task).collect::<Result<_, ShardMessageError>>()?;
    Ok(Heartbeat {
        machine: check_name(message.machine, "machine")?.as_str().into(),
        address: message.address.as_str().into(),
        machine_type: message.machine_type.as_str().into(),
        zone: check_name(message.zone, "zone")?.as_str().into(),
        spot: message.spot,
        incarnation: message.incarnation,
        sequence: message.sequence,
        token: message.token,
        preemption_notice: message.preemption_notice_ms.map(Duration::from_millis),
        tasks: tasks.into(),
    })
}

fn reported_task(message: &ReportedTaskMessage) -> Result<ReportedTask, ShardMessageError> {
    let status = TASK_STATUSES.get(usize::from(message.status));
    let status = *status.ok_or(ShardMessageError::Range("status"))?;
    Ok(ReportedTask { task: task_id(&message.job, message.index)?, attempt: message.attempt, status })
}

fn task_id(job: &str, index: u32) -> Result<TaskId, ShardMessageError> {
    let job = JobId::parse(job).map_err(|_| ShardMessageError::Range("job"))?;
    Ok(TaskId { job, index })
}

fn leader_commands(message: LeaderCommandsMessage) -> Result<LeaderCommands, ShardMessageError> {
    check_count(message.machines.len(), MAX_MACHINES, "machines")?;
    check_count(message.snapshot.len(), MAX_MACHINES, "snapshot")?;
    check_count(message.shards.len(), MAX_SHARDS, "shards")?;
    let shards: Vec<(ShardId, u64)> = message
        .shards
        .iter()
        .map(|shard| Ok((shard_id(shard)?, shard.epoch)))
        .collect::<Result<_, ShardMessageError>>()?;
    let machines = message.machines.into_iter().map(|machine| machine_commands(machine, shards.len()));
    Ok(LeaderCommands {
        machines: machines.collect::<Result<_, _>>()?,
        snapshot: message.snapshot.into_iter().map(heartbeat).collect::<Result<_, _>>()?,
        host: check_name(message.host, "host")?,
        stamp: MessageStamp { boot: message.boot, sequence: message.sequence },
        acknowledged: message.acknowledged,
        token: message.token,
        latest_epoch: message.latest_epoch,
        removed: message.removed.iter().map(|machine| machine.as_str().into()).collect(),
        shards,
    })
}

/// Decodes the commands for a machine. `shards` is the number of shards in the message.
fn machine_commands(
    message: MachineCommandsMessage,
    shards: usize,
) -> Result<MachineCommands, ShardMessageError> {
    let shard = message.shard as usize;
    if shard >= shards {
        return Err(ShardMessageError::Range("shard of a machine"));
    }
    let commands = message.commands.iter().map(worker_command).collect::<Result<_, _>>()?;
    let machine = check_name(message.machine, "machine")?.as_str().into();
    Ok(MachineCommands { machine, shard, incarnation: message.incarnation, commands })
}

fn worker_command(message: &CommandMessage) -> Result<WorkerCommand, ShardMessageError> {
    let (task, attempt) = (task_id(&message.job, message.index)?, message.attempt);
    match message.kind {
        COMMAND_RUN => Ok(WorkerCommand::Run { task, attempt }),
        COMMAND_KILL => {
            Ok(WorkerCommand::Kill { task, attempt, grace: Duration::from_millis(message.grace_ms) })
        }
        COMMAND_ACKNOWLEDGE => Ok(WorkerCommand::Acknowledge { task, attempt }),
        _ => Err(ShardMessageError::Range("command")),
    }
}
