//! Messages about shards on the controller port: rkyv, checked before use, compressed where
//! they are large, as the snapshot of a shard is.

use crate::peer::aligned;
use plankhead_core::jobs::job::JobId;
use plankhead_core::protocol::{ExitReason, Heartbeat, ReportedTask, TaskId, TaskStatus, WorkerCommand};
use plankhead_core::shards::messages::{
    HolderStatus, LeaderCommands, MachineCommands, MachineUpdate, ShardHolding, ShardMessage,
    ShardMessageError, MAX_MACHINES, MAX_SHARDS,
};
use plankhead_reachability::bitmap;
use plankhead_sharding::machine_numbers;
use plankhead_sharding::sequence::MessageStamp;
use plankhead_sharding::shard::ShardId;
use rkyv::rancor::Error;
use rkyv::{Archive, Deserialize, Serialize};
use std::time::Duration;

/// The path on the controller port.
pub const PATH: &str = "/shards";
/// What may come over the wire, and what it may become.
pub const MAX_WIRE: usize = 2 * 1024 * 1024;
const MAX_PLAIN: usize = 8 * 1024 * 1024;
/// Smaller messages are sent as they are.
const COMPRESS_FROM: usize = 2 * 1024;
/// The first byte of a message: what follows it.
const PLAIN: u8 = 0;
const LZ4: u8 = 1;
/// The longest name of a machine, zone or controller.
const MAX_NAME: usize = 200;

#[derive(Archive, Serialize, Deserialize)]
enum Message {
    Heartbeat(HolderStatusMessage),
    Orders(OrdersMessage),
}

#[derive(Archive, Serialize, Deserialize)]
struct ShardName {
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
    shards: Vec<ShardName>,
    stream: u64,
    first: bool,
    news: Vec<NewsMessage>,
    alive: Vec<u8>,
    alive_age_ms: u64,
}

#[derive(Archive, Serialize, Deserialize)]
struct NewsMessage {
    number: u32,
    report: HeartbeatMessage,
    proven: bool,
    deaf: bool,
    unanswered: u32,
    age_ms: u64,
}

#[derive(Archive, Serialize, Deserialize)]
struct HeartbeatMessage {
    host: String,
    address: String,
    machine_type: String,
    zone: String,
    spot: bool,
    session: u64,
    tick: u64,
    token: u64,
    warning_ms: Option<u64>,
    tasks: Vec<ListedTask>,
}

#[derive(Archive, Serialize, Deserialize)]
struct ListedTask {
    job: String,
    index: u32,
    attempt: u64,
    seen: u8,
}

#[derive(Archive, Serialize, Deserialize)]
struct OrdersMessage {
    host: String,
    boot: u64,
    sequence: u64,
    answers: u64,
    token: u64,
    shards: Vec<ShardName>,
    latest_epoch: u64,
    machines: Vec<MachineMessage>,
    gone: Vec<String>,
    snapshot: Vec<HeartbeatMessage>,
}

#[derive(Archive, Serialize, Deserialize)]
struct MachineMessage {
    host: String,
    shard: u32,
    session: u64,
    orders: Vec<OrderMessage>,
}

#[derive(Archive, Serialize, Deserialize)]
struct OrderMessage {
    kind: u8,
    job: String,
    index: u32,
    attempt: u64,
    leeway_ms: u64,
}

const RUN: u8 = 0;
const KILL: u8 = 1;
const REAP: u8 = 2;

/// What a worker says of an attempt, by its code.
const SEEN: [TaskStatus; 14] = [
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

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

// ----- writing -----

/// The bytes of a message; `None` where it would be larger than a receiver takes.
pub fn encode(message: &ShardMessage) -> Option<Vec<u8>> {
    let message = match message {
        ShardMessage::HolderStatus(report) => Message::Heartbeat(report_message(report)),
        ShardMessage::LeaderCommands(orders) => Message::Orders(orders_message(orders)),
    };
    let plain = rkyv::to_bytes::<Error>(&message).ok()?;
    let mut bytes = Vec::with_capacity(plain.len() + 1);
    if plain.len() < COMPRESS_FROM {
        bytes.push(PLAIN);
        bytes.extend_from_slice(&plain);
    } else {
        bytes.push(LZ4);
        bytes.extend(lz4_flex::compress_prepend_size(&plain));
    }
    (plain.len() <= MAX_PLAIN && bytes.len() <= MAX_WIRE).then_some(bytes)
}

fn shard_name(shard: &ShardId, epoch: u64, released: bool) -> ShardName {
    ShardName { zone: shard.zone.clone(), index: shard.index, epoch, released }
}

fn report_message(report: &HolderStatus) -> HolderStatusMessage {
    let news = |news: &MachineUpdate| NewsMessage {
        number: news.number,
        report: worker_report(&news.heartbeat),
        proven: news.confirmed,
        deaf: news.ignores_commands,
        unanswered: news.unanswered_commands,
        age_ms: millis(news.age),
    };
    let shard = |held: &ShardHolding| shard_name(&held.shard, held.epoch, held.released);
    HolderStatusMessage {
        host: report.host.clone(),
        boot: report.stamp.boot,
        sequence: report.stamp.sequence,
        zone: report.zone.clone(),
        term: report.term,
        sees_records: report.sees_records,
        shards: report.shards.iter().map(shard).collect(),
        stream: report.stream,
        first: report.first,
        news: report.updates.iter().map(news).collect(),
        alive: bitmap::encode(&report.alive),
        alive_age_ms: millis(report.alive_age),
    }
}

fn worker_report(report: &Heartbeat) -> HeartbeatMessage {
    let code = |seen: TaskStatus| SEEN.iter().position(|known| *known == seen).unwrap_or_default() as u8;
    let task = |listed: &ReportedTask| ListedTask {
        job: listed.task.job.to_string(),
        index: listed.task.index,
        attempt: listed.attempt,
        seen: code(listed.status),
    };
    HeartbeatMessage {
        host: report.machine.to_string(),
        address: report.address.to_string(),
        machine_type: report.machine_type.to_string(),
        zone: report.zone.to_string(),
        spot: report.spot,
        session: report.incarnation,
        tick: report.sequence,
        token: report.token,
        warning_ms: report.preemption_notice.map(millis),
        tasks: report.tasks.iter().map(task).collect(),
    }
}

fn orders_message(orders: &LeaderCommands) -> OrdersMessage {
    let machine = |machine: &MachineCommands| MachineMessage {
        host: machine.machine.to_string(),
        shard: machine.shard as u32,
        session: machine.incarnation,
        orders: machine.commands.iter().map(order_message).collect(),
    };
    OrdersMessage {
        host: orders.host.clone(),
        boot: orders.stamp.boot,
        sequence: orders.stamp.sequence,
        answers: orders.acknowledged,
        token: orders.token,
        shards: orders.shards.iter().map(|(shard, epoch)| shard_name(shard, *epoch, false)).collect(),
        latest_epoch: orders.latest_epoch,
        machines: orders.machines.iter().map(machine).collect(),
        gone: orders.removed.iter().map(|host| host.to_string()).collect(),
        snapshot: orders.snapshot.iter().map(worker_report).collect(),
    }
}

fn order_message(order: &WorkerCommand) -> OrderMessage {
    let (kind, task, attempt, leeway) = match order {
        WorkerCommand::Run { task, attempt } => (RUN, task, attempt, Duration::ZERO),
        WorkerCommand::Kill { task, attempt, grace: leeway } => (KILL, task, attempt, *leeway),
        WorkerCommand::Acknowledge { task, attempt } => (REAP, task, attempt, Duration::ZERO),
    };
    OrderMessage {
        kind,
        job: task.job.to_string(),
        index: task.index,
        attempt: *attempt,
        leeway_ms: millis(leeway),
    }
}

// ----- reading -----

/// Reads a message, or says what is wrong with it.
pub fn decode(bytes: &[u8]) -> Result<ShardMessage, ShardMessageError> {
    if bytes.len() > MAX_WIRE {
        return Err(ShardMessageError::TooLarge);
    }
    let malformed = |what: &str| ShardMessageError::Malformed(what.into());
    let (kind, rest) = bytes.split_first().ok_or_else(|| malformed("it is empty"))?;
    let message = match *kind {
        PLAIN => rkyv::from_bytes::<Message, Error>(&aligned(rest)),
        LZ4 => rkyv::from_bytes::<Message, Error>(&aligned(&decompress(rest)?)),
        _ => return Err(malformed("it has an unknown form")),
    };
    match message.map_err(|error| ShardMessageError::Malformed(error.to_string()))? {
        Message::Heartbeat(report) => Ok(ShardMessage::HolderStatus(Box::new(holder_report(report)?))),
        Message::Orders(orders) => Ok(ShardMessage::LeaderCommands(Box::new(leader_orders(orders)?))),
    }
}

fn decompress(bytes: &[u8]) -> Result<Vec<u8>, ShardMessageError> {
    let size = bytes.first_chunk::<4>().map(|size| u32::from_le_bytes(*size) as usize);
    let size = size.ok_or_else(|| ShardMessageError::Malformed("it is cut off".into()))?;
    if size > MAX_PLAIN {
        return Err(ShardMessageError::TooLarge);
    }
    lz4_flex::decompress_size_prepended(bytes)
        .map_err(|error| ShardMessageError::Malformed(error.to_string()))
}

fn name(text: String, what: &'static str) -> Result<String, ShardMessageError> {
    if text.is_empty() || text.len() > MAX_NAME {
        return Err(ShardMessageError::Range(what));
    }
    Ok(text)
}

fn at_most(count: usize, most: usize, what: &'static str) -> Result<(), ShardMessageError> {
    if count > most {
        return Err(ShardMessageError::Range(what));
    }
    Ok(())
}

fn shard_id(shard: &ShardName) -> Result<ShardId, ShardMessageError> {
    let id = ShardId { zone: shard.zone.clone(), index: shard.index };
    ShardId::from_key(&id.key()).map_err(|_| ShardMessageError::Range("shard"))
}

fn holder_report(message: HolderStatusMessage) -> Result<HolderStatus, ShardMessageError> {
    at_most(message.news.len(), MAX_MACHINES, "news")?;
    at_most(message.shards.len(), MAX_SHARDS, "shards")?;
    let shards: Result<Vec<ShardHolding>, ShardMessageError> = message
        .shards
        .iter()
        .map(|held| Ok(ShardHolding { shard: shard_id(held)?, epoch: held.epoch, released: held.released }))
        .collect();
    let news: Result<Vec<MachineUpdate>, ShardMessageError> =
        message.news.into_iter().map(machine_news).collect();
    let alive = machine_numbers::decode(&message.alive)
        .map_err(|fault| ShardMessageError::Malformed(fault.to_string()))?;
    Ok(HolderStatus {
        host: name(message.host, "host")?,
        stamp: MessageStamp { boot: message.boot, sequence: message.sequence },
        zone: message.zone,
        term: message.term,
        sees_records: message.sees_records,
        shards: shards?,
        stream: message.stream,
        first: message.first,
        updates: news?,
        alive,
        alive_age: Duration::from_millis(message.alive_age_ms),
    })
}

fn machine_news(news: NewsMessage) -> Result<MachineUpdate, ShardMessageError> {
    Ok(MachineUpdate {
        number: news.number,
        heartbeat: report(news.report)?,
        confirmed: news.proven,
        ignores_commands: news.deaf,
        unanswered_commands: news.unanswered,
        age: Duration::from_millis(news.age_ms),
    })
}

fn task(job: &str, index: u32) -> Result<TaskId, ShardMessageError> {
    let job = JobId::parse(job).map_err(|_| ShardMessageError::Range("job"))?;
    Ok(TaskId { job, index })
}

fn report(message: HeartbeatMessage) -> Result<Heartbeat, ShardMessageError> {
    let listed = |listed: &ListedTask| {
        let seen = SEEN.get(usize::from(listed.seen)).ok_or(ShardMessageError::Range("seen"))?;
        Ok(ReportedTask { task: task(&listed.job, listed.index)?, attempt: listed.attempt, status: *seen })
    };
    let tasks: Result<Vec<ReportedTask>, ShardMessageError> = message.tasks.iter().map(listed).collect();
    Ok(Heartbeat {
        machine: name(message.host, "machine")?.as_str().into(),
        address: message.address.as_str().into(),
        machine_type: message.machine_type.as_str().into(),
        zone: name(message.zone, "zone")?.as_str().into(),
        spot: message.spot,
        incarnation: message.session,
        sequence: message.tick,
        token: message.token,
        preemption_notice: message.warning_ms.map(Duration::from_millis),
        tasks: tasks?.into(),
    })
}

fn leader_orders(message: OrdersMessage) -> Result<LeaderCommands, ShardMessageError> {
    at_most(message.machines.len(), MAX_MACHINES, "machines")?;
    at_most(message.snapshot.len(), MAX_MACHINES, "snapshot")?;
    at_most(message.shards.len(), MAX_SHARDS, "shards")?;
    let shards: Result<Vec<(ShardId, u64)>, ShardMessageError> =
        message.shards.iter().map(|shard| Ok((shard_id(shard)?, shard.epoch))).collect();
    let shards = shards?;
    let machine = |machine: MachineMessage| {
        let shard = machine.shard as usize;
        if shard >= shards.len() {
            return Err(ShardMessageError::Range("shard of a machine"));
        }
        let orders: Result<Vec<WorkerCommand>, ShardMessageError> =
            machine.orders.iter().map(order).collect();
        let host = name(machine.host, "machine")?.as_str().into();
        Ok(MachineCommands { machine: host, shard, incarnation: machine.session, commands: orders? })
    };
    let machines: Result<Vec<MachineCommands>, ShardMessageError> =
        message.machines.into_iter().map(machine).collect();
    let snapshot: Result<Vec<Heartbeat>, ShardMessageError> =
        message.snapshot.into_iter().map(report).collect();
    Ok(LeaderCommands {
        host: name(message.host, "host")?,
        stamp: MessageStamp { boot: message.boot, sequence: message.sequence },
        acknowledged: message.answers,
        token: message.token,
        latest_epoch: message.latest_epoch,
        machines: machines?,
        removed: message.gone.iter().map(|host| host.as_str().into()).collect(),
        snapshot: snapshot?,
        shards,
    })
}

fn order(message: &OrderMessage) -> Result<WorkerCommand, ShardMessageError> {
    let (task, attempt) = (task(&message.job, message.index)?, message.attempt);
    match message.kind {
        RUN => Ok(WorkerCommand::Run { task, attempt }),
        KILL => Ok(WorkerCommand::Kill { task, attempt, grace: Duration::from_millis(message.leeway_ms) }),
        REAP => Ok(WorkerCommand::Acknowledge { task, attempt }),
        _ => Err(ShardMessageError::Range("command")),
    }
}
