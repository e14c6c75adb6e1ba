//! Job specifications as users submit them, and job records as the state service stores them.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;
use thiserror::Error;

/// The prefix of the keys of all chunks.
pub const CHUNK_PREFIX: &str = "run/";

/// The maximum number of tasks in a job.
pub const MAX_TASKS: u32 = 100_000;
/// The maximum length of a text field of a job, in bytes.
const MAX_TEXT_BYTES: usize = 200;
/// The maximum length of a job id, in bytes.
const MAX_ID_BYTES: usize = 100;
/// The maximum value of a numeric field.
const MAX_AMOUNT: f64 = 1e9;
/// The maximum number of machine types that a job may list.
const MAX_MACHINE_TYPES: usize = 64;

/// A job's id: `job-` followed by a name. It contains only characters that are allowed in keys.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct JobId(Arc<str>);

/// The text is not a valid job id.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("nameId must be job- followed by letters, digits, '-', '_' or '.'")]
pub struct InvalidJobId;

impl JobId {
    /// Parses a job id.
    ///
    /// # Errors
    ///
    /// Returns [`InvalidJobId`] if the text does not begin with `job-`, has nothing after that prefix, is
    /// longer than 100 bytes, or contains other characters than ASCII letters, digits, `-`, `_` and `.`.
    pub fn parse(text: &str) -> Result<Self, InvalidJobId> {
        let name = text.strip_prefix("job-").ok_or(InvalidJobId)?;
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        if name.is_empty() || text.len() > MAX_ID_BYTES || !name.chars().all(is_allowed) {
            return Err(InvalidJobId);
        }
        Ok(Self(text.into()))
    }

    /// Returns the id with its `job-` prefix.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns the key of the job's record.
    pub fn key(&self) -> String {
        format!("job/{}", self.0)
    }

    /// Returns the key of the job's archived record. The record moves there once the job is over, so that
    /// a new leader only reads active jobs.
    pub fn archive_key(&self) -> String {
        format!("over/{}", self.0)
    }

    /// Returns the prefix of the keys of the job's chunks.
    pub fn chunk_prefix(&self) -> String {
        format!("{CHUNK_PREFIX}{}/", self.0)
    }

    /// Returns the key of a chunk of the job's placements. `rechunked` says whether the job's chunks were
    /// replaced by smaller ones because the maximum size of values was reduced.
    pub fn chunk_key(&self, chunk: u32, rechunked: bool) -> String {
        let prefix = if rechunked { "s" } else { "" };
        format!("{}{prefix}{chunk}", self.chunk_prefix())
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

/// A job's priority, in ascending order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Runs only on resources that no other job needs.
    Idle,
    /// The normal priority.
    Standard,
    /// Runs before standard jobs.
    Urgent,
    /// Runs before all other jobs.
    Critical,
}

/// An amount of resources.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Resources {
    /// The number of CPU cores, possibly fractional.
    pub cpus: f64,
    /// The number of GPUs, possibly fractional.
    pub gpus: f64,
    /// Memory in GB.
    #[serde(rename = "ram")]
    pub ram_gb: f64,
}

/// The tolerance for rounding errors in sums of decimal amounts.
const EPSILON: f64 = 1e-6;

impl Resources {
    /// Returns whether this demand fits into the free resources.
    pub fn fits(&self, free: &Resources) -> bool {
        self.cpus <= free.cpus + EPSILON
            && self.gpus <= free.gpus + EPSILON
            && self.ram_gb <= free.ram_gb + EPSILON
    }

    /// Adds another amount to this one.
    pub fn add(&mut self, other: &Resources) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.ram_gb += other.ram_gb;
    }

    /// Returns this amount multiplied by `count`.
    pub fn times(&self, count: u32) -> Resources {
        let count = f64::from(count);
        Resources { cpus: self.cpus * count, gpus: self.gpus * count, ram_gb: self.ram_gb * count }
    }

    /// Subtracts another amount from this one.
    pub fn sub(&mut self, other: &Resources) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.ram_gb -= other.ram_gb;
    }
}

/// A job's specification: a job array or a gang of identical tasks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The job's class, for which there is a service-level objective.
    pub class: String,
    /// The team whose quota applies.
    pub team: String,
    /// The job's priority.
    #[serde(rename = "urgency")]
    pub priority: Priority,
    /// The number of tasks.
    pub tasks: u32,
    /// The resources that each task needs.
    #[serde(rename = "each")]
    pub demand: Resources,
    /// The image that a machine must have fetched before a task can start.
    pub image: String,
    /// The image's size in GB.
    pub image_gb: f64,
    /// The allowed machine types, or `None` if any type is allowed.
    #[serde(rename = "rigs")]
    pub machine_types: Option<Vec<String>>,
    /// The zone in which all tasks must run, or `None` if any zone is allowed.
    pub zone: Option<String>,
    /// Whether all tasks must run in the same zone.
    #[serde(rename = "one_zone")]
    pub single_zone: bool,
    /// Whether at most half of the tasks, rounded up, may run in one zone.
    #[serde(rename = "scatter")]
    pub spread: bool,
    /// Whether tasks may run on spot machines.
    #[serde(rename = "spot")]
    pub allows_spot: bool,
    /// The owner's estimate of a task's run time in seconds, without the time to fetch its image.
    #[serde(rename = "estimate")]
    pub estimated_runtime_s: f64,
    /// The number of seconds of progress between checkpoints; 0 if tasks write none.
    #[serde(rename = "checkpoint")]
    pub checkpoint_interval_s: f64,
    /// The number of seconds that a task needs to write a checkpoint when it is stopped.
    #[serde(rename = "save")]
    pub checkpoint_duration_s: f64,
    /// The number of seconds from submission to the deadline.
    #[serde(rename = "due")]
    pub deadline_s: Option<f64>,
    /// Whether the job is a gang: either all of its tasks run at the same time, or none does. The field
    /// is omitted from the records of job arrays, because versions without gang support, which do not
    /// know it, also read them. Those versions treat every record as an array, so no gang may be stored
    /// while one of them may still be running.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub gang: bool,
}

/// The reason why a job specification is invalid. The messages use the field names of the protocol.
#[derive(Debug, Clone, Copy, Error, PartialEq, Eq)]
pub enum InvalidSpec {
    /// The job has no tasks, or more than [`MAX_TASKS`].
    #[error("pieces must be from 1 to 100000")]
    Tasks,
    /// A demand, size or duration is negative, not finite or too large.
    #[error("amounts must be finite, not negative and not over 1e9")]
    Amount,
    /// The deadline is negative, not finite or too large.
    #[error("dueS must be finite, not negative and not over 1e9")]
    Deadline,
    /// The class, team or image is empty or too long.
    #[error("lane, crew and bundle must have 1 to 200 bytes")]
    Name,
    /// The zone is empty or too long.
    #[error("yard must have 1 to 200 bytes")]
    Zone,
    /// The list of machine types is empty or too long, or one of its names is.
    #[error("rigs must be null or name 1 to 64 types")]
    MachineTypes,
}

fn is_valid_amount(amount: f64) -> bool {
    amount.is_finite() && (0.0..=MAX_AMOUNT).contains(&amount)
}

fn is_valid_text(text: &str) -> bool {
    !text.is_empty() && text.len() <= MAX_TEXT_BYTES
}

impl JobSpec {
    /// Checks that every field is in range. The types of the fields are checked when the job is parsed.
    ///
    /// # Errors
    ///
    /// Returns [`InvalidSpec`] for the first field that is out of range.
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
        if !amounts.into_iter().all(is_valid_amount) {
            return Err(InvalidSpec::Amount);
        }
        if self.deadline_s.is_some_and(|deadline| !is_valid_amount(deadline)) {
            return Err(InvalidSpec::Deadline);
        }
        if !is_valid_text(&self.class) || !is_valid_text(&self.team) || !is_valid_text(&self.image) {
            return Err(InvalidSpec::Name);
        }
        if self.zone.as_deref().is_some_and(|zone| !is_valid_text(zone)) {
            return Err(InvalidSpec::Zone);
        }
        let are_valid = |types: &Vec<String>| {
            !types.is_empty()
                && types.len() <= MAX_MACHINE_TYPES
                && types.iter().all(|name| is_valid_text(name))
        };
        if !self.machine_types.as_ref().is_none_or(are_valid) {
            return Err(InvalidSpec::MachineTypes);
        }
        Ok(())
    }
}

impl JobRecord {
    /// Creates the final record of a job with `tasks` tasks that is over.
    pub fn finished(phase: JobPhase, tasks: u32) -> Self {
        Self { phase, spec: None, tasks, per_chunk: 0, accepted_ms: 0, cancelled_ms: None }
    }

    /// Encodes the record, or returns `None` if the value would take more than `max_value_bytes`. If the
    /// job is cancelled, a value that is too large is encoded without the fields that only placement
    /// needs, so that a job that was stored when larger values were allowed can still be cancelled.
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

/// The phase of a job, as stored in the state service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobPhase {
    /// The job has been accepted and is not over.
    #[serde(rename = "live")]
    Active,
    /// All tasks have completed.
    Done,
    /// A user has cancelled the job.
    Cancelled,
}

/// The record of a job: the value of the key `job/<id>` and, once archived, of `over/<id>`. When a job
/// is over, the record keeps the specification only if the job was cancelled, and only as long as its
/// tasks may still be on machines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The job's phase.
    pub phase: JobPhase,
    /// The job's specification. Absent if the job is over, except while tasks of a cancelled job may
    /// still be on machines.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub spec: Option<JobSpec>,
    /// The number of tasks in the job.
    #[serde(default)]
    pub tasks: u32,
    /// The number of tasks in each chunk of the job's placements.
    #[serde(default)]
    pub per_chunk: u32,
    /// The wall-clock time of the submission, in milliseconds since the Unix epoch.
    #[serde(default)]
    pub accepted_ms: u64,
    /// The wall-clock time of the cancellation, in milliseconds since the Unix epoch.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cancelled_ms: Option<u64>,
}
