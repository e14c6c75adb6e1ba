//! The history of answers to users and of attempts on workers, and the check that every job
//! reached exactly one final answer. The check calls none of the code under test.

use crate::LoadArgs;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::process::ExitCode;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// The status of a job in an answer to its user.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobAnswer {
    Accepted,
    Done,
    Cancelled,
    NotFound,
}

/// A change in the state of an attempt on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEvent {
    Started,
    Done,
    /// The attempt was stopped, or lost because its worker's lease expired or its machine was
    /// taken away.
    Stopped,
}

/// An answer to a user, or a change of an attempt.
#[derive(Debug, Clone)]
pub enum Event {
    /// A user received an answer. `tasks` is the number of tasks with which the user submitted the
    /// job.
    Answered { job: String, tasks: u64, status: JobAnswer },
    /// An attempt started or ended on the worker of machine number `host`.
    Attempt { task: String, host: usize, event: AttemptEvent },
    /// The worker of machine number `host` was told to start an attempt that it had forgotten after an
    /// acknowledgement in the same session.
    StartedAfterAcknowledgement { task: String, attempt: u64, host: usize },
}

/// The events of a run, in the order in which they were added.
#[derive(Debug, Default)]
pub struct AnswerHistory(Mutex<Vec<(Instant, Event)>>);

impl AnswerHistory {
    /// Adds an event with the current time.
    pub fn add(&self, event: Event) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push((Instant::now(), event));
    }

    /// Returns a copy of all events so far.
    pub fn all(&self) -> Vec<(Instant, Event)> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// The result of the check.
#[derive(Debug, Default)]
pub struct Verdict {
    /// A message for each violation that was found.
    pub faults: Vec<String>,
    /// The number of jobs that were accepted.
    pub accepted: usize,
    /// The number of jobs with the final answer `done`.
    pub done: usize,
    /// The number of jobs with the final answer `cancelled`.
    pub cancelled: usize,
    /// The longest time from the first answer about a job to its final one.
    pub longest_job: Duration,
}

#[derive(Debug, Default)]
struct Job {
    tasks: u64,
    first_answer: Option<Instant>,
    outcome: Option<(JobAnswer, Instant)>,
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let longest_job = self.longest_job.as_secs_f64();
        let Self { accepted, done, cancelled, .. } = self;
        write!(
            f,
            "{accepted} jobs accepted, {done} done, {cancelled} cancelled, longest job {longest_job:.1} s"
        )
    }
}

impl Verdict {
    /// Prints the faults, and returns the exit code of the run: a failure if there are any.
    pub fn report_faults(&self) -> ExitCode {
        for fault in &self.faults {
            println!("fault: {fault}");
        }
        if self.faults.is_empty() {
            ExitCode::SUCCESS
        } else {
            ExitCode::FAILURE
        }
    }
}

/// Checks the history, and that all jobs of the load were accepted.
pub fn check_all(history: &AnswerHistory, load: &LoadArgs) -> Verdict {
    let mut verdict = check(&history.all(), Duration::from_secs_f64(load.cancel_s));
    let missing = (load.jobs as usize).saturating_sub(verdict.accepted);
    if missing > 0 {
        verdict.faults.push(format!("{missing} jobs were never accepted"));
    }
    verdict
}

/// Checks a history from its beginning. An attempt may still run for `cancel_timeout` after the
/// user received the answer that its job is cancelled.
pub fn check(history: &[(Instant, Event)], cancel_timeout: Duration) -> Verdict {
    let mut verdict = Verdict::default();
    let mut jobs: BTreeMap<&str, Job> = BTreeMap::new();
    let mut running: BTreeMap<&str, BTreeSet<usize>> = BTreeMap::new();
    let mut done: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
    for (at, recorded) in history {
        match recorded {
            Event::Answered { job, tasks, status } => {
                let entry = jobs.entry(job).or_default();
                (entry.tasks, entry.first_answer) = (*tasks, entry.first_answer.or(Some(*at)));
                record_answer(job, entry, *status, *at, &mut verdict);
            }
            Event::Attempt { task, host, event } => {
                let hosts = running.entry(task).or_default();
                let job = task.split('/').next().unwrap_or_default();
                if *event == AttemptEvent::Started {
                    hosts.insert(*host);
                    if hosts.len() > 1 {
                        verdict.faults.push(format!("{task} ran on {hosts:?} at a time"));
                    }
                } else {
                    hosts.remove(host);
                }
                let outcome = jobs.get(job).and_then(|job| job.outcome);
                if outcome.is_some_and(|(status, cancelled_at)| {
                    status == JobAnswer::Cancelled
                        && at.saturating_duration_since(cancelled_at) > cancel_timeout
                }) {
                    verdict.faults.push(format!("{task} went on past its cancellation"));
                }
                if *event == AttemptEvent::Done {
                    done.entry(job).or_default().insert(task);
                }
            }
            Event::StartedAfterAcknowledgement { task, attempt, host } => {
                let fault = format!("{task} attempt {attempt} started again on {host} after its end");
                verdict.faults.push(fault);
            }
        }
    }
    for (name, job) in &jobs {
        let tasks = done.get(name).map_or(0, BTreeSet::len) as u64;
        match job.outcome {
            None => verdict.faults.push(format!("{name} has no final answer")),
            Some((JobAnswer::Done, _)) if tasks < job.tasks => {
                verdict.faults.push(format!("{name} is done with {tasks} of {} tasks", job.tasks));
            }
            Some((status, at)) => {
                verdict.done += usize::from(status == JobAnswer::Done);
                verdict.cancelled += usize::from(status == JobAnswer::Cancelled);
                let duration =
                    job.first_answer.map(|first_answer| at.saturating_duration_since(first_answer));
                verdict.longest_job = verdict.longest_job.max(duration.unwrap_or_default());
            }
        }
    }
    verdict.accepted = jobs.len();
    verdict
}

fn record_answer(name: &str, job: &mut Job, status: JobAnswer, at: Instant, verdict: &mut Verdict) {
    match (job.outcome, status) {
        (Some((outcome, _)), status) if status != outcome => {
            verdict.faults.push(format!("{name} was {outcome:?} and then {status:?}"));
        }
        (None, JobAnswer::Done | JobAnswer::Cancelled) => job.outcome = Some((status, at)),
        (None, JobAnswer::NotFound) => verdict.faults.push(format!("{name} was accepted and then not found")),
        _ => {}
    }
}
