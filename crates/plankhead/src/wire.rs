//! The published messages, field by field. Their names stop here.

use bytes::Bytes;
use plankhead_core::jobs::job::{JobId, JobSpec, Priority, Resources};
use plankhead_core::protocol::{
    Condition, ExitReason, Heartbeat, Instance, InstanceStatus, JobStatus, KeyValue, KvChange, MachineType,
    ReportedTask, Response, TaskId, TaskStatus, WatchEvent, WorkerCommand,
};
use plankhead_core::shards::messages::Delivery;
use plankhead_fencing::action::Rental;
use serde::{Deserialize, Serialize, Serializer};
use serde_json::value::RawValue;
use serde_json::{json, Value};
use std::borrow::Cow;
use std::collections::BTreeMap;
use std::time::Duration;

/// A number of seconds that is fit to be a duration.
fn seconds(s: f64) -> Option<Duration> {
    (0.0..=1e9).contains(&s).then(|| Duration::from_secs_f64(s))
}

// ----- users -----

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Work {
    lane: String,
    crew: String,
    shape: Shape,
    urgency: UrgencyName,
    pieces: u32,
    cpus: f64,
    gpus: f64,
    ram_gb: f64,
    bundle: String,
    image_gb: f64,
    rigs: Option<Vec<String>>,
    yard: Option<String>,
    same_place: bool,
    scatter: bool,
    loaners: bool,
    guess_s: f64,
    bookmark_s: f64,
    stow_s: f64,
    due_s: Option<f64>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Shape {
    Array,
    Group,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum UrgencyName {
    Critical,
    Urgent,
    Standard,
    Idle,
}

/// A submission: the id, and the job or why it is malformed. Without a valid
/// id there is nothing to look up, so that it is an error.
pub fn submission(body: &[u8]) -> Result<(JobId, Result<JobSpec, String>), String> {
    let value: Value = serde_json::from_slice(body).map_err(|e| format!("not JSON: {e}"))?;
    if !value.is_object() {
        return Err("not an object".into());
    }
    let id = value.get("nameId").and_then(Value::as_str).ok_or("nameId is missing or no text")?;
    let id = JobId::parse(id).map_err(|e| e.to_string())?;
    Ok((id, spec(value)))
}

fn spec(value: Value) -> Result<JobSpec, String> {
    let work: Work = serde_json::from_value(value).map_err(|e| e.to_string())?;
    let spec = JobSpec {
        class: work.lane,
        team: work.crew,
        priority: match work.urgency {
            UrgencyName::Critical => Priority::Critical,
            UrgencyName::Urgent => Priority::Urgent,
            UrgencyName::Standard => Priority::Standard,
            UrgencyName::Idle => Priority::Idle,
        },
        tasks: work.pieces,
        demand: Resources { cpus: work.cpus, gpus: work.gpus, ram_gb: work.ram_gb },
        image: work.bundle,
        image_gb: work.image_gb,
        machine_types: work.rigs,
        zone: work.yard,
        single_zone: work.same_place,
        spread: work.scatter,
        allows_spot: work.loaners,
        estimated_runtime_s: work.guess_s,
        checkpoint_interval_s: work.bookmark_s,
        checkpoint_duration_s: work.stow_s,
        deadline_s: work.due_s,
        gang: matches!(work.shape, Shape::Group),
    };
    spec.check().map_err(|e| e.to_string())?;
    Ok(spec)
}

fn status(status: JobStatus) -> &'static str {
    match status {
        JobStatus::Queued => "queued",
        JobStatus::Running => "running",
        JobStatus::Done => "done",
        JobStatus::Cancelled => "cancelled",
    }
}

#[derive(Debug, Serialize)]
struct JobResponse<'a> {
    #[serde(rename = "nameId")]
    name_id: &'a str,
    status: &'static str,
    done: u32,
    running: u32,
}

#[derive(Debug, Serialize)]
struct ErrorResponse<'a> {
    error: &'a str,
}

#[derive(Debug, Serialize)]
struct CommandsResponse<'a> {
    baton: u64,
    orders: Vec<OrderMessage<'a>>,
}

#[derive(Debug, Serialize)]
struct RedirectResponse<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    foreman: Option<&'a str>,
}

/// Every message can be written: none has keys that are no text.
fn text(message: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(message).unwrap_or_default()
}

/// An answer's status, body and time to come back.
pub fn answer(answer: &Response) -> (u16, Vec<u8>, Option<Duration>) {
    let error = |error: &str| text(&ErrorResponse { error });
    match answer {
        Response::Job { created: fresh, id, status: s, done, running } => {
            let code = if *fresh { 201 } else { 200 };
            let (done, running) = (*done, *running);
            (code, text(&JobResponse { name_id: id.as_str(), status: status(*s), done, running }), None)
        }
        Response::BadRequest(reason) => (400, error(&reason.to_string()), None),
        Response::Unprocessable(reason) => (422, error(&reason.to_string()), None),
        Response::NotFound => (404, error("no such job"), None),
        Response::Unavailable { retry_after: retry } => (503, error("try again later"), Some(*retry)),
        Response::Commands { token, commands: orders } => {
            let orders = orders.iter().map(OrderMessage::from).collect();
            (200, text(&CommandsResponse { baton: *token, orders }), None)
        }
        Response::Redirect { leader: foreman } => {
            (421, text(&RedirectResponse { foreman: foreman.as_deref() }), None)
        }
        Response::Relay { .. } => (421, text(&RedirectResponse { foreman: None }), None),
        Response::View(view) => (200, text(view), None),
        Response::ShardMessageDelivery(Delivery::Accepted) => (200, Vec::new(), None),
        Response::ShardMessageDelivery(Delivery::FullSyncNeeded) => {
            (410, error("the stream is not known"), None)
        }
        Response::ShardMessageDelivery(Delivery::Unsupported) => {
            (404, error("machines are not divided"), None)
        }
        Response::ShardMessageDelivery(Delivery::Rejected | Delivery::NoResponse) => {
            (409, error("not taken"), None)
        }
    }
}

// ----- workers -----

#[derive(Debug, Deserialize)]
struct Beat<'a> {
    #[serde(borrow)]
    host: Cow<'a, str>,
    #[serde(borrow)]
    address: Cow<'a, str>,
    #[serde(borrow)]
    rig: Cow<'a, str>,
    #[serde(borrow)]
    yard: Cow<'a, str>,
    loaners: bool,
    shift: u64,
    /// As it stands in the text: nothing else differs in a report without news.
    #[serde(borrow)]
    tick: &'a RawValue,
    baton: u64,
    #[serde(rename = "warningS")]
    warning_s: Option<f64>,
    #[serde(borrow)]
    pieces: Vec<Piece<'a>>,
}

#[derive(Debug, Deserialize)]
struct Piece<'a> {
    #[serde(borrow)]
    piece: Cow<'a, str>,
    #[serde(rename = "try")]
    attempt: u64,
    status: PieceStatus,
    cause: Option<CauseName>,
}

#[derive(Debug, Deserialize, PartialEq)]
#[serde(rename_all = "lowercase")]
enum PieceStatus {
    Pulling,
    Waiting,
    Running,
    Saving,
    Ended,
    /// A word of tomorrow must not cost the rest of the report.
    #[serde(other)]
    Other,
}

#[derive(Debug, Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
enum CauseName {
    Done,
    Stopped,
    Error,
    Full,
    Busy,
    Unknown,
    MatesGone,
    Incomplete,
    #[serde(other)]
    Other,
}

fn task(text: &str) -> Result<TaskId, String> {
    let (job, index) = text.rsplit_once('/').ok_or("a task without a number")?;
    let job = JobId::parse(job).map_err(|e| e.to_string())?;
    let index = index.parse().map_err(|_| "a task with a strange number")?;
    Ok(TaskId { job, index })
}

/// A worker's report.
pub fn report(body: &[u8]) -> Result<Heartbeat, String> {
    parse_report(body).map(|(report, _)| report)
}

/// Where something stands in a text.
type Span = std::ops::Range<usize>;

/// Reads the reports that come over one connection, mostly of one worker. One that
/// differs from the one before in nothing but the number of its tick, which is the usual
/// case, is not parsed again.
#[derive(Debug, Default)]
pub struct HeartbeatReader {
    last: Option<LastHeartbeat>,
}

#[derive(Debug)]
struct LastHeartbeat {
    body: Bytes,
    tick: Span,
    report: Heartbeat,
}

impl HeartbeatReader {
    /// As [`report`] reads it.
    pub fn read(&mut self, body: &Bytes) -> Result<Heartbeat, String> {
        if let Some(report) = self.last.as_mut().and_then(|last| last.again(body)) {
            return Ok(report);
        }
        let (report, tick) = parse_report(body)?;
        self.last = Some(LastHeartbeat { body: body.clone(), tick, report: report.clone() });
        Ok(report)
    }
}

impl LastHeartbeat {
    /// The report, if the text is the same but for the tick. One number in the place of
    /// another makes no other change to what a JSON text says.
    fn again(&self, body: &Bytes) -> Option<Heartbeat> {
        let Span { start, end } = self.tick;
        if body.len() != self.body.len()
            || body[..start] != self.body[..start]
            || body[end..] != self.body[end..]
        {
            return None;
        }
        let tick = serde_json::from_slice(&body[start..end]).ok()?;
        Some(Heartbeat { sequence: tick, ..self.report.clone() })
    }
}

fn parse_report(body: &[u8]) -> Result<(Heartbeat, Span), String> {
    let beat: Beat = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    let tick = beat.tick.get();
    let start = (tick.as_ptr() as usize).saturating_sub(body.as_ptr() as usize);
    let span = start..start + tick.len();
    let tick = serde_json::from_str(tick).map_err(|e| e.to_string())?;
    if beat.host.is_empty() || beat.host.len() > 100 || !beat.host.bytes().all(|b| b.is_ascii_graphic()) {
        return Err("a strange host name".into());
    }
    let warning = match beat.warning_s {
        None => None,
        Some(s) => Some(seconds(s.max(0.0)).ok_or("warningS is out of range")?),
    };
    let mut tasks = Vec::with_capacity(beat.pieces.len());
    for piece in &beat.pieces {
        let seen = match (&piece.status, piece.cause) {
            (PieceStatus::Pulling, _) => TaskStatus::FetchingImage,
            (PieceStatus::Running, _) => TaskStatus::Running,
            (PieceStatus::Saving, _) => TaskStatus::Checkpointing,
            (PieceStatus::Waiting, _) => TaskStatus::WaitingForGang,
            (PieceStatus::Other, _) => TaskStatus::Unrecognized,
            (PieceStatus::Ended, Some(cause)) => TaskStatus::Exited(match cause {
                CauseName::Done => ExitReason::Completed,
                CauseName::Stopped => ExitReason::Stopped,
                CauseName::Error => ExitReason::Failed,
                CauseName::Full => ExitReason::InsufficientResources,
                CauseName::Busy => ExitReason::AttemptConflict,
                CauseName::Unknown => ExitReason::UnknownJob,
                CauseName::MatesGone => ExitReason::GangMemberLost,
                CauseName::Incomplete => ExitReason::GangIncomplete,
                CauseName::Other => ExitReason::Unrecognized,
            }),
            (PieceStatus::Ended, None) => return Err("an ended task without a cause".into()),
        };
        tasks.push(ReportedTask { task: task(&piece.piece)?, attempt: piece.attempt, status: seen });
    }
    let report = Heartbeat {
        machine: beat.host.into(),
        address: beat.address.into(),
        machine_type: beat.rig.into(),
        zone: beat.yard.into(),
        spot: beat.loaners,
        incarnation: beat.shift,
        sequence: tick,
        token: beat.baton,
        preemption_notice: warning,
        tasks: tasks.into(),
    };
    Ok((report, span))
}

/// A task as workers name it.
#[derive(Debug)]
struct PieceName<'a>(&'a TaskId);

impl Serialize for PieceName<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&format_args!("{}/{}", self.0.job, self.0.index))
    }
}

#[derive(Debug, Serialize)]
struct OrderMessage<'a> {
    verb: &'static str,
    piece: PieceName<'a>,
    #[serde(rename = "try")]
    attempt: u64,
    #[serde(rename = "leewayS", skip_serializing_if = "Option::is_none")]
    leeway_s: Option<f64>,
}

impl<'a> From<&'a WorkerCommand> for OrderMessage<'a> {
    fn from(order: &'a WorkerCommand) -> Self {
        let (verb, task, attempt, leeway) = match order {
            WorkerCommand::Run { task, attempt } => ("run", task, attempt, None),
            WorkerCommand::Kill { task, attempt, grace: leeway } => {
                ("kill", task, attempt, Some(leeway.as_secs_f64()))
            }
            WorkerCommand::Acknowledge { task, attempt } => ("reap", task, attempt, None),
        };
        Self { verb, piece: PieceName(task), attempt: *attempt, leeway_s: leeway }
    }
}

#[derive(Debug, Serialize)]
struct OrdersMessage<'a> {
    baton: u64,
    shift: u64,
    orders: Vec<OrderMessage<'a>>,
}

pub fn orders(token: u64, shift: u64, orders: &[WorkerCommand]) -> Vec<u8> {
    let orders = orders.iter().map(OrderMessage::from).collect();
    text(&OrdersMessage { baton: token, shift, orders })
}

// ----- cloud -----

#[derive(Debug, Deserialize)]
struct Catalog {
    rigs: Vec<CatalogRig>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct CatalogRig {
    label: String,
    cpus: f64,
    gpus: f64,
    ram_gb: f64,
    local_gb: f64,
    pull_gb_per_s: f64,
    rate: f64,
    market_price: f64,
    ready_s: f64,
    yards: Vec<String>,
}

pub fn catalog(body: &[u8]) -> Option<Vec<MachineType>> {
    let catalog: Catalog = serde_json::from_slice(body).ok()?;
    let mut rigs = Vec::new();
    for rig in catalog.rigs {
        let amounts =
            [rig.cpus, rig.gpus, rig.ram_gb, rig.local_gb, rig.pull_gb_per_s, rig.rate, rig.market_price];
        if !amounts.iter().all(|x| (0.0..=1e9).contains(x)) || rig.yards.is_empty() {
            return None;
        }
        rigs.push(MachineType {
            name: rig.label,
            cpus: rig.cpus,
            gpus: rig.gpus,
            ram: rig.ram_gb,
            image_cache_gb: rig.local_gb,
            image_fetch_gb_per_s: rig.pull_gb_per_s,
            price: rig.rate,
            spot_price: rig.market_price,
            boot_time: seconds(rig.ready_s)?,
            zones: rig.yards,
        });
    }
    Some(rigs)
}

#[derive(Debug, Deserialize)]
struct Hosts {
    hosts: Vec<HostRow>,
    truncated: bool,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct HostRow {
    name_id: String,
    address: String,
    rig: String,
    yard: String,
    loaners: bool,
    status: HostStatusName,
    held_s: f64,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum HostStatusName {
    Booting,
    Running,
    Failed,
}

pub fn hosts(body: &[u8]) -> Option<(Vec<Instance>, bool)> {
    let page: Hosts = serde_json::from_slice(body).ok()?;
    let mut hosts = Vec::with_capacity(page.hosts.len());
    for row in page.hosts {
        hosts.push(Instance {
            name: row.name_id.into(),
            address: row.address.into(),
            machine_type: row.rig,
            zone: row.yard,
            spot: row.loaners,
            status: match row.status {
                HostStatusName::Booting => InstanceStatus::Booting,
                HostStatusName::Running => InstanceStatus::Running,
                HostStatusName::Failed => InstanceStatus::Failed,
            },
            age: seconds(row.held_s)?,
        });
    }
    Some((hosts, page.truncated))
}

/// The token of an answer to a report, if it is one.
pub fn answer_token(body: &[u8]) -> Option<u64> {
    #[derive(Deserialize)]
    struct Token {
        baton: u64,
    }
    serde_json::from_slice::<Token>(body).ok().map(|answer| answer.baton)
}

pub fn rental(rental: &Rental) -> Value {
    let Rental { name, machine_type, zone, spot, count } = rental;
    json!({"hire": name, "rig": machine_type, "yard": zone, "loaners": spot, "number": count})
}

pub fn hired(body: &[u8]) -> Option<Vec<String>> {
    #[derive(Deserialize)]
    struct Hired {
        hosts: Vec<String>,
    }
    serde_json::from_slice::<Hired>(body).ok().map(|h| h.hosts)
}

// ----- state service -----

#[derive(Debug, Deserialize)]
pub struct StateRow {
    k: String,
    value: Box<RawValue>,
    stamp: u64,
}

impl From<StateRow> for KeyValue {
    fn from(row: StateRow) -> Self {
        KeyValue { key: row.k, value: row.value.get().into(), mod_revision: row.stamp }
    }
}

#[derive(Debug, Deserialize)]
pub struct Page {
    pub rows: Vec<StateRow>,
    pub truncated: bool,
    pub epoch: u64,
}

#[derive(Debug, Deserialize)]
pub struct Epoch {
    pub epoch: u64,
}

#[derive(Debug, Deserialize)]
pub struct Failed {
    pub failed: Vec<String>,
}

#[derive(Debug, Deserialize)]
pub struct Hold {
    pub hold: u64,
}

#[derive(Debug, Deserialize)]
pub struct Events {
    pub epoch: u64,
    events: Vec<RawEvent>,
}

#[derive(Debug, Deserialize)]
struct RawEvent {
    write: Option<String>,
    drop: Option<String>,
    value: Option<Box<RawValue>>,
    stamp: u64,
}

impl Events {
    pub fn events(self) -> Option<Vec<WatchEvent>> {
        let event = |e: RawEvent| match (e.write, e.drop, e.value) {
            (Some(key), None, Some(value)) => {
                Some(WatchEvent::Put(KeyValue { key, value: value.get().into(), mod_revision: e.stamp }))
            }
            (None, Some(key), _) => Some(WatchEvent::Delete { key, revision: e.stamp }),
            _ => None,
        };
        self.events.into_iter().map(event).collect()
    }
}

pub fn txn(conditions: &[Condition], changes: &[KvChange]) -> Option<Vec<u8>> {
    #[derive(Serialize)]
    struct Put<'a> {
        write: &'a str,
        value: &'a RawValue,
        #[serde(skip_serializing_if = "Option::is_none")]
        hold: Option<u64>,
    }
    let mut apply: Vec<Box<RawValue>> = Vec::with_capacity(changes.len());
    for change in changes {
        let text = match change {
            KvChange::Put { key, value, lease: hold } => {
                let value: &RawValue = serde_json::from_str(value).ok()?;
                serde_json::to_string(&Put { write: key, value, hold: *hold })
            }
            KvChange::Delete { key } => serde_json::to_string(&BTreeMap::from([("drop", key)])),
        };
        apply.push(RawValue::from_string(text.ok()?).ok()?);
    }
    let conditions: Vec<Value> =
        conditions.iter().map(|c| json!({"k": c.key, "stamp": c.mod_revision})).collect();
    #[derive(Serialize)]
    struct Txn {
        r#if: Vec<Value>,
        apply: Vec<Box<RawValue>>,
    }
    serde_json::to_vec(&Txn { r#if: conditions, apply }).ok()
}
