//! Messages to and from users: submissions and the status of jobs.

use plankhead_core::jobs::job::{InvalidJobId, InvalidSpec, JobId, JobSpec, Priority, Resources};
use plankhead_core::protocol::JobStatus;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use thiserror::Error;

/// The reason why a submission is refused. Its text is the error message in the reply to the user.
#[derive(Debug, Error)]
pub enum SubmissionError {
    /// The body is not JSON.
    #[error("not JSON: {0}")]
    NotJson(serde_json::Error),
    /// The body is JSON but not an object.
    #[error("not an object")]
    NotAnObject,
    /// The job id is missing or not a string.
    #[error("nameId is missing or no text")]
    MissingJobId,
    /// The job id is malformed.
    #[error(transparent)]
    InvalidJobId(#[from] InvalidJobId),
    /// A field of the job is missing or has the wrong type.
    #[error(transparent)]
    MalformedJob(serde_json::Error),
    /// A field of the job is out of range.
    #[error(transparent)]
    InvalidJob(#[from] InvalidSpec),
}

/// A submission with a valid id. The job itself may be malformed, since a submission with a known id is
/// answered before the job is checked.
#[derive(Debug)]
pub struct Submission {
    /// The job id that the user has chosen.
    pub id: JobId,
    /// The job, or the reason why it is invalid.
    pub job: Result<JobSpec, SubmissionError>,
}

/// Parses the body of a submission. Returns an error only if the body contains no valid job id, since then no
/// job can be looked up. Other errors are part of the submission.
pub fn parse_submission(body: &[u8]) -> Result<Submission, SubmissionError> {
    let value: Value = serde_json::from_slice(body).map_err(SubmissionError::NotJson)?;
    if !value.is_object() {
        return Err(SubmissionError::NotAnObject);
    }
    let id = value.get("nameId").and_then(Value::as_str).ok_or(SubmissionError::MissingJobId)?;
    let id = JobId::parse(id)?;
    Ok(Submission { id, job: parse_job(value) })
}

fn parse_job(value: Value) -> Result<JobSpec, SubmissionError> {
    let message: JobMessage = serde_json::from_value(value).map_err(SubmissionError::MalformedJob)?;
    let job = JobSpec::from(message);
    job.check()?;
    Ok(job)
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct JobMessage {
    #[serde(rename = "lane")]
    class: String,
    #[serde(rename = "crew")]
    team: String,
    shape: JobShape,
    #[serde(rename = "urgency")]
    priority: PriorityName,
    #[serde(rename = "pieces")]
    tasks: u32,
    cpus: f64,
    gpus: f64,
    ram_gb: f64,
    #[serde(rename = "bundle")]
    image: String,
    image_gb: f64,
    #[serde(rename = "rigs")]
    machine_types: Option<Vec<String>>,
    #[serde(rename = "yard")]
    zone: Option<String>,
    #[serde(rename = "samePlace")]
    single_zone: bool,
    #[serde(rename = "scatter")]
    spread: bool,
    #[serde(rename = "loaners")]
    allows_spot: bool,
    #[serde(rename = "guessS")]
    estimated_runtime_s: f64,
    #[serde(rename = "bookmarkS")]
    checkpoint_interval_s: f64,
    #[serde(rename = "stowS")]
    checkpoint_duration_s: f64,
    #[serde(rename = "dueS")]
    deadline_s: Option<f64>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum JobShape {
    Array,
    #[serde(rename = "group")]
    Gang,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum PriorityName {
    Critical,
    Urgent,
    Standard,
    Idle,
}

impl From<PriorityName> for Priority {
    fn from(name: PriorityName) -> Self {
        match name {
            PriorityName::Critical => Priority::Critical,
            PriorityName::Urgent => Priority::Urgent,
            PriorityName::Standard => Priority::Standard,
            PriorityName::Idle => Priority::Idle,
        }
    }
}

impl From<JobMessage> for JobSpec {
    fn from(message: JobMessage) -> Self {
        Self {
            class: message.class,
            team: message.team,
            priority: message.priority.into(),
            tasks: message.tasks,
            demand: Resources { cpus: message.cpus, gpus: message.gpus, ram_gb: message.ram_gb },
            image: message.image,
            image_gb: message.image_gb,
            machine_types: message.machine_types,
            zone: message.zone,
            single_zone: message.single_zone,
            spread: message.spread,
            allows_spot: message.allows_spot,
            estimated_runtime_s: message.estimated_runtime_s,
            checkpoint_interval_s: message.checkpoint_interval_s,
            checkpoint_duration_s: message.checkpoint_duration_s,
            deadline_s: message.deadline_s,
            gang: matches!(message.shape, JobShape::Gang),
        }
    }
}

/// The status of a job in the reply to a user.
#[derive(Debug, Serialize)]
pub(super) struct JobResponse<'a> {
    #[serde(rename = "nameId")]
    pub id: &'a str,
    pub status: &'static str,
    pub done: u32,
    pub running: u32,
}

pub(super) fn status_name(status: JobStatus) -> &'static str {
    match status {
        JobStatus::Queued => "queued",
        JobStatus::Running => "running",
        JobStatus::Done => "done",
        JobStatus::Cancelled => "cancelled",
    }
}
