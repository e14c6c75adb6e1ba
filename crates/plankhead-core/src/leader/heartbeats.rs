//! Heartbeats of workers: what the leader learns from them, and how it answers.

use super::Leader;
use crate::effects::{EffectSink, StepTime};
use crate::fleet::{Fleet, HeartbeatNews, Machine, RemovalReason};
use crate::jobs::job_table::EndedAttempt;
use crate::jobs::reconcile::HeartbeatOutcome;
use crate::protocol::HeartbeatPath;
use crate::protocol::{ExitReason, Heartbeat, LogLevel, MachineName, Response, TaskId, TaskStatus};
use crate::requests::RequestHandler;
use plankhead_reachability::permission::Action;
use std::time::Duration;

/// A worker that refused a task for lack of room is sent none for this long.
const INSUFFICIENT_RESOURCES_BACKOFF: Duration = Duration::from_secs(2);

impl Leader {
    /// Whether workers may still be answered: their leases must expire before
    /// a cancellation that we could not see is due.
    ///
    /// A leader that still loads knows of no cancellation at all: the leader before may
    /// have answered in the same state until just now, and so may others before that. A
    /// few such failovers in a row, each of which renewed the leases for some seconds of
    /// its own, would keep a cancelled task for longer than `cancel_s`.
    pub(super) fn may_renew_leases(&self, now: Duration) -> bool {
        self.loading.is_ready() && self.permits(Action::KeepLeases, now)
    }

    /// Whether starts may be sent: no cancellation is likely to have been confirmed
    /// unseen. Where the state service has just failed this node, another may have.
    pub(super) fn may_start_tasks(&self, now: Duration) -> bool {
        self.permits(Action::Start, now) && !self.evidence.is_lease_doubted_since(self.job_watch.synced_at())
    }

    /// Answers a heartbeat.
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
            self.evidence.direct_heartbeat_arrived();
        }
        if !self.permits(Action::AnswerReports, now) {
            return Response::Unavailable { retry_after: Duration::from_secs(1) };
        }
        if !self.may_renew_leases(now) || self.fleet.is_removed(&heartbeat.machine) {
            // Its statuses count all the same, and that it is there.
            self.observe_machine(times, &heartbeat, false, effects);
            return Response::Unavailable { retry_after: Duration::from_secs(1) };
        }
        let name = heartbeat.machine.clone();
        let news = self.observe_machine(times, &heartbeat, false, effects);
        let token = self.token_for(&name);
        let commands = self.commands_for(now, &name, requests);
        let Some(machine) = self.fleet.machines.get_mut(&name).filter(|_| news != HeartbeatNews::Stale)
        else {
            // A copy gets no commands, nor counts as heard.
            return Response::Commands { token, commands: Vec::new() };
        };
        machine.is_relayed = path.relayed;
        if !path.relayed {
            machine.heartbeat_times.last_direct_at = now;
        }
        if machine.take_redirect(path.is_cut_off, self.settings.worker_lease, now) {
            return Response::Redirect { leader: None };
        }
        machine.record_response(&commands, now);
        self.record_offered_starts(&commands, token);
        Response::Commands { token, commands }
    }

    /// Takes in a heartbeat; `is_command_reply`: it answers a command of ours.
    pub(super) fn observe_machine(
        &mut self,
        times: StepTime,
        heartbeat: &Heartbeat,
        is_command_reply: bool,
        effects: &mut EffectSink,
    ) -> HeartbeatNews {
        let is_up = |fleet: &Fleet| fleet.machines.get(&heartbeat.machine).is_some_and(Machine::is_up);
        let was_up = is_up(&self.fleet);
        let news = match is_command_reply {
            true => self.fleet.observe_command_reply(heartbeat, self.token, times.now),
            false => self.fleet.observe_heartbeat(heartbeat, self.token, times.now),
        };
        if is_up(&self.fleet) != was_up {
            self.placement.request_pass();
        }
        if news != HeartbeatNews::Stale && self.loading.is_ready() {
            self.observe_tasks(times, heartbeat, news, effects);
        }
        news
    }

    /// Reconciles the job table with a heartbeat, and draws the conclusions.
    pub(super) fn observe_tasks(
        &mut self,
        times: StepTime,
        heartbeat: &Heartbeat,
        news: HeartbeatNews,
        effects: &mut EffectSink,
    ) {
        let now = times.now;
        let HeartbeatOutcome { ended, missing } = match news {
            HeartbeatNews::Changed => {
                self.job_table.observe_heartbeat(heartbeat, heartbeat.token >= self.token, now)
            }
            _ => Default::default(),
        };
        if missing > 0 {
            // Such an attempt is neither there nor proven gone.
            if let Some(machine) = self.fleet.machines.get_mut(&heartbeat.machine) {
                machine.removal.get_or_insert(RemovalReason::LostAttempts);
            }
        }
        for reported in heartbeat.tasks.iter().filter(|_| news == HeartbeatNews::Changed) {
            // A task that waits for others of its gang has the image.
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

    /// A machine has a preemption notice: what can't end before goes elsewhere at
    /// once instead of being lost.
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
            let lost = attempt.running_since.is_none() || ends_at > now + time_left;
            if attempt.reported_status.is_some() && lost {
                self.job_table.stop(&task);
            }
        }
        self.send_commands(now, machine, effects);
    }

    /// Draws the conclusions from the end of an attempt.
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
                // A job that fails on every machine is the job's fault.
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
            // Another task's fault, or nobody's.
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
