//! The reclaimer: returns machines that may still run tasks of cancelled jobs while no node can lead.
//!
//! Every node that does not lead, or has not loaded its state as a leader, keeps the attempts of cancelled
//! jobs that are not known to be over ([`tasks`]). It inspects the workers of their machines shortly before
//! the deadlines ([`inspections`]). A machine whose worker does not answer is returned if [`plankhead_fencing::leaderless`] finds nothing that forbids it; that module states the
//! evidence. A leader that has loaded its state returns such machines itself, see
//! `leader::machine_checks`. `docs/fencing.md` describes the rule.

pub mod addresses;
pub mod deadlines;
pub mod inspections;
mod placements;
mod reporting;
pub mod tasks;

use crate::calls::{CallPurpose, KeyWatchCall, ReclaimCall};
use crate::effects::{EffectSink, StepTime};
use crate::job_watch::{CancelledJob, JobUpdate, JobWatch};
use crate::leadership::election;
use crate::protocol::{
    CallError, CloudReply, CloudRequest, CommandReply, Heartbeat, KeyValue, KvReply, KvRequest, LogLevel,
    MachineName,
};
use crate::requests::RequestHandler;
use crate::settings::Settings;
use addresses::Addresses;
use deadlines::{cancellation_timeout, inspection_delay};
use inspections::Inspections;
use plankhead_fencing::leaderless::{reclaim_due, Forbidden, LeaderlessReclaim, NodeEvidence, PeerClaims};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use tasks::{CancelledAttempt, CancelledTasks};

/// The time between two checks of the machines while some reclaim is near.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// The time between two reads that test whether the state service answers.
const STORE_TEST_INTERVAL: Duration = Duration::from_millis(500);
/// The age of the cloud's latest reply from which on the inventory is read again before a return.
const CLOUD_TEST_INTERVAL: Duration = Duration::from_secs(4);
/// The pause after a return that failed or was not answered.
const RELEASE_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// How long a cancelled job is kept at most. The record of a job that was archived while this node did not
/// watch the jobs might otherwise be kept forever.
const MAX_TASK_AGE: Duration = Duration::from_secs(600);

/// What the reclaimer has done since the process started.
#[derive(Debug, Clone, Copy, Default)]
struct Counters {
    /// The number of machines that the cloud took back.
    reclaimed: u64,
    /// The number of return requests.
    requests: u64,
}

/// The reclaimer of one node.
#[derive(Debug)]
pub struct Reclaimer {
    settings: Arc<Settings>,
    /// The watch of the job records, unless the holder role has one.
    watch: Option<JobWatch>,
    /// Whether another node leads, as far as known. Otherwise this node may be about to lead, and would
    /// read the jobs anyway.
    is_following: bool,
    tasks: CancelledTasks,
    inspections: Inspections,
    addresses: Addresses,
    reads_in_flight: u32,
    next_read_at: Duration,
    next_check_at: Duration,
    store_test_in_flight: bool,
    next_store_test_at: Duration,
    release_in_flight: bool,
    next_release_at: Duration,
    /// The machines whose reclaim was logged.
    logged: BTreeSet<MachineName>,
    /// What forbade the latest reclaim that was considered.
    forbidden: Option<Forbidden>,
    counters: Counters,
}

impl Reclaimer {
    /// Creates the reclaimer of a node that has just started.
    pub fn new(settings: Arc<Settings>) -> Self {
        Self {
            watch: (!settings.sharding.enabled).then(JobWatch::default),
            settings,
            is_following: false,
            tasks: CancelledTasks::default(),
            inspections: Inspections::default(),
            addresses: Addresses::default(),
            reads_in_flight: 0,
            next_read_at: Duration::ZERO,
            next_check_at: Duration::ZERO,
            store_test_in_flight: false,
            next_store_test_at: Duration::ZERO,
            release_in_flight: false,
            next_release_at: Duration::ZERO,
            logged: BTreeSet::new(),
            forbidden: None,
            counters: Counters::default(),
        }
    }

    /// Records a cancelled job, whose placements are then read.
    pub fn job_cancelled(&mut self, times: StepTime, job: CancelledJob) {
        let Some(cancelled_ms) = job.cancelled_ms else { return };
        self.tasks.add_job(job.id, times.monotonic_of(cancelled_ms));
    }

    /// Records a change of job records that this node has seen.
    pub fn jobs_changed(&mut self, times: StepTime, update: JobUpdate) {
        for job in update.cancelled {
            self.job_cancelled(times, job);
        }
        update.ended.iter().for_each(|id| self.tasks.remove_job(id));
    }

    /// Records a job record that this node has written for a user.
    pub fn row_written(&mut self, times: StepTime, row: &KeyValue) {
        if let Some(job) = CancelledJob::of_row(row) {
            self.job_cancelled(times, job);
        }
    }

    /// Takes over an attempt of a cancelled job that this node knew as the leader.
    pub fn take_over(&mut self, now: Duration, machine: MachineName, attempt: CancelledAttempt) {
        self.tasks.add_known_attempt(machine, attempt, now);
    }

    /// Forgets all tasks, because the leader on this node has loaded its state and acts itself.
    pub fn leader_is_ready(&mut self) {
        self.tasks.clear();
        self.inspections.retain(|_| false);
        self.logged.clear();
        self.forbidden = None;
    }

    /// Records a worker's heartbeat, whichever node it was meant for.
    pub fn observe_heartbeat(&mut self, heartbeat: &Heartbeat) {
        self.tasks.observe(heartbeat);
    }

    /// Records whether another node leads, as far as known.
    pub fn set_following(&mut self, is_following: bool) {
        self.is_following = is_following;
    }

    /// Does the work that is due on a node that does not lead, or has not loaded its state.
    pub fn tick(&mut self, times: StepTime, peers: PeerClaims, effects: &mut EffectSink) {
        let now = times.now;
        if self.is_following {
            if let Some((call, request)) = self.watch.as_mut().and_then(|watch| watch.tick(now)) {
                effects.call_kv(CallPurpose::Reclaim(ReclaimCall::WatchJobs(call)), request);
            }
        }
        self.read_placements(now, effects);
        if now < self.next_check_at {
            return;
        }
        self.next_check_at = now + CHECK_INTERVAL;
        self.tasks.forget_before(now.saturating_sub(MAX_TASK_AGE));
        self.drop_unlisted_machines();
        let tasks = &self.tasks;
        self.logged.retain(|machine| tasks.may_be_on(machine));
        self.inspect_machines(now, effects);
        self.test_store(now, peers, effects);
    }

    /// Returns when [`Reclaimer::tick`] must be called next, if no event arrives before.
    pub fn next_due(&self) -> Duration {
        let watch = self.watch.as_ref().filter(|_| self.is_following).and_then(JobWatch::next_due);
        let read = self.next_read_due();
        let first_deadline = self.tasks.machines().map(|(_, cancelled_at)| cancelled_at).min();
        let check = first_deadline
            .map(|cancelled_at| self.next_check_at.max(cancelled_at + inspection_delay(&self.settings)));
        [watch, read, check].into_iter().flatten().min().unwrap_or(Duration::MAX)
    }

    /// Returns when an attempt of a job that was cancelled at this time must be gone.
    fn deadline(&self, cancelled_at: Duration) -> Duration {
        cancelled_at + cancellation_timeout(&self.settings)
    }

    /// Returns the machines whose reclaim is near.
    fn suspects(&self, now: Duration) -> Vec<MachineName> {
        let delay = inspection_delay(&self.settings);
        let is_near = |(_, cancelled_at): &(&MachineName, Duration)| now >= *cancelled_at + delay;
        self.tasks.machines().filter(is_near).map(|(machine, _)| machine.clone()).collect()
    }

    /// Drops the machines that the inventory lacks.
    fn drop_unlisted_machines(&mut self) {
        let Some(read_at) = self.addresses.complete_read_at() else { return };
        let lag = self.settings.inventory_lag * 2 + Duration::from_secs(1);
        let addresses = &self.addresses;
        self.tasks.drop_unlisted(read_at, lag, |machine| addresses.get(machine).is_some());
    }

    fn inspect_machines(&mut self, now: Duration, effects: &mut EffectSink) {
        let suspects = self.suspects(now);
        if self.needs_inventory(&suspects, now) {
            self.read_inventory(now, effects);
        }
        for machine in suspects {
            let Some(address) = self.addresses.get(&machine) else { continue };
            if self.inspections.begin(&machine, now) {
                let call = ReclaimCall::Inspect { machine, sent: now };
                effects.inspect_worker(CallPurpose::Reclaim(call), address);
            }
        }
    }

    fn read_inventory(&mut self, now: Duration, effects: &mut EffectSink) {
        let first = self.tasks.machines().next().map(|(machine, _)| machine);
        if let Some(request) = first.and_then(|first| self.addresses.next_read(first, now)) {
            effects.call_cloud(CallPurpose::Reclaim(ReclaimCall::ListInstances), request);
        }
    }

    /// Returns whether to read the inventory: an address is missing, or a machine may have to be returned
    /// and the cloud's latest reply is old. Reads share the cloud's rate limit with the leader's calls.
    fn needs_inventory(&self, suspects: &[MachineName], now: Duration) -> bool {
        let is_reply_old =
            self.addresses.replied_at().is_none_or(|at| now.saturating_sub(at) > CLOUD_TEST_INTERVAL);
        suspects.iter().any(|machine| {
            self.addresses.get(machine).is_none() || is_reply_old && self.inspections.is_unresponsive(machine)
        })
    }

    /// Reads a key of the state service if a reclaim is due. Only the failure of this read permits the
    /// reclaim, in the step in which it becomes known.
    fn test_store(&mut self, now: Duration, peers: PeerClaims, effects: &mut EffectSink) {
        let is_busy = self.store_test_in_flight || self.release_in_flight;
        let next_at = self.next_store_test_at.max(self.next_release_at);
        let is_due = |(machine, cancelled_at): (&MachineName, Duration)| {
            now >= reclaim_due(self.deadline(cancelled_at), peers)
                && self.inspections.is_unresponsive(machine)
        };
        if is_busy || now < next_at || !self.tasks.machines().any(is_due) {
            return;
        }
        self.store_test_in_flight = true;
        self.next_store_test_at = now + STORE_TEST_INTERVAL;
        let call = ReclaimCall::TestStore { sent: now };
        effects.call_kv(CallPurpose::Reclaim(call), KvRequest::Get { key: election::KEY.into() });
    }

    /// Handles the reply to the read that tests the state service. Returns when it was sent, if it failed.
    pub fn store_tested(&mut self, sent: Duration, reply: &Result<KvReply, CallError>) -> Option<Duration> {
        self.store_test_in_flight = false;
        matches!(reply, Err(CallError::Refused | CallError::OutcomeUnknown)).then_some(sent)
    }

    /// Handles a reply of the job watch, and returns the changes.
    pub fn jobs_watched(
        &mut self,
        now: Duration,
        call: KeyWatchCall,
        reply: Result<KvReply, CallError>,
        requests: &mut RequestHandler,
    ) -> JobUpdate {
        let watch = self.watch.as_mut();
        watch.map(|watch| watch.handle_reply(now, call, reply, requests)).unwrap_or_default()
    }

    /// Requests the return of the machines of which nothing forbids it, now that a read of the state
    /// service, sent at `failed_read_sent_at`, has failed.
    pub fn reclaim(
        &mut self,
        now: Duration,
        failed_read_sent_at: Duration,
        peers: PeerClaims,
        effects: &mut EffectSink,
    ) {
        let node =
            NodeEvidence { now, failed_read_sent_at, cloud_replied_at: self.addresses.replied_at(), peers };
        let machines = self.tasks.machines().map(|(machine, cancelled_at)| {
            (machine.clone(), self.inspections.evidence(machine, self.deadline(cancelled_at)))
        });
        match LeaderlessReclaim::decide(&node, machines) {
            Ok(reclaim) => {
                self.forbidden = None;
                self.log_reclaim(now, &reclaim, peers, effects);
                self.request_return(reclaim, effects);
            }
            Err(forbidden) => self.forbidden = Some(forbidden),
        }
    }

    fn request_return(&mut self, reclaim: LeaderlessReclaim, effects: &mut EffectSink) {
        self.release_in_flight = true;
        self.counters.requests += 1;
        let call = ReclaimCall::Release { machines: reclaim.machines().to_vec() };
        effects.call_cloud(CallPurpose::Reclaim(call), CloudRequest::Execute(reclaim.into()));
    }

    /// Handles a reply of the cloud.
    pub fn handle_cloud_reply(
        &mut self,
        now: Duration,
        call: ReclaimCall,
        reply: Result<CloudReply, CallError>,
    ) {
        match call {
            ReclaimCall::ListInstances => self.inventory_read(now, reply),
            ReclaimCall::Release { machines } => {
                self.release_in_flight = false;
                self.next_release_at = now + RELEASE_RETRY_INTERVAL;
                if reply.is_ok() {
                    self.addresses.cloud_replied(now);
                    self.counters.reclaimed += machines.len() as u64;
                    machines.iter().for_each(|machine| self.tasks.machine_released(machine));
                }
            }
            _ => {}
        }
    }

    fn inventory_read(&mut self, now: Duration, reply: Result<CloudReply, CallError>) {
        let last = self.tasks.machines().last().map(|(machine, _)| machine.clone());
        let tasks = &self.tasks;
        self.addresses
            .page_read(now, reply, &last.unwrap_or_else(|| "".into()), |machine| tasks.may_be_on(machine));
    }

    /// Handles a worker's reply to an inspection.
    pub fn handle_inspection(
        &mut self,
        now: Duration,
        call: ReclaimCall,
        reply: &CommandReply,
        effects: &mut EffectSink,
    ) {
        let ReclaimCall::Inspect { machine, sent } = call else { return };
        let was_unresponsive = self.inspections.is_unresponsive(&machine);
        self.inspections.end(&machine, sent, reply, now);
        if let CommandReply::Answered(heartbeat) = reply {
            self.tasks.observe(heartbeat);
        }
        let attempt = self.tasks.first_attempt(&machine);
        if let Some(attempt) =
            attempt.filter(|_| !was_unresponsive && self.inspections.is_unresponsive(&machine))
        {
            let text = format!(
                "cancelled task on an unresponsive machine: machine={machine} {}",
                self.describe(now, attempt)
            );
            effects.log(LogLevel::Info, text);
        }
        let tasks = &self.tasks;
        self.inspections.retain(|machine| tasks.may_be_on(machine));
    }
}
