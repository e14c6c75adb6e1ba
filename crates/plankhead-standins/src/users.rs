//! Users who submit jobs, query their status until they are finished, and cancel some.

use crate::answer_history::{AnswerHistory, Event, JobAnswer};
use crate::request_counts::{RequestCounts, RequestKind};
use crate::LoadArgs;
use hyper::Method;
use plankhead::http::Client;
use rand::RngExt;
use serde_json::{json, Value};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
const STATUS_INTERVAL: Duration = Duration::from_secs(5);
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// The team of all jobs, which is also in the settings of the nodes.
pub const TEAM: &str = "team";
/// The class of all jobs, which is also in the settings of the nodes.
pub const CLASS: &str = "class";
/// The number of images from which jobs choose theirs at random.
const IMAGES: u32 = 10;

/// The run time of the tasks of each job, which only the workers read.
#[derive(Debug, Default)]
pub struct Workload(Mutex<HashMap<String, Duration>>);

impl Workload {
    fn add(&self, job: &str, run_time: Duration) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).insert(job.into(), run_time);
    }

    /// Returns the run time of the tasks of a job.
    pub fn run_time(&self, job: &str) -> Duration {
        let jobs = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        jobs.get(job).copied().unwrap_or(Duration::from_secs(1))
    }
}

/// Submits jobs until their number reaches `args.jobs`, or without end if that is 0.
pub async fn submit_jobs(
    args: LoadArgs,
    nodes: Vec<SocketAddr>,
    workload: Arc<Workload>,
    counts: Arc<RequestCounts>,
    history: Arc<AnswerHistory>,
) {
    for number in (1_u64..).take_while(|number| args.jobs == 0 || *number <= args.jobs) {
        let node = nodes[number as usize % nodes.len()];
        let user = User {
            client: Client::new(node),
            counts: counts.clone(),
            history: history.clone(),
            id: format!("job-{number:06}"),
        };
        let (job, run_time) = user.draw_job(&args);
        workload.add(&user.id, run_time);
        let will_cancel = rand::rng().random_bool(args.cancelled);
        tokio::spawn(async move { user.submit_and_poll(job, will_cancel).await });
        if number <= args.initial {
            continue;
        }
        if args.idle_s > 0.0 && number % 10 == 0 {
            tokio::time::sleep(Duration::from_secs_f64(args.idle_s)).await;
        }
        let pause = -rand::rng().random::<f64>().max(1e-9).ln() / args.jobs_per_s;
        tokio::time::sleep(Duration::from_secs_f64(pause.min(30.0))).await;
    }
}

/// Returns the message that submits an array of tasks.
pub fn job(id: &str, urgency: &str, tasks: u32, cpus: f64, image: &str, run_s: f64) -> Value {
    json!({"nameId": id, "lane": CLASS, "crew": TEAM, "shape": "array", "urgency": urgency,
        "pieces": tasks, "cpus": cpus, "gpus": 0.0, "ramGb": 4.0, "bundle": image, "imageGb": 1.0,
        "rigs": null, "yard": null, "samePlace": false, "scatter": false, "loaners": true,
        "guessS": run_s, "bookmarkS": 0.0, "stowS": 0.0, "dueS": null})
}

struct User {
    client: Client,
    counts: Arc<RequestCounts>,
    history: Arc<AnswerHistory>,
    id: String,
}

impl User {
    fn draw_job(&self, args: &LoadArgs) -> (Value, Duration) {
        let mut random = rand::rng();
        let run_s = args.run_s * random.random_range(0.4..1.6);
        let tasks = random.random_range(1..args.tasks * 2);
        let image = format!("img-{:02}", random.random_range(0..IMAGES));
        let urgency = if random.random_bool(0.5) { "urgent" } else { "standard" };
        let job = job(&self.id, urgency, tasks, args.cpus, &image, run_s);
        (job, Duration::from_secs_f64(run_s))
    }

    async fn call(&self, kind: RequestKind, method: Method, path: &str, body: Vec<u8>) -> Option<Value> {
        self.counts.add(kind);
        let (status, body) = self.client.call(method, path, body, REQUEST_TIMEOUT).await.ok()?;
        let is_valid = matches!(status.as_u16(), 200 | 201 | 404);
        is_valid.then(|| serde_json::from_slice(&body).ok()).flatten()
    }

    fn record(&self, tasks: u64, status: JobAnswer) {
        self.history.add(Event::Answered { job: self.id.clone(), tasks, status });
    }

    fn record_response(&self, tasks: u64, response: &Value) {
        let status = match response["status"].as_str() {
            Some("done") => JobAnswer::Done,
            Some("cancelled") => JobAnswer::Cancelled,
            Some(_) => JobAnswer::Accepted,
            None => JobAnswer::NotFound,
        };
        self.record(tasks, status);
    }

    async fn submit_and_poll(&self, job: Value, will_cancel: bool) {
        let body = job.to_string().into_bytes();
        while self.call(RequestKind::Submission, Method::POST, "/work", body.clone()).await.is_none() {
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
        let tasks = job["pieces"].as_u64().unwrap_or_default();
        self.record(tasks, JobAnswer::Accepted);
        let path = format!("/work/{}", self.id);
        loop {
            tokio::time::sleep(STATUS_INTERVAL).await;
            if will_cancel {
                let abort = format!("{path}/abort");
                let response = self.call(RequestKind::Cancellation, Method::POST, &abort, Vec::new()).await;
                if let Some(response) = response {
                    self.record_response(tasks, &response);
                    self.counts.add(RequestKind::JobFinished);
                    return;
                }
            }
            let response = self.call(RequestKind::StatusQuery, Method::GET, &path, Vec::new()).await;
            if let Some(response) = &response {
                self.record_response(tasks, response);
            }
            let status = response.as_ref().and_then(|a| a["status"].as_str());
            if matches!(status, Some("done" | "cancelled")) {
                self.counts.add(RequestKind::JobFinished);
                return;
            }
        }
    }
}
