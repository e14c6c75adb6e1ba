//! Jobs as their users describe them and as the state service keeps them.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;
use thiserror::Error;

/// The largest number of tasks in one job.
pub const MAX_TASKS: u32 = 100_000;
/// The longest text that a field of a job may hold, in bytes.
const MAX_TEXT_BYTES: usize = 200;
/// The longest id, in bytes.
const MAX_ID_BYTES: usize = 100;
/// The largest amount of anything that a field may name.
const MAX_AMOUNT: f64 = 1e9;
/// The most machine types that a job may name.
const MAX_MACHINE_TYPES: usize = 64;

/// A job's id: `job-` and a name, fit to be part of a key.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct JobId(Arc<str>);

/// A text that is no job id.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("nameId must be job- followed by letters, digits, '-', '_' or '.'")]
pub struct InvalidJobId;

impl JobId {
    /// Reads an id.
    ///
    /// # Errors
    ///
    /// [`InvalidJobId`] if the text does not begin with `job-`, is longer than 100 bytes, or holds
    /// characters that a key may not.
    pub fn parse(text: &str) -> Result<Self, InvalidJobId> {
        let name = text.strip_prefix("job-").ok_or(InvalidJobId)?;
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        if name.is_empty() || text.len() > MAX_ID_BYTES || !name.chars().all(is_allowed) {
            return Err(InvalidJobId);
        }
        Ok(Self(text.into()))
    }

    /// The id with its prefix.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// The key of the job's record.
    pub fn key(&self) -> String {
        format!("job/{}", self.0)
    }

    /// The key of the job's archived record: it goes there once the job is over, so that a new
    /// leader reads only what is active.
    pub fn archive_key(&self) -> String {
        format!("over/{}", self.0)
    }

    /// The key of one chunk of the job's placements. `rechunked`: of a job whose
    /// chunks became too large for what may be written and were replaced by smaller ones.
    pub fn chunk_key(&self, chunk: u32, rechunked: bool) -> String {
        let prefix = if rechunked { "s" } else { "" };
        format!("run/{}/{prefix}{chunk}", self.0)
    }
}

impl TryFrom<String> for JobId {
    type Error = InvalidJobId;
    fn try_from(text: String) -> Result<Self, InvalidJobId> {
        Self::parse(&text)
    }
}

impl From<JobId> for String {
    fn from(id: JobId) -> Self {
        id.0.to_string()
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Debug for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// How urgent a job is; the greater, the sooner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Runs when nothing else needs the room.
    Idle,
    /// The usual one.
    Standard,
    /// Before standard work.
    Urgent,
    /// Before all other work.
    Critical,
}

/// An amount of a machine's resources.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Resources {
    /// CPU cores, or parts of them.
    pub cpus: f64,
    /// GPUs, or parts of them.
    pub gpus: f64,
    /// Memory in GB.
    #[serde(rename = "ram")]
    pub ram_gb: f64,
}

/// Room for the rounding errors of sums of decimal amounts.
const EPSILON: f64 = 1e-6;

impl Resources {
    /// Whether this demand fits into what is free.
    pub fn fits(&self, free: &Resources) -> bool {
        self.cpus <= free.cpus + EPSILON
            && self.gpus <= free.gpus + EPSILON
            && self.ram_gb <= free.ram_gb + EPSILON
    }

    /// Adds an amount to this one.
    pub fn add(&mut self, other: &Resources) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.ram_gb += other.ram_gb;
    }

    /// This amount so many times.
    pub fn times(&self, count: u32) -> Resources {
        let count = f64::from(count);
        Resources { cpus: self.cpus * count, gpus: self.gpus * count, ram_gb: self.ram_gb * count }
    }

    /// Takes an amount out of this one.
    pub fn sub(&mut self, other: &Resources) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.ram_gb -= other.ram_gb;
    }
}

/// What a user asks for: a job array or a gang of equal tasks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The class, which has a service-level objective.
    pub class: String,
    /// The team whose quota applies.
    pub team: String,
    /// How urgent the job is.
    #[serde(rename = "urgency")]
    pub priority: Priority,
    /// The number of tasks.
    pub tasks: u32,
    /// What each task takes of its machine.
    #[serde(rename = "each")]
    pub demand: Resources,
    /// The image that a machine must have before a task can start.
    pub image: String,
    /// The image's size in GB.
    pub image_gb: f64,
    /// The allowed machine types; None: any.
    #[serde(rename = "rigs")]
    pub machine_types: Option<Vec<String>>,
    /// The only allowed zone.
    pub zone: Option<String>,
    /// All tasks must be in the same zone.
    #[serde(rename = "one_zone")]
    pub single_zone: bool,
    /// At most half of the tasks, rounded up, may be in one zone.
    #[serde(rename = "scatter")]
    pub spread: bool,
    /// Spot machines may be used.
    #[serde(rename = "spot")]
    pub allows_spot: bool,
    /// Seconds that a task should run without its image fetch, by its owner.
    #[serde(rename = "estimate")]
    pub estimated_runtime_s: f64,
    /// Seconds of progress between checkpoints; 0: tasks never save any.
    #[serde(rename = "checkpoint")]
    pub checkpoint_interval_s: f64,
    /// Seconds that a checkpoint takes when a task is stopped.
    #[serde(rename = "save")]
    pub checkpoint_duration_s: f64,
    /// Seconds from submission to the deadline.
    #[serde(rename = "due")]
    pub deadline_s: Option<f64>,
    /// All tasks run at the same time, or none does. Left out of arrays' records,
    /// which versions without gangs read; those take any record for an array, so
    /// that no gang may be stored while one of them may still be there.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub gang: bool,
}

/// Why a job description is out of range, in the protocol's names.
#[derive(Debug, Clone, Copy, Error, PartialEq, Eq)]
pub enum InvalidSpec {
    /// No tasks, or more than [`MAX_TASKS`].
    #[error("pieces must be from 1 to 100000")]
    Tasks,
    /// A demand, size or duration that is no usable amount.
    #[error("amounts must be finite, not negative and not over 1e9")]
    Amount,
    /// A deadline that is no usable amount.
    #[error("dueS must be finite, not negative and not over 1e9")]
    Deadline,
    /// An empty or overlong class, team or image.
    #[error("lane, crew and bundle must have 1 to 200 bytes")]
    Name,
    /// An empty or overlong zone.
    #[error("yard must have 1 to 200 bytes")]
    Zone,
    /// No machine types, too many, or an empty or overlong one.
    #[error("rigs must be null or name 1 to 64 types")]
    MachineTypes,
}

fn is_amount(amount: f64) -> bool {
    amount.is_finite() && (0.0..=MAX_AMOUNT).contains(&amount)
}

fn is_text(text: &str) -> bool {
    !text.is_empty() && text.len() <= MAX_TEXT_BYTES
}

impl JobSpec {
    /// Checks ranges; types are checked where the job is parsed.
    ///
    /// # Errors
    ///
    /// [`InvalidSpec`] for the first field that is out of range.
    pub fn check(&self) -> Result<(), InvalidSpec> {
        if self.tasks == 0 || self.tasks > MAX_TASKS {
            return Err(InvalidSpec::Tasks);
        }
        let amounts = [
            self.demand.cpus,
            self.demand.gpus,
            self.demand.ram_gb,
            self.image_gb,
            self.estimated_runtime_s,
            self.checkpoint_interval_s,
            self.checkpoint_duration_s,
        ];
        if !amounts.into_iter().all(is_amount) {
            return Err(InvalidSpec::Amount);
        }
        if self.deadline_s.is_some_and(|deadline| !is_amount(deadline)) {
            return Err(InvalidSpec::Deadline);
        }
        if !is_text(&self.class) || !is_text(&self.team) || !is_text(&self.image) {
            return Err(InvalidSpec::Name);
        }
        if self.zone.as_deref().is_some_and(|zone| !is_text(zone)) {
            return Err(InvalidSpec::Zone);
        }
        let are_usable = |types: &Vec<String>| {
            !types.is_empty() && types.len() <= MAX_MACHINE_TYPES && types.iter().all(|name| is_text(name))
        };
        if !self.machine_types.as_ref().is_none_or(are_usable) {
            return Err(InvalidSpec::MachineTypes);
        }
        Ok(())
    }
}

impl JobRecord {
    /// What is kept of a job of so many tasks that is over.
    pub fn finished(phase: JobPhase, tasks: u32) -> Self {
        Self { phase, spec: None, tasks, per_chunk: 0, accepted_ms: 0, cancelled_ms: None }
    }

    /// The record's value if it has at most `max_value_bytes`. One of a cancelled job that has
    /// more leaves out what only placing it would need: it may have been stored
    /// when values were allowed to be larger.
    pub fn encode(&self, max_value_bytes: usize) -> Option<String> {
        let value = serde_json::to_string(self).ok()?;
        if value.len() <= max_value_bytes {
            return Some(value);
        }
        let mut reduced = self.clone();
        let spec = reduced.spec.as_mut().filter(|_| self.phase == JobPhase::Cancelled)?;
        (spec.class, spec.image) = (String::new(), String::new());
        (spec.machine_types, spec.zone) = (None, None);
        serde_json::to_string(&reduced).ok().filter(|value| value.len() <= max_value_bytes)
    }
}

/// How far a job has come, as the state service knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobPhase {
    /// Accepted, and not over.
    #[serde(rename = "live")]
    Active,
    /// All its tasks are done.
    Done,
    /// Its user cancelled it.
    Cancelled,
}

/// The value of a `job/<id>` key, later of `over/<id>`. Final records keep the description of a
/// cancelled job only, for as long as its tasks may be somewhere.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// How far the job has come.
    pub phase: JobPhase,
    /// What its user asked for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub spec: Option<JobSpec>,
    /// Tasks in the job.
    #[serde(default)]
    pub tasks: u32,
    /// Tasks in each chunk of its placements.
    #[serde(default)]
    pub per_chunk: u32,
    /// Wall-clock time of the submission, in milliseconds since 1970.
    #[serde(default)]
    pub accepted_ms: u64,
    /// Wall-clock time of the cancellation, in milliseconds since 1970.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cancelled_ms: Option<u64>,
}
