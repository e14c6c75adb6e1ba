//! Faults that are scripted to happen at critical moments, and requests of users beyond submission,
//! status and cancellation.

use super::deployment::{ms, secs};
use super::events::SimEvent;
use super::jobs::Job;
use super::requests::PendingRequest;
use super::worker::Worker;
use super::{cuts, World, SIM_START};
use plankhead_core::jobs::job::{JobId, Priority};
use plankhead_core::protocol::{
    Event, JobStatus, KvChange, KvRequest, Response, SpecRejection, TaskId, TaskStatus, WorkerCommand,
};
use rand::RngExt;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// A point in a simulated run that scripts can wait for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trigger {
    /// A node has acquired the leader's key.
    LeaderElected,
    /// The leader told a worker to run something.
    RunSent,
    /// The leader told a worker to kill an attempt.
    KillSent,
    /// The state service wrote placements.
    PlacementsWritten,
    /// The state service wrote that a job is done.
    JobDoneWritten,
    /// A user learned that a job was accepted.
    Accepted,
    /// A user learned that a job is cancelled.
    Cancelled,
    /// A leader sent the state service an intent.
    IntentSent,
    /// The state service wrote an intent.
    IntentWritten,
    /// A leader asked the cloud to rent or release machines.
    CloudActionSent,
    /// The state service wrote that a shard is to move.
    MoveStarted,
    /// The state service wrote the holder of a shard.
    HolderAssigned,
}

/// A trigger, the number of times that it must still fire, and the events that are then scheduled
/// after these delays.
pub type Script = (Trigger, u32, Vec<(Duration, SimEvent)>);

/// A fault of the current leader or of another node.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    /// The state service refuses the node's requests.
    RefuseKv(Duration),
    /// The node loses the state service and its peers, but not its workers or users.
    CutFromKvAndPeers(Duration),
    /// The node's process is paused.
    Pause(Duration),
    /// The node's process is paused before it sends its latest decisions.
    PauseBeforeSending(Duration),
    /// The node loses its whole network.
    CutNetwork(Duration),
    /// Some of the node's links fail.
    CutLinks(&'static [cuts::Link], cuts::CutMode, Duration),
    /// The node's process stops and restarts after this time.
    Restart(Duration),
}

/// An invalid request of a user. Apart from `Unavailable`, each has one correct response.
#[derive(Debug, Clone, Copy)]
pub enum InvalidRequest {
    /// A job specification that can't be decoded.
    Malformed,
    /// A job of an unknown team.
    Impossible,
    /// A status request or cancellation for an unknown job.
    Unknown,
}

/// For this long after a confirmed cancellation, a leader may still tell a task of the job to run. After
/// that, it must have learned of the cancellation through its watch, or have noticed that the watch is
/// silent and stopped starting tasks.
const CANCEL_NOTICE_DELAY: Duration = ms(3000);

/// The interval at which the waits of urgent tasks are measured.
const URGENT_CHECK_INTERVAL: Duration = ms(100);

/// The longest time for which a job may wait after the faults although a machine has room for it.
const MAX_WAIT: Duration = secs(90);

impl World {
    /// Schedules events for the `nth` time that a trigger fires.
    pub fn on_trigger(&mut self, trigger: Trigger, nth: u32, then: Vec<(Duration, SimEvent)>) {
        self.scripts.push((trigger, nth, then));
    }

    /// Schedules an event after the delay `at`, counted from the current simulated time.
    pub fn schedule_at(&mut self, at: Duration, event: SimEvent) {
        self.schedule_in(at, event);
    }

    pub(super) fn trigger_on_intent_write(&mut self, request: &KvRequest) {
        let KvRequest::Txn { changes, .. } = request else { return };
        let duty =
            |change: &KvChange| matches!(change, KvChange::Put { key, .. } if key.starts_with("duty/"));
        if changes.iter().any(duty) {
            self.trigger(Trigger::IntentSent);
        }
    }

    pub(super) fn trigger(&mut self, trigger: Trigger) {
        let mut due = Vec::new();
        for (which, left, then) in &mut self.scripts {
            if *which == trigger && *left > 0 {
                *left -= 1;
                if *left == 0 {
                    due.append(then);
                }
            }
        }
        for (after, event) in due {
            // The pause must begin before the effects are sent that the node has just decided on, which
            // happens later in this same step.
            if let (true, SimEvent::FaultLeader(fault @ Fault::PauseBeforeSending(_))) =
                (after.is_zero(), &event)
            {
                self.fault_leader(*fault);
                continue;
            }
            self.schedule_in(after, event);
        }
    }

    /// Checks the commands that the leader sends to workers.
    pub(super) fn check_commands(&mut self, token: u64, commands: &[WorkerCommand]) {
        self.check_gang_placed(token, commands);
        for command in commands {
            match command {
                WorkerCommand::Run { task, attempt } => {
                    let job = &self.jobs[self.by_id[&task.job]];
                    let killed = |o: &WorkerCommand| matches!(o, WorkerCommand::Kill { task: t, attempt: n, .. } if t == task && n == attempt);
                    let late = job.cancelled_at.is_some_and(|at| self.now > at + CANCEL_NOTICE_DELAY);
                    assert!(
                        !late || commands.iter().any(killed),
                        "ran_cancelled: {task:?} is told to run under {token} at {:?}, cancelled at {:?}",
                        self.now - SIM_START,
                        job.cancelled_at.map(|at| at - SIM_START),
                    );
                    self.trigger(Trigger::RunSent);
                }
                WorkerCommand::Kill { .. } => self.trigger(Trigger::KillSent),
                WorkerCommand::Acknowledge { .. } => {}
            }
        }
    }

    /// Fires the triggers of a committed transaction, and checks who wrote it.
    pub(super) fn on_committed(&mut self, changes: &[KvChange]) {
        for change in changes {
            let KvChange::Put { key, value, .. } = change else { continue };
            if key.starts_with("duty/") {
                let holder = key.split('/').nth(1).and_then(|token| token.parse().ok());
                assert_eq!(
                    self.kv.mod_revision("lead"),
                    holder,
                    "{key} was written without its holder's lease"
                );
                self.trigger(Trigger::IntentWritten);
            } else if key.starts_with("shard/") {
                self.shard_record_written(key, value);
            } else if key.starts_with("run/") {
                self.trigger(Trigger::PlacementsWritten);
            } else if key.starts_with("job/") && value.contains("\"phase\":\"done\"") {
                self.trigger(Trigger::JobDoneWritten);
            }
        }
    }

    pub(super) fn fault_leader(&mut self, fault: Fault) {
        if let Some(node) = self.leader() {
            self.apply_fault(node, fault);
        }
    }

    pub(super) fn apply_fault(&mut self, node: usize, fault: Fault) {
        let now = self.now;
        match fault {
            Fault::RefuseKv(duration) => self.refused_until[node] = now + duration,
            Fault::CutFromKvAndPeers(duration) => {
                self.refused_until[node] = now + duration;
                self.peers_cut_until[node] = now + duration;
            }
            Fault::Pause(duration) => self.pause_process(node, duration, false),
            Fault::PauseBeforeSending(duration) => self.pause_process(node, duration, true),
            Fault::CutNetwork(duration) => self.node_cut_until[node] = now + duration,
            Fault::CutLinks(links, how, duration) => {
                for link in links {
                    self.cut_link(cuts::LinkCut { node, link: *link, how, until: now + duration });
                }
            }
            Fault::Restart(duration) => {
                if self.nodes[node].take().is_some() {
                    self.watches.retain(|w| w.node != node);
                    self.schedule_in(duration, SimEvent::Start { node });
                }
            }
        }
    }

    /// Returns the node that holds the leader's key.
    pub fn leader(&self) -> Option<usize> {
        let value = self.kv.value("lead")?;
        let holder: serde_json::Value = serde_json::from_str(value).ok()?;
        holder["host"].as_str()?.trim_start_matches("plank-").parse().ok()
    }

    /// Stops all nodes, and restarts them after the duration.
    pub(super) fn stop_all_nodes(&mut self, duration: Duration) {
        for node in 0..3 {
            if self.nodes[node].take().is_some() {
                self.schedule_in(duration, SimEvent::Start { node });
            }
        }
        self.watches.clear();
    }

    /// Cancels up to `count` running jobs within 200 ms, and makes up to 8 of the machines that run them
    /// hang from now on for the time `hang`, if it is not zero.
    pub(super) fn cancel_running_jobs(&mut self, count: usize, hang: Duration) {
        let runs = |j: &Job| {
            let here = |w: &Worker| w.running_tasks().any(|(t, _)| t.job == j.id);
            j.accepted && !j.cancelling && !j.has_ended() && self.workers.values().any(here)
        };
        let jobs: Vec<usize> = (0..self.jobs.len()).filter(|n| runs(&self.jobs[*n])).take(count).collect();
        let ids: Vec<JobId> = jobs.iter().map(|n| self.jobs[*n].id.clone()).collect();
        for job in jobs {
            let within = self.random_ms(0, 200);
            self.schedule_in(within, SimEvent::Cancel { job });
        }
        let until = self.now + hang;
        let holds = |w: &&mut Worker| w.running_tasks().any(|(t, _)| ids.contains(&t.job));
        for worker in self.workers.values_mut().filter(holds).take(if hang.is_zero() { 0 } else { 8 }) {
            worker.hung_until = until;
        }
    }

    /// Delivers to every node, within 1.5 s, the copies of heartbeats that were kept until a new leader was
    /// elected.
    pub(super) fn deliver_kept_heartbeats(&mut self) {
        for heartbeat in std::mem::take(&mut self.kept_heartbeats) {
            let late = self.random_ms(0, 1500);
            for node in 0..3 {
                self.schedule_in(late, SimEvent::DuplicateHeartbeatTo { node, heartbeat: heartbeat.clone() });
            }
        }
    }

    /// Sends every node status requests for a job and repeats its submission, all within 12 ms after a user
    /// has learned that the job was accepted or has ended. Some of the jobs that were just accepted are
    /// also cancelled.
    pub(super) fn poll_all_nodes(&mut self, job: usize, status: JobStatus) {
        if !self.faults.immediate_polls {
            return;
        }
        for node in 0..3 {
            for after in [1, 4, 12] {
                self.schedule_in(ms(after), SimEvent::PollAt { job, node });
            }
            self.schedule_in(ms(2 + node as u64), SimEvent::SubmitAt { job, node });
        }
        if status == JobStatus::Queued && job % 5 == 4 && self.jobs[job].last_status.is_none() {
            self.schedule_in(ms(3), SimEvent::Cancel { job });
        }
    }

    /// Sends a submission that must be rejected, or a request about an unknown job.
    pub(super) fn send_invalid_request(&mut self, invalid: InvalidRequest, known: Option<usize>) {
        let node = self.rng.random_range(0..3);
        let job = known.unwrap_or(0);
        let id = match known {
            Some(job) => self.jobs[job].id.clone(),
            None => JobId::parse(&format!("job-odd-{}", self.last_request)).unwrap(),
        };
        let accepted = known.is_some_and(|j| self.jobs[j].accepted);
        let mut spec = self.jobs[job].spec.clone();
        spec.team = "nobody".into();
        let event = |request| match invalid {
            InvalidRequest::Malformed => {
                Event::Submit { request, id, job: Err(SpecRejection::Malformed("a field is missing".into())) }
            }
            InvalidRequest::Impossible => Event::Submit { request, id, job: Ok(spec) },
            InvalidRequest::Unknown if request % 2 == 0 => Event::Poll { request, id },
            InvalidRequest::Unknown => Event::Cancel { request, id },
        };
        let pending_request =
            PendingRequest::SendInvalidRequest { invalid, known: known.filter(|_| accepted) };
        self.send_request_to(node, pending_request, event, None);
    }

    pub(super) fn check_invalid_request_response(
        &mut self,
        invalid: InvalidRequest,
        known: Option<usize>,
        response: Response,
    ) {
        match (invalid, known, response) {
            (_, _, Response::Unavailable { .. }) => {}
            // A request for a known job is answered with its state, whatever else it contains.
            (
                InvalidRequest::Malformed | InvalidRequest::Impossible,
                Some(job),
                Response::Job { status, .. },
            ) => {
                self.record_status(job, status);
            }
            // The state service has stored the job while its user still waits for the answer to the
            // submission.
            (
                InvalidRequest::Malformed | InvalidRequest::Impossible,
                None,
                Response::Job { id, status, .. },
            ) if self.kv.value(&id.key()).or(self.kv.value(&id.archive_key())).is_some() => {
                let job = self.by_id[&id];
                self.record_status(job, status);
            }
            (InvalidRequest::Malformed, None, Response::BadRequest(_)) => {}
            (InvalidRequest::Impossible, None, Response::Unprocessable(_)) => {}
            (InvalidRequest::Unknown, None, Response::NotFound) => {}
            (invalid, known, response) => {
                panic!("unexpected response to {invalid:?} of job {known:?}: {response:?}")
            }
        }
    }

    /// Checks that after the faults no job waits for long while a fitting machine has room and its
    /// team's limit allows it to run.
    pub(super) fn check_waiting_jobs(&mut self) {
        if self.now < self.faults_over_at {
            return;
        }
        let now = self.now;
        for (n, waiting) in self.waiting_jobs() {
            let job = &mut self.jobs[n];
            if !waiting {
                job.waiting_since = None;
                continue;
            }
            let since = *job.waiting_since.get_or_insert(now);
            assert!(now <= since + MAX_WAIT, "waits: {:?} although a machine has room", job.id);
        }
    }

    /// Measures how long urgent tasks wait although a machine has room.
    pub(super) fn measure_urgent_waits(&mut self) {
        if self.now < self.next_urgent_check {
            return;
        }
        let now = self.now;
        self.next_urgent_check = now + URGENT_CHECK_INTERVAL;
        for (n, waiting) in self.waiting_jobs() {
            let job = &mut self.jobs[n];
            if job.spec.priority < Priority::Urgent || !waiting {
                job.urgent_waiting_since = None;
                continue;
            }
            let since = *job.urgent_waiting_since.get_or_insert(now);
            self.longest_urgent_wait = self.longest_urgent_wait.max(now - since);
        }
    }

    /// Returns for each job whether one of its tasks is waiting although a machine has room for it.
    fn waiting_jobs(&self) -> Vec<(usize, bool)> {
        let now = self.now;
        let mut used: HashMap<&str, f64> = HashMap::new();
        let mut room: Vec<(&Worker, f64)> = Vec::new();
        let mut assigned: BTreeSet<&TaskId> = BTreeSet::new();
        for worker in self.workers.values().filter(|w| w.is_up(now) && !w.faulty) {
            let mut free = 8.0;
            for ((task, _), status) in &worker.tasks {
                if !matches!(status, TaskStatus::Exited(_)) {
                    let spec = &self.jobs[self.by_id[&task.job]].spec;
                    free -= spec.demand.cpus;
                    *used.entry(&spec.team).or_default() += spec.demand.cpus;
                    assigned.insert(task);
                }
            }
            room.push((worker, free));
        }
        let mut waits = Vec::new();
        for (n, job) in self.jobs.iter().enumerate() {
            let spec = &job.spec;
            let open = job.accepted && !job.cancelling && !job.has_ended();
            let here =
                (0..spec.tasks).filter(|i| assigned.contains(&TaskId { job: job.id.clone(), index: *i }));
            let (placed, done) = (here.count() as u32, job.done.len() as u32);
            // Jobs are left out if the zones permitted for a task depend on where the job's other tasks are,
            // since a machine with room for one task does not show that the task may be placed there.
            let zone_bound = spec.gang || spec.spread || spec.single_zone && placed > 0;
            let has_pending = open && !zone_bound && placed + done < spec.tasks;
            let team_room =
                self.deployment.cpu_limit - used.get(spec.team.as_str()).copied().unwrap_or_default();
            let fits = |(w, free): &(&Worker, f64)| {
                spec.demand.cpus <= *free
                    && spec.zone.as_ref().is_none_or(|z| *z == w.zone)
                    && (spec.allows_spot || !w.spot)
            };
            waits.push((n, has_pending && spec.demand.cpus <= team_room && room.iter().any(fits)));
        }
        waits
    }
}

impl World {
    /// Prints the state of every machine and node, to diagnose a failed history.
    pub fn dump(&self) {
        for (machine, w) in &self.workers {
            println!(
                "{machine} {} up {} dead {} incarnation {} token {} node {} tasks {:?}",
                w.zone,
                w.is_up(self.now),
                w.dead,
                w.incarnation,
                w.token,
                w.node,
                w.tasks
            );
        }
        for (_, node) in self.nodes.iter().flatten() {
            println!("{node:#?}");
        }
    }
}
