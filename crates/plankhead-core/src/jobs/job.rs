//! Jobs as their users describe them and as the state service keeps them.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;
use thiserror::Error;

/// The largest number of tasks in one job.
pub const MAX_TASKS: u32 = 100_000;
/// The longest text that a field of a job may hold.
const MAX_TEXT: usize = 200;
/// The largest amount of anything that a field may name.
const MAX_AMOUNT: f64 = 1e9;

/// A job's id, `job-` and something, fit to be part of a key.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct JobId(Arc<str>);

#[derive(Debug, Error, PartialEq, Eq)]
#[error("nameId must be job- followed by letters, digits, '-', '_' or '.'")]
pub struct InvalidJobId;

impl JobId {
    pub fn parse(text: &str) -> Result<Self, InvalidJobId> {
        let rest = text.strip_prefix("job-").ok_or(InvalidJobId)?;
        let fit = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        if rest.is_empty() || text.len() > 100 || !rest.chars().all(fit) {
            return Err(InvalidJobId);
        }
        Ok(Self(text.into()))
    }

    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// The key of the job's record.
    pub fn key(&self) -> String {
        format!("job/{}", self.0)
    }

    /// Where the record goes once the job is over, so that a new leader reads only
    /// what is alive.
    pub fn archive_key(&self) -> String {
        format!("over/{}", self.0)
    }

    /// The key of one chunk of the job's placements. `laid_anew`: of a job whose
    /// chunks became too large for what may be written, see [`crate::jobs::job_table`].
    pub fn chunk_key(&self, chunk: u32, laid_anew: bool) -> String {
        let small = if laid_anew { "s" } else { "" };
        format!("run/{}/{small}{chunk}", self.0)
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
    Idle,
    Standard,
    Urgent,
    Critical,
}

/// An amount of a machine's resources.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Resources {
    pub cpus: f64,
    pub gpus: f64,
    #[serde(rename = "ram")]
    pub ram_gb: f64,
}

/// Room for the rounding errors of sums of decimal amounts.
const EPS: f64 = 1e-6;

impl Resources {
    pub fn fits(&self, room: &Resources) -> bool {
        self.cpus <= room.cpus + EPS && self.gpus <= room.gpus + EPS && self.ram_gb <= room.ram_gb + EPS
    }

    pub fn add(&mut self, other: &Resources) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.ram_gb += other.ram_gb;
    }

    pub fn times(&self, count: u32) -> Resources {
        let count = f64::from(count);
        Resources { cpus: self.cpus * count, gpus: self.gpus * count, ram_gb: self.ram_gb * count }
    }

    pub fn sub(&mut self, other: &Resources) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.ram_gb -= other.ram_gb;
    }
}

/// What a user asks for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    pub class: String,
    pub team: String,
    #[serde(rename = "urgency")]
    pub priority: Priority,
    pub tasks: u32,
    #[serde(rename = "each")]
    pub demand: Resources,
    pub image: String,
    pub image_gb: f64,
    #[serde(rename = "rigs")]
    pub machine_types: Option<Vec<String>>,
    pub zone: Option<String>,
    #[serde(rename = "one_zone")]
    pub single_zone: bool,
    #[serde(rename = "scatter")]
    pub spread: bool,
    #[serde(rename = "spot")]
    pub allows_spot: bool,
    /// Seconds that a task should run, by its owner.
    #[serde(rename = "estimate")]
    pub estimated_runtime_s: f64,
    /// Seconds between checkpoints; 0: never saves.
    #[serde(rename = "checkpoint")]
    pub checkpoint_interval_s: f64,
    /// Seconds that saving takes.
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

#[derive(Debug, Error, PartialEq, Eq)]
#[error("{0}")]
pub struct InvalidSpec(pub &'static str);

impl JobSpec {
    /// Checks ranges; types are checked where the job is parsed.
    pub fn check(&self) -> Result<(), InvalidSpec> {
        let amount = |x: f64| x.is_finite() && (0.0..=MAX_AMOUNT).contains(&x);
        let text = |s: &str| !s.is_empty() && s.len() <= MAX_TEXT;
        let e = &self.demand;
        if self.tasks == 0 || self.tasks > MAX_TASKS {
            return Err(InvalidSpec("pieces must be from 1 to 100000"));
        }
        if ![
            e.cpus,
            e.gpus,
            e.ram_gb,
            self.image_gb,
            self.estimated_runtime_s,
            self.checkpoint_interval_s,
            self.checkpoint_duration_s,
        ]
        .into_iter()
        .all(amount)
        {
            return Err(InvalidSpec("amounts must be finite, not negative and not over 1e9"));
        }
        if self.deadline_s.is_some_and(|d| !amount(d)) {
            return Err(InvalidSpec("dueS must be finite, not negative and not over 1e9"));
        }
        if !text(&self.class) || !text(&self.team) || !text(&self.image) {
            return Err(InvalidSpec("lane, crew and bundle must have 1 to 200 bytes"));
        }
        if self.zone.as_deref().is_some_and(|z| !text(z)) {
            return Err(InvalidSpec("yard must have 1 to 200 bytes"));
        }
        if let Some(machine_types) = &self.machine_types {
            if machine_types.is_empty() || machine_types.len() > 64 || !machine_types.iter().all(|r| text(r))
            {
                return Err(InvalidSpec("rigs must be null or name 1 to 64 types"));
            }
        }
        Ok(())
    }
}

impl JobRecord {
    /// What is kept of a job that is over.
    pub fn finished(phase: JobPhase, tasks: u32) -> Self {
        Self { phase, spec: None, tasks, per_chunk: 0, accepted_ms: 0, cancelled_ms: None }
    }

    /// The record's text if it fits into a value. One of a cancelled job leaves out
    /// what only placing it would need where it doesn't: it may have been stored
    /// when values were allowed to be larger.
    pub fn encode(&self, value_bytes: usize) -> Option<String> {
        let text = serde_json::to_string(self).ok()?;
        if text.len() <= value_bytes {
            return Some(text);
        }
        let mut less = self.clone();
        let spec = less.spec.as_mut().filter(|_| self.phase == JobPhase::Cancelled)?;
        (spec.class, spec.image) = (String::new(), String::new());
        (spec.machine_types, spec.zone) = (None, None);
        serde_json::to_string(&less).ok().filter(|text| text.len() <= value_bytes)
    }
}

/// How far a job has come, as the state service knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobPhase {
    #[serde(rename = "live")]
    Active,
    Done,
    Cancelled,
}

/// The value of a `job/<id>` key, later of `over/<id>`. Final records keep the specification of a
/// cancelled job only, for as long as its tasks may be somewhere.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    pub phase: JobPhase,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub spec: Option<JobSpec>,
    /// Tasks in the job.
    #[serde(default)]
    pub tasks: u32,
    /// Tasks in each chunk of its placements.
    #[serde(default)]
    pub per_chunk: u32,
    /// Wall time of the submission, in milliseconds since 1970.
    #[serde(default)]
    pub accepted_ms: u64,
    /// Wall time of the cancellation.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cancelled_ms: Option<u64>,
}
