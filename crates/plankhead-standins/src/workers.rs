//! Workers that send heartbeats, fetch images and run tasks, each on its own loopback address. A
//! task does no work, but lasts for its run time.

use crate::answer_history::{AnswerHistory, AttemptEvent, Event};
use crate::proxy::Proxy;
use crate::request_counts::{RequestCounts, RequestKind};
use crate::users::Workload;
use crate::LoadArgs;
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::{Method, Request};
use plankhead::http::{self, Client, Reply};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::Notify;

pub const MACHINE_TYPE: &str = "large";
pub const ZONE: &str = "zone-a";
const MAX_CONNECTIONS: usize = 10_000;
/// The minimum pause between two heartbeats of a worker, unless its regular interval is shorter.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(4);
/// The delay before a worker turns to the next node after a failed heartbeat.
const NEXT_NODE_DELAY: Duration = Duration::from_secs(1);
/// The time from a command to run a task to the start of the task.
const IMAGE_FETCH_TIME: Duration = Duration::from_millis(1_250);

pub fn name(number: usize) -> String {
    format!("i-{number:06}")
}

pub fn number(name: &str) -> Option<usize> {
    name.strip_prefix("i-")?.parse().ok()
}

/// Returns the address of a machine. The whole of 127.0.0.0/8 is loopback.
pub fn address(number: usize, port: u16) -> String {
    format!("127.1.{}.{}:{port}", number / 250 % 250, number % 250 + 1)
}

fn ip_address(number: usize) -> String {
    address(number, 0).trim_end_matches(":0").to_owned()
}

/// All workers of the cluster.
#[derive(Debug)]
pub struct Workers {
    /// The port of the workers to which each node sends its commands.
    pub command_ports: Vec<u16>,
    /// The port on which all workers listen.
    pub port: u16,
    heartbeat_interval: Duration,
    nodes: Vec<SocketAddr>,
    workload: Arc<Workload>,
    counts: Arc<RequestCounts>,
    history: Arc<AnswerHistory>,
    lease_duration: Duration,
    faults: Mutex<WorkerFaults>,
    /// The rented workers, by IP address.
    by_address: Mutex<HashMap<String, Arc<Worker>>>,
}

/// The choice of direct commands that arrive again, and of attempts that fail.
#[derive(Debug)]
struct WorkerFaults {
    random: StdRng,
    repeated_commands: f64,
    longest_delay: Duration,
    failed: f64,
}

impl WorkerFaults {
    fn new(args: &LoadArgs) -> Self {
        Self {
            random: StdRng::seed_from_u64(args.worker_seed),
            repeated_commands: args.repeated_commands,
            longest_delay: Duration::from_secs_f64(args.repeat_delay_s),
            failed: args.failed,
        }
    }

    /// Returns after which time a copy of the next direct command arrives, if one does.
    fn next_repeat(&mut self) -> Option<Duration> {
        let is_repeated = self.random.random_bool(self.repeated_commands);
        let delay = self.longest_delay.mul_f64(self.random.random_range(0.0..1.0));
        is_repeated.then_some(delay)
    }

    fn next_attempt_fails(&mut self) -> bool {
        self.random.random_bool(self.failed)
    }
}

#[derive(Debug, Default)]
struct Worker {
    number: usize,
    /// Notified when the worker has received a command.
    changed: Notify,
    inner: Mutex<Inner>,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum TaskState {
    /// The image is being fetched until this time.
    Fetching(Instant),
    /// The attempt runs until this time.
    Running(Instant),
    /// The attempt runs until this time, and then fails.
    Failing(Instant),
    /// The attempt has ended for this cause.
    Ended(&'static str),
}

#[derive(Debug, Default)]
struct Inner {
    stopped: bool,
    /// The sequence number of the latest heartbeat.
    sequence: u64,
    token: u64,
    /// When a higher token last counted as a change.
    token_changed_at: Option<Instant>,
    /// The number of past sessions. A session ends when the lease expires.
    expired_sessions: u64,
    /// The time at which the latest heartbeat with a valid response was sent.
    lease_renewed_at: Option<Instant>,
    /// The attempts on this worker, by task and attempt number.
    tasks: BTreeMap<(String, u64), TaskState>,
    /// The attempts that the worker has forgotten in this session after an acknowledgement.
    acknowledged: BTreeSet<(String, u64)>,
}

impl Workers {
    /// Starts the server of all workers. If `commands` is given, a proxy for the commands of each node
    /// is started and added to it.
    pub async fn start(
        args: &LoadArgs,
        nodes: Vec<SocketAddr>,
        workload: Arc<Workload>,
        counts: Arc<RequestCounts>,
        history: Arc<AnswerHistory>,
        commands: Option<&mut Vec<Proxy>>,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("0.0.0.0:0").await?;
        let port = listener.local_addr()?.port();
        let mut workers = Self {
            command_ports: vec![port; nodes.len()],
            port,
            heartbeat_interval: Duration::from_secs_f64(args.report_s),
            nodes,
            workload,
            counts,
            history,
            lease_duration: Duration::from_secs_f64(args.lease_s),
            faults: Mutex::new(WorkerFaults::new(args)),
            by_address: Mutex::default(),
        };
        if let Some(commands) = commands {
            for _ in 0..workers.nodes.len() {
                commands.push(Proxy::start_on_all_addresses(port).await?);
            }
            workers.command_ports = commands.iter().map(|proxy| proxy.address.port()).collect();
        }
        let workers = Arc::new(workers);
        let shared = workers.clone();
        tokio::spawn(http::serve(listener, MAX_CONNECTIONS, move |request| {
            handle_command(shared.clone(), request)
        }));
        Ok(workers)
    }

    /// Adds the worker of a rented machine. It sends heartbeats once the machine has booted.
    pub fn boot(self: &Arc<Self>, number: usize, boot_time: Duration) {
        let worker = Arc::new(Worker { number, ..Worker::default() });
        let mut by_address = self.by_address.lock().unwrap_or_else(PoisonError::into_inner);
        by_address.insert(ip_address(number), worker.clone());
        let workers = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(boot_time).await;
            workers.send_heartbeats(worker).await;
        });
    }

    fn faults(&self) -> std::sync::MutexGuard<'_, WorkerFaults> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record_attempt(&self, number: usize, task: &str, event: AttemptEvent) {
        self.history.add(Event::Attempt { task: task.into(), host: number, event });
    }

    /// Stops the worker of a machine that was returned.
    pub fn stop(&self, number: usize) {
        let mut by_address = self.by_address.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(worker) = by_address.remove(&ip_address(number)) {
            worker.inner().stop(&self.history, number);
        }
    }

    async fn send_heartbeats(&self, worker: Arc<Worker>) {
        let mut node = worker.number % self.nodes.len();
        let mut client = Client::new(self.nodes[node]);
        while !worker.inner().stopped {
            let sent_at = Instant::now();
            let body = worker.heartbeat(self.command_ports[node], self).to_string().into_bytes();
            self.counts.add(RequestKind::Heartbeat);
            self.counts.record_heartbeat_size(body.len());
            let response = client.call(Method::POST, "/agent/beat", body, REQUEST_TIMEOUT).await;
            let parsed = response.ok().and_then(|(status, body)| {
                Some((status.as_u16(), serde_json::from_slice::<Value>(&body).ok()?))
            });
            match parsed {
                Some((200, body)) => worker.handle_response(&body, sent_at, self),
                Some((421, body)) => {
                    let named_leader = body["foreman"].as_str().and_then(|name| name.strip_prefix("plank-"));
                    let named_leader: Option<usize> = named_leader.and_then(|number| number.parse().ok());
                    if named_leader.is_none() || named_leader == Some(node) {
                        tokio::time::sleep(NEXT_NODE_DELAY).await;
                    }
                    node = named_leader.filter(|n| *n != node).unwrap_or(node + 1) % self.nodes.len();
                    client = Client::new(self.nodes[node]);
                    continue;
                }
                _ => {
                    tokio::time::sleep(NEXT_NODE_DELAY).await;
                    node = (node + 1) % self.nodes.len();
                    client = Client::new(self.nodes[node]);
                    continue;
                }
            }
            worker.wait_for_next_heartbeat(self.heartbeat_interval).await;
        }
    }
}

/// Handles a command that a node sent directly to a worker. The host header identifies the worker.
async fn handle_command(workers: Arc<Workers>, request: Request<Incoming>) -> Reply {
    workers.counts.add(RequestKind::Command);
    let host = request.headers().get(HOST).and_then(|h| h.to_str().ok()).unwrap_or_default().to_owned();
    let body = match http::read_body(request, http::MAX_REQUEST).await {
        Ok(body) => serde_json::from_slice::<Value>(&body).unwrap_or(Value::Null),
        Err(reply) => return reply,
    };
    let machine = host.split(':').next().unwrap_or_default();
    let worker = workers.by_address.lock().unwrap_or_else(PoisonError::into_inner).get(machine).cloned();
    let Some(worker) = worker else { return Reply::error(404, "no such machine") };
    worker.execute_commands(&body, &workers);
    worker.changed.notify_one();
    if let Some(delay) = workers.faults().next_repeat() {
        tokio::spawn(repeat_command(workers.clone(), worker.clone(), body, delay));
    }
    let heartbeat = worker.heartbeat(workers.port, &workers);
    Reply { status: 200, body: heartbeat.to_string().into_bytes(), retry_after: None }
}

/// Delivers a copy of a direct command after this time.
async fn repeat_command(workers: Arc<Workers>, worker: Arc<Worker>, body: Value, delay: Duration) {
    tokio::time::sleep(delay).await;
    workers.counts.add(RequestKind::RepeatedCommand);
    worker.execute_commands(&body, &workers);
    worker.changed.notify_one();
}

impl Worker {
    fn inner(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until the next heartbeat is due, or earlier if the state of a task changes or
    /// a command arrives.
    async fn wait_for_next_heartbeat(&self, heartbeat_interval: Duration) {
        let jitter = rand::rng().random_range(0.75..1.25);
        let regular = Instant::now() + heartbeat_interval.mul_f64(jitter);
        tokio::time::sleep(MIN_HEARTBEAT_INTERVAL.min(heartbeat_interval)).await;
        let next = self.inner().next_change().map_or(regular, |at| at.min(regular));
        let pause = next.saturating_duration_since(Instant::now());
        let _ = tokio::time::timeout(pause, self.changed.notified()).await;
    }

    fn heartbeat(&self, port: u16, workers: &Workers) -> Value {
        let mut inner = self.inner();
        inner.sequence += 1;
        inner.advance(Instant::now(), self.number, workers);
        let describe_task = |((task, attempt), state): (&(String, u64), &TaskState)| match state {
            TaskState::Fetching(_) => json!({"piece": task, "try": attempt, "status": "pulling"}),
            TaskState::Running(_) | TaskState::Failing(_) => {
                json!({"piece": task, "try": attempt, "status": "running"})
            }
            TaskState::Ended(cause) => {
                json!({"piece": task, "try": attempt, "status": "ended", "cause": cause})
            }
        };
        let tasks: Vec<Value> = inner.tasks.iter().map(describe_task).collect();
        json!({"host": name(self.number), "address": address(self.number, port), "rig": MACHINE_TYPE,
            "yard": ZONE, "loaners": true, "shift": 1 + inner.expired_sessions, "tick": inner.sequence,
            "baton": inner.token, "warningS": null, "pieces": tasks})
    }

    /// Handles the response to a heartbeat, which renews the lease from the time at which the
    /// heartbeat was sent.
    fn handle_response(&self, body: &Value, sent_at: Instant, workers: &Workers) {
        let token = body["baton"].as_u64().unwrap_or_default();
        let mut inner = self.inner();
        inner.advance(Instant::now(), self.number, workers);
        if token >= inner.token {
            inner.lease_renewed_at = Some(sent_at);
        }
        drop(inner);
        if self.execute_commands(body, workers) {
            self.changed.notify_one();
        }
    }

    /// Carries out the commands, unless the token or the session does not match. Returns whether the worker
    /// has changed, so that it sends its next heartbeat early.
    fn execute_commands(&self, body: &Value, workers: &Workers) -> bool {
        let mut inner = self.inner();
        let token = body["baton"].as_u64().unwrap_or_default();
        let session = body["shift"].as_u64().unwrap_or(1 + inner.expired_sessions);
        if token < inner.token || session != 1 + inner.expired_sessions {
            return false;
        }
        let token_changed = inner.raise_token(token, workers.lease_duration / 2);
        for command in body["orders"].as_array().into_iter().flatten() {
            let task = command["piece"].as_str().unwrap_or_default().to_owned();
            let attempt_key = (task, command["try"].as_u64().unwrap_or_default());
            match command["verb"].as_str() {
                Some("run") => {
                    if inner.acknowledged.contains(&attempt_key) {
                        let (task, attempt) = attempt_key.clone();
                        let host = self.number;
                        workers.history.add(Event::StartedAfterAcknowledgement { task, attempt, host });
                    }
                    let fetching = TaskState::Fetching(Instant::now() + IMAGE_FETCH_TIME);
                    inner.tasks.entry(attempt_key).or_insert(fetching);
                }
                Some("kill") => {
                    if let Some(state) = inner
                        .tasks
                        .get_mut(&attempt_key)
                        .filter(|state| !matches!(state, TaskState::Ended(_)))
                    {
                        if matches!(state, TaskState::Running(_) | TaskState::Failing(_)) {
                            workers.record_attempt(self.number, &attempt_key.0, AttemptEvent::Stopped);
                        }
                        *state = TaskState::Ended("stopped");
                    }
                }
                _ => {
                    if inner.tasks.remove(&attempt_key).is_some() {
                        inner.acknowledged.insert(attempt_key);
                    }
                }
            }
        }
        token_changed || body["orders"].as_array().is_some_and(|commands| !commands.is_empty())
    }
}

impl Inner {
    /// Records a token that is not lower than the present one. Returns whether it counts as a change, which
    /// a higher token does once in `interval` at most.
    fn raise_token(&mut self, token: u64, interval: Duration) -> bool {
        let now = Instant::now();
        let is_due = self.token_changed_at.is_none_or(|at| now.saturating_duration_since(at) > interval);
        let counts = token > self.token && is_due;
        if counts {
            self.token_changed_at = Some(now);
        }
        self.token = token;
        counts
    }

    fn next_change(&self) -> Option<Instant> {
        let change_time = |state: &TaskState| match state {
            TaskState::Fetching(at) | TaskState::Running(at) | TaskState::Failing(at) => Some(*at),
            TaskState::Ended(_) => None,
        };
        self.tasks.values().filter_map(change_time).min()
    }

    /// Stops the worker, because its machine is taken away.
    fn stop(&mut self, history: &AnswerHistory, number: usize) {
        self.stopped = true;
        self.drop_tasks(history, number);
    }

    fn drop_tasks(&mut self, history: &AnswerHistory, number: usize) {
        for ((task, _), state) in std::mem::take(&mut self.tasks) {
            if matches!(state, TaskState::Running(_) | TaskState::Failing(_)) {
                history.add(Event::Attempt { task, host: number, event: AttemptEvent::Stopped });
            }
        }
    }

    fn advance(&mut self, now: Instant, number: usize, workers: &Workers) {
        let expired = self
            .lease_renewed_at
            .is_some_and(|at| now.saturating_duration_since(at) > workers.lease_duration);
        if expired {
            self.drop_tasks(&workers.history, number);
            self.acknowledged.clear();
            self.expired_sessions += 1;
            self.lease_renewed_at = None;
        }
        for ((task, _), state) in &mut self.tasks {
            match *state {
                TaskState::Fetching(at) if at <= now => {
                    let job = task.split('/').next().unwrap_or_default();
                    let ends_at = now + workers.workload.run_time(job);
                    *state = match workers.faults().next_attempt_fails() {
                        true => TaskState::Failing(ends_at),
                        false => TaskState::Running(ends_at),
                    };
                    workers.record_attempt(number, task, AttemptEvent::Started);
                }
                TaskState::Running(at) if at <= now => {
                    *state = TaskState::Ended("done");
                    workers.record_attempt(number, task, AttemptEvent::Done);
                }
                TaskState::Failing(at) if at <= now => {
                    *state = TaskState::Ended("error");
                    workers.record_attempt(number, task, AttemptEvent::Stopped);
                }
                _ => {}
            }
        }
    }
}
