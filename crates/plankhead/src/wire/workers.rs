//! Messages to and from workers: heartbeats, and the commands in the responses to them or sent directly to a
//! worker.

use super::{duration_from_seconds, to_json};
use bytes::Bytes;
use plankhead_core::jobs::job::{InvalidJobId, JobId};
use plankhead_core::protocol::{ExitReason, Heartbeat, ReportedTask, TaskId, TaskStatus, WorkerCommand};
use serde::{Deserialize, Serialize, Serializer};
use serde_json::value::RawValue;
use std::borrow::Cow;
use std::ops::Range;
use std::time::Duration;
use thiserror::Error;

/// The longest name of a machine, in bytes.
const MAX_MACHINE_NAME: usize = 100;

/// The reason why a heartbeat is refused. Its text is the error message in the reply to the worker.
#[derive(Debug, Error)]
pub enum HeartbeatError {
    /// The body is not JSON, or a field is missing or has the wrong type.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    /// The machine name is empty, too long, or contains characters other than printable ASCII.
    #[error("a strange host name")]
    InvalidMachineName,
    /// The time of the preemption notice is too long.
    #[error("warningS is out of range")]
    PreemptionNoticeOutOfRange,
    /// A task has ended, but its exit reason is missing.
    #[error("an ended task without a cause")]
    MissingExitReason,
    /// The name of a task does not contain an index.
    #[error("a task without a number")]
    MissingTaskIndex,
    /// The index of a task is not a valid number.
    #[error("a task with a strange number")]
    InvalidTaskIndex,
    /// The job id in the name of a task is malformed.
    #[error(transparent)]
    InvalidJobId(#[from] InvalidJobId),
}

/// A heartbeat. This type and [`Piece`] have the names of the protocol, since serde's error texts contain
/// them and are sent to workers.
#[derive(Debug, Deserialize)]
struct Beat<'a> {
    #[serde(borrow, rename = "host")]
    machine: Cow<'a, str>,
    #[serde(borrow)]
    address: Cow<'a, str>,
    #[serde(borrow, rename = "rig")]
    machine_type: Cow<'a, str>,
    #[serde(borrow, rename = "yard")]
    zone: Cow<'a, str>,
    #[serde(rename = "loaners")]
    spot: bool,
    #[serde(rename = "shift")]
    incarnation: u64,
    /// The sequence number as raw text, which locates it in the body: see [`HeartbeatReader`].
    #[serde(borrow, rename = "tick")]
    sequence: &'a RawValue,
    #[serde(rename = "baton")]
    token: u64,
    #[serde(rename = "warningS")]
    preemption_notice_s: Option<f64>,
    #[serde(borrow, rename = "pieces")]
    tasks: Vec<Piece<'a>>,
}

/// A task in a heartbeat.
#[derive(Debug, Deserialize)]
struct Piece<'a> {
    #[serde(borrow, rename = "piece")]
    task: Cow<'a, str>,
    #[serde(rename = "try")]
    attempt: u64,
    status: TaskStatusName,
    #[serde(rename = "cause")]
    exit_reason: Option<ExitReasonName>,
}

#[derive(Debug, Clone, Copy, Deserialize)]
enum TaskStatusName {
    #[serde(rename = "pulling")]
    FetchingImage,
    #[serde(rename = "waiting")]
    WaitingForGang,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "saving")]
    Checkpointing,
    #[serde(rename = "ended")]
    Exited,
    /// A status of a later protocol version, which must not make the rest of the heartbeat unreadable.
    #[serde(other)]
    Unrecognized,
}

#[derive(Debug, Clone, Copy, Deserialize)]
enum ExitReasonName {
    #[serde(rename = "done")]
    Completed,
    #[serde(rename = "stopped")]
    Stopped,
    #[serde(rename = "error")]
    Failed,
    #[serde(rename = "full")]
    InsufficientResources,
    #[serde(rename = "busy")]
    AttemptConflict,
    #[serde(rename = "unknown")]
    UnknownJob,
    #[serde(rename = "mates_gone")]
    GangMemberLost,
    #[serde(rename = "incomplete")]
    GangIncomplete,
    /// A reason of a later protocol version.
    #[serde(other)]
    Unrecognized,
}

impl From<ExitReasonName> for ExitReason {
    fn from(name: ExitReasonName) -> Self {
        match name {
            ExitReasonName::Completed => ExitReason::Completed,
            ExitReasonName::Stopped => ExitReason::Stopped,
            ExitReasonName::Failed => ExitReason::Failed,
            ExitReasonName::InsufficientResources => ExitReason::InsufficientResources,
            ExitReasonName::AttemptConflict => ExitReason::AttemptConflict,
            ExitReasonName::UnknownJob => ExitReason::UnknownJob,
            ExitReasonName::GangMemberLost => ExitReason::GangMemberLost,
            ExitReasonName::GangIncomplete => ExitReason::GangIncomplete,
            ExitReasonName::Unrecognized => ExitReason::Unrecognized,
        }
    }
}

impl Piece<'_> {
    fn status(&self) -> Result<TaskStatus, HeartbeatError> {
        Ok(match self.status {
            TaskStatusName::FetchingImage => TaskStatus::FetchingImage,
            TaskStatusName::WaitingForGang => TaskStatus::WaitingForGang,
            TaskStatusName::Running => TaskStatus::Running,
            TaskStatusName::Checkpointing => TaskStatus::Checkpointing,
            TaskStatusName::Unrecognized => TaskStatus::Unrecognized,
            TaskStatusName::Exited => {
                let reason = self.exit_reason.ok_or(HeartbeatError::MissingExitReason)?;
                TaskStatus::Exited(reason.into())
            }
        })
    }

    fn reported_task(&self) -> Result<ReportedTask, HeartbeatError> {
        let status = self.status()?;
        Ok(ReportedTask { task: parse_task_id(&self.task)?, attempt: self.attempt, status })
    }
}

fn parse_task_id(text: &str) -> Result<TaskId, HeartbeatError> {
    let (job, index) = text.rsplit_once('/').ok_or(HeartbeatError::MissingTaskIndex)?;
    let job = JobId::parse(job)?;
    let index = index.parse().map_err(|_| HeartbeatError::InvalidTaskIndex)?;
    Ok(TaskId { job, index })
}

/// Parses a worker's heartbeat.
pub fn parse_heartbeat(body: &[u8]) -> Result<Heartbeat, HeartbeatError> {
    parse_with_sequence_range(body).map(|(heartbeat, _)| heartbeat)
}

/// Parses a heartbeat. Also returns the byte range of its sequence number in the body.
fn parse_with_sequence_range(body: &[u8]) -> Result<(Heartbeat, Range<usize>), HeartbeatError> {
    let message: Beat = serde_json::from_slice(body)?;
    let sequence_text = message.sequence.get();
    let start = (sequence_text.as_ptr() as usize).saturating_sub(body.as_ptr() as usize);
    let sequence_range = start..start + sequence_text.len();
    let sequence = serde_json::from_str(sequence_text)?;
    let name = &message.machine;
    if name.is_empty() || name.len() > MAX_MACHINE_NAME || !name.bytes().all(|b| b.is_ascii_graphic()) {
        return Err(HeartbeatError::InvalidMachineName);
    }
    let preemption_notice = message.preemption_notice_s.map(parse_preemption_notice).transpose()?;
    let tasks: Vec<ReportedTask> =
        message.tasks.iter().map(Piece::reported_task).collect::<Result<_, _>>()?;
    let heartbeat = Heartbeat {
        machine: message.machine.into(),
        address: message.address.into(),
        machine_type: message.machine_type.into(),
        zone: message.zone.into(),
        spot: message.spot,
        incarnation: message.incarnation,
        sequence,
        token: message.token,
        preemption_notice,
        tasks: tasks.into(),
    };
    Ok((heartbeat, sequence_range))
}

/// Parses the time until the cloud preempts the machine. An overdue notice (a negative time) counts as zero.
fn parse_preemption_notice(seconds: f64) -> Result<Duration, HeartbeatError> {
    duration_from_seconds(seconds.max(0.0)).ok_or(HeartbeatError::PreemptionNoticeOutOfRange)
}

/// Parses the heartbeats of one connection, which are usually those of one worker. Usually a heartbeat
/// differs from the previous one only in its sequence number. Then only this number is parsed.
#[derive(Debug, Default)]
pub struct HeartbeatReader {
    previous: Option<ParsedHeartbeat>,
}

#[derive(Debug)]
struct ParsedHeartbeat {
    body: Bytes,
    sequence_range: Range<usize>,
    heartbeat: Heartbeat,
}

impl HeartbeatReader {
    /// Parses a heartbeat with the same result as [`parse_heartbeat`].
    pub fn read(&mut self, body: &Bytes) -> Result<Heartbeat, HeartbeatError> {
        if let Some(heartbeat) = self.previous.as_mut().and_then(|previous| previous.repeat(body)) {
            return Ok(heartbeat);
        }
        let (heartbeat, sequence_range) = parse_with_sequence_range(body)?;
        self.previous =
            Some(ParsedHeartbeat { body: body.clone(), sequence_range, heartbeat: heartbeat.clone() });
        Ok(heartbeat)
    }
}

impl ParsedHeartbeat {
    /// Returns the heartbeat if the body differs from the parsed one in the sequence number only. Replacing
    /// one number by another changes nothing else in the meaning of a JSON text.
    fn repeat(&self, body: &Bytes) -> Option<Heartbeat> {
        let Range { start, end } = self.sequence_range;
        if body.len() != self.body.len()
            || body[..start] != self.body[..start]
            || body[end..] != self.body[end..]
        {
            return None;
        }
        let sequence = serde_json::from_slice(&body[start..end]).ok()?;
        Some(Heartbeat { sequence, ..self.heartbeat.clone() })
    }
}

/// A task's id in the protocol: `<job>/<index>`.
#[derive(Debug)]
struct TaskName<'a>(&'a TaskId);

impl Serialize for TaskName<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&format_args!("{}/{}", self.0.job, self.0.index))
    }
}

#[derive(Debug, Serialize)]
struct CommandMessage<'a> {
    verb: &'static str,
    #[serde(rename = "piece")]
    task: TaskName<'a>,
    #[serde(rename = "try")]
    attempt: u64,
    #[serde(rename = "leewayS", skip_serializing_if = "Option::is_none")]
    grace_s: Option<f64>,
}

impl<'a> From<&'a WorkerCommand> for CommandMessage<'a> {
    fn from(command: &'a WorkerCommand) -> Self {
        let (verb, task, attempt, grace_s) = match command {
            WorkerCommand::Run { task, attempt } => ("run", task, attempt, None),
            WorkerCommand::Kill { task, attempt, grace } => {
                ("kill", task, attempt, Some(grace.as_secs_f64()))
            }
            WorkerCommand::Acknowledge { task, attempt } => ("reap", task, attempt, None),
        };
        Self { verb, task: TaskName(task), attempt: *attempt, grace_s }
    }
}

/// The response to a heartbeat.
#[derive(Debug, Serialize)]
pub(super) struct CommandsResponse<'a> {
    #[serde(rename = "baton")]
    token: u64,
    #[serde(rename = "orders")]
    commands: Vec<CommandMessage<'a>>,
}

impl<'a> CommandsResponse<'a> {
    pub fn new(token: u64, commands: &'a [WorkerCommand]) -> Self {
        Self { token, commands: commands.iter().map(CommandMessage::from).collect() }
    }
}

/// A request with commands that is sent directly to a worker.
#[derive(Debug, Serialize)]
struct DirectCommands<'a> {
    #[serde(rename = "baton")]
    token: u64,
    #[serde(rename = "shift")]
    incarnation: u64,
    #[serde(rename = "orders")]
    commands: Vec<CommandMessage<'a>>,
}

/// Encodes commands that are sent directly to a worker. The worker refuses them if it has another
/// incarnation now.
pub fn encode_commands(token: u64, incarnation: u64, commands: &[WorkerCommand]) -> Vec<u8> {
    let commands = commands.iter().map(CommandMessage::from).collect();
    to_json(&DirectCommands { token, incarnation, commands })
}

/// Returns the fencing token of a response to a heartbeat, or `None` if the body is not such a response.
pub fn response_token(body: &[u8]) -> Option<u64> {
    #[derive(Deserialize)]
    struct TokenField {
        #[serde(rename = "baton")]
        token: u64,
    }
    serde_json::from_slice::<TokenField>(body).ok().map(|response| response.token)
}
