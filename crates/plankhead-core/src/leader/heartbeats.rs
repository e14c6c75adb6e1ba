//! Handling of worker heartbeats: updating the leader's state and building the response.

use super::commands::MAX_COMMANDS_PER_RESPONSE;
use super::Leader;
use crate::effects::{EffectSink, StepTime};
use crate::fleet::{Fleet, HeartbeatChange, Machine, RemovalReason};
use crate::jobs::job_table::EndedAttempt;
use crate::jobs::reconcile::HeartbeatOutcome;
use crate::protocol::HeartbeatPath;
use crate::protocol::{ExitReason, Heartbeat, LogLevel, MachineName, Response, TaskId, TaskStatus};
use crate::requests::RequestHandler;
use plankhead_reachability::permission::Action;
use std::time::Duration;

/// How long no task is placed on a machine after its worker refused one for lack of resources or
/// because of another attempt of the same task.
const INSUFFICIENT_RESOURCES_BACKOFF: Duration = Duration::from_secs(2);

impl Leader {
    /// Returns whether responses may renew the workers' leases. Leases must expire before the
    /// deadline of a cancellation that this leader has not seen.
    ///
    /// A leader that is still loading knows of no cancellations. Each earlier leader may have renewed
    /// leases until its term ended without having seen the latest cancellations either. If every new
    /// leader renewed the leases for some more seconds, a few failovers in a row would keep a
    /// cancelled task running for longer than `cancel_s`.
    pub(super) fn may_renew_leases(&self, now: Duration) -> bool {
        self.loading.is_ready() && self.permits(Action::RenewLeases, now)
    }

    /// Returns whether starts may be sent. Starts are forbidden while a cancellation may have been
    /// confirmed that this leader has not seen, for example by another node while the lease was
    /// uncertain. Once the jobs have been synced after that, starts are allowed again.
    pub(super) fn may_start_tasks(&self, now: Duration) -> bool {
        self.permits(Action::Start, now)
            && !self.evidence.is_lease_uncertain_since(self.job_watch.synced_at())
    }

    /// Records a heartbeat and returns the response to it.
    pub fn handle_heartbeat(
        &mut self,
        times: StepTime,
        heartbeat: Heartbeat,
        path: HeartbeatPath,
        requests: &RequestHandler,
        effects: &mut EffectSink,
    ) -> Response {
        let now = times.now;
        if !path.relayed {
            self.evidence.record_direct_heartbeat();
        }
        if !self.permits(Action::ProcessHeartbeats, now) {
            return Response::Unavailable { retry_after: Duration::from_secs(1) };
        }
        if !self.may_renew_leases(now) || self.fleet.is_removed(&heartbeat.machine) {
            // The reported statuses, and the machine's presence, are recorded nevertheless.
            self.observe_machine(times, &heartbeat, false, effects);
            return Response::Unavailable { retry_after: Duration::from_secs(1) };
        }
        let name = heartbeat.machine.clone();
        let change = self.observe_machine(times, &heartbeat, false, effects);
        let base_token = self.token_for(&name);
        let mut commands = self.commands_for(now, &name, requests);
        let Some(machine) = self.fleet.machines.get_mut(&name) else {
            return Response::Commands { token: base_token, commands: Vec::new() };
        };
        if change == HeartbeatChange::Stale {
            // A late copy of a heartbeat gets no commands and is no sign of life.
            return Response::Commands { token: machine.token(base_token), commands: Vec::new() };
        }
        machine.is_relayed = path.relayed;
        if !path.relayed {
            machine.heartbeat_times.last_direct_at = now;
        }
        if machine.take_redirect(path.node_is_disconnected, self.settings.worker_lease, now) {
            return Response::Redirect { host: None };
        }
        let token = machine.choose_token(path.tokens, &mut commands);
        commands.truncate(MAX_COMMANDS_PER_RESPONSE);
        machine.record_response(&commands, now);
        self.record_offered_starts(&commands, base_token);
        Response::Commands { token, commands }
    }

    /// Records a heartbeat in the fleet and the job table. `is_command_reply` is whether
    /// the heartbeat is the reply to a direct command of this leader.
    pub(super) fn observe_machine(
        &mut self,
        times: StepTime,
        heartbeat: &Heartbeat,
        is_command_reply: bool,
        effects: &mut EffectSink,
    ) -> HeartbeatChange {
        let is_up = |fleet: &Fleet| fleet.machines.get(&heartbeat.machine).is_some_and(Machine::is_up);
        let was_up = is_up(&self.fleet);
        let machine = self.fleet.machines.get(&heartbeat.machine);
        let previous = machine.and_then(|machine| machine.last_heartbeat.clone());
        let change = match is_command_reply {
            true => self.fleet.observe_command_reply(heartbeat, self.token, times.now),
            false => self.fleet.observe_heartbeat(heartbeat, self.token, times.now),
        };
        if is_up(&self.fleet) != was_up {
            self.placement.request_pass();
        }
        if change != HeartbeatChange::Stale && self.loading.is_ready() {
            if let Some(previous) = previous.filter(|_| change == HeartbeatChange::Changed) {
                self.report_restarted_attempts(&previous, heartbeat, effects);
            }
            self.observe_tasks(times, heartbeat, change, effects);
        }
        change
    }

    /// Reconciles the job table with a heartbeat and handles the attempts found ended or missing.
    pub(super) fn observe_tasks(
        &mut self,
        times: StepTime,
        heartbeat: &Heartbeat,
        change: HeartbeatChange,
        effects: &mut EffectSink,
    ) {
        let now = times.now;
        let HeartbeatOutcome { ended, missing } = match change {
            HeartbeatChange::Changed => {
                let fence = self.fencing_base(heartbeat);
                let token = fence.unwrap_or(heartbeat.token);
                let fenced = Heartbeat { token, ..heartbeat.clone() };
                self.job_table.observe_heartbeat(&fenced, fence.is_some(), now)
            }
            _ => Default::default(),
        };
        if missing > 0 {
            // The worker no longer lists a missing attempt, but that does not prove that the attempt
            // has ended. The release of the machine does, so it is marked for removal.
            if let Some(machine) = self.fleet.machines.get_mut(&heartbeat.machine) {
                machine.removal.get_or_insert(RemovalReason::LostAttempts);
            }
        }
        for reported in heartbeat.tasks.iter().filter(|_| change == HeartbeatChange::Changed) {
            // A task that waits for the rest of its gang has already fetched its image.
            if !matches!(reported.status, TaskStatus::Running | TaskStatus::WaitingForGang) {
                continue;
            }
            if let Some(spec) = self.job_table.jobs.get(&reported.task.job).map(|e| e.spec.clone()) {
                let image = self.image_number(&spec);
                self.fleet.record_image(&heartbeat.machine, image, &self.placement.index);
            }
        }
        for end in ended {
            self.attempt_ended(now, &heartbeat.machine, &end, effects);
            self.placement.request_pass();
        }
        if let Some(time_left) = heartbeat.preemption_notice {
            self.evacuate(now, &heartbeat.machine, time_left, effects);
        }
        self.stop_broken_gangs(now, effects);
        if let Some(machine) = self.fleet.machines.get_mut(&heartbeat.machine) {
            let all_exited = heartbeat.tasks.iter().all(|t| matches!(t.status, TaskStatus::Exited(_)));
            let idle = all_exited && self.job_table.by_machine(&heartbeat.machine).next().is_none();
            match (idle, machine.idle_since) {
                (true, None) => {
                    machine.idle_since = Some(now);
                    self.placement.request_pass();
                }
                (false, Some(_)) => machine.idle_since = None,
                _ => {}
            }
        }
    }

    /// Stops the tasks that cannot finish before a preempted machine is taken back, so that they
    /// restart elsewhere at once instead of being lost with the machine.
    fn evacuate(
        &mut self,
        now: Duration,
        machine: &MachineName,
        time_left: Duration,
        effects: &mut EffectSink,
    ) {
        let tasks: Vec<TaskId> = self.job_table.by_machine(machine).cloned().collect();
        for task in tasks {
            let (Some(entry), Some(attempt)) =
                (self.job_table.jobs.get(&task.job), self.job_table.attempt(&task))
            else {
                continue;
            };
            let started_at = attempt.running_since.unwrap_or(now);
            let ends_at = started_at + self.estimated_runtime(&entry.spec);
            let would_be_lost = attempt.running_since.is_none() || ends_at > now + time_left;
            if attempt.reported_status.is_some() && would_be_lost {
                self.job_table.stop(&task);
            }
        }
        self.send_commands(now, machine, effects);
    }

    /// Updates error counts, back-offs and run-time statistics after an attempt has ended.
    fn attempt_ended(
        &mut self,
        now: Duration,
        machine_name: &MachineName,
        end: &EndedAttempt,
        effects: &mut EffectSink,
    ) {
        let Some(entry) = self.job_table.jobs.get_mut(&end.task.job) else { return };
        let Some(machine) = self.fleet.machines.get_mut(machine_name) else { return };
        match end.reason {
            Some(ExitReason::Completed) => {
                machine.consecutive_errors = 0;
                entry.consecutive_errors = 0;
                entry.failed_machines.clear();
                if let Some(ran) = end.ran.filter(|_| entry.spec.estimated_runtime_s > 0.5) {
                    let ratio = (ran.as_secs_f64() / entry.spec.estimated_runtime_s).clamp(0.2, 5.0);
                    self.placement.record_runtime(&entry.spec.class, ratio);
                }
            }
            Some(ExitReason::Failed) => {
                entry.consecutive_errors += 1;
                entry.failed_machines.insert(machine_name.clone());
                // A job that fails on several machines is itself at fault, not the machines.
                if entry.failed_machines.len() < 3 {
                    machine.consecutive_errors += 1;
                }
                let backoff = Duration::from_secs(1 << entry.consecutive_errors.min(6));
                if entry.failed_machines.len() > 1 {
                    entry.backoff_until = now + backoff;
                }
                let (job, task) = (&end.task.job, end.task.index);
                effects.log(
                    LogLevel::Debug,
                    format!("task failed: job={job} task={task} machine={machine_name}"),
                );
            }
            Some(ExitReason::InsufficientResources | ExitReason::AttemptConflict) => {
                machine.no_starts_until = now + INSUFFICIENT_RESOURCES_BACKOFF
            }
            Some(ExitReason::UnknownJob) => entry.backoff_until = now + Duration::from_secs(1),
            // Neither this task nor its machine is at fault.
            Some(
                ExitReason::Stopped
                | ExitReason::GangMemberLost
                | ExitReason::GangIncomplete
                | ExitReason::Unrecognized,
            )
            | None => {}
        }
    }
}
