//! Reconciliation: updates the job table from heartbeats and from confirmed releases of machines.

use crate::jobs::attempt::{Attempt, EndedAttempt};
use crate::jobs::job::{JobId, JobPhase};
use crate::jobs::job_table::JobTable;
use crate::protocol::{ExitReason, Heartbeat, TaskId, TaskStatus};
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// The result of comparing a heartbeat with the attempts on its machine.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct HeartbeatOutcome {
    /// The attempts that are over, as the heartbeat proves.
    pub ended: Vec<EndedAttempt>,
    /// The number of attempts that an earlier heartbeat listed and this one does not, without proof that
    /// they are over.
    pub missing: u32,
}

/// What a heartbeat shows about one attempt.
enum Finding {
    /// The heartbeat belongs to an earlier incarnation than the attempt and shows nothing about it.
    OlderHeartbeat,
    /// The attempt is over: it belongs to an earlier incarnation of the worker than the heartbeat, or it is
    /// not listed and the worker refuses every start of it.
    Gone,
    /// The attempt was listed before and is not listed now, which proves nothing.
    Missing,
    /// The attempt was never listed: a start of it may still be in flight.
    NotListedYet,
    Exited(ExitReason),
    Alive(TaskStatus),
}

impl JobTable {
    /// Updates the table from a worker's heartbeat, which must be newer than all seen from this worker.
    ///
    /// `carries_own_token` says whether the heartbeat carries this leader's token. If it does, the worker
    /// refuses commands under earlier tokens: an attempt that was offered only under such tokens, and that
    /// the heartbeat does not list, is not running and can't start any more. This evidence is used only
    /// for cancelled jobs and ending gangs, for which no new attempts are made.
    pub fn observe_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        carries_own_token: bool,
        now: Duration,
    ) -> HeartbeatOutcome {
        let tasks_here: Vec<TaskId> = self.by_machine(&heartbeat.machine).cloned().collect();
        let listed: HashMap<(&TaskId, u64), TaskStatus> = heartbeat
            .tasks
            .iter()
            .map(|reported| ((&reported.task, reported.attempt), reported.status))
            .collect();
        let mut outcome = HeartbeatOutcome::default();
        for id in tasks_here {
            let Some(attempt) = self.attempt(&id) else { continue };
            let listed_status = listed.get(&(&id, attempt.number)).copied();
            let ended = EndedAttempt {
                task: id.clone(),
                attempt: attempt.number,
                reason: None,
                ran: None,
                stopped: attempt.stop_requested,
            };
            let running_since = attempt.running_since;
            match self.classify(&id, attempt, listed_status, heartbeat, carries_own_token) {
                Finding::OlderHeartbeat | Finding::NotListedYet => {}
                Finding::Missing => outcome.missing += 1,
                Finding::Alive(status) => self.record_status(&id, status, now),
                Finding::Gone => {
                    outcome.ended.push(ended);
                    self.end_on_evidence(&id, false, now);
                }
                Finding::Exited(reason) => {
                    let ran = running_since.map(|since| now.saturating_sub(since));
                    outcome.ended.push(EndedAttempt { reason: Some(reason), ran, ..ended });
                    self.end_on_evidence(&id, reason == ExitReason::Completed, now);
                }
            }
        }
        // Done after all ends are recorded: if one task of a gang has completed, the gang must not be
        // broken by another task that is processed before it.
        for end in &outcome.ended {
            self.break_gang_after_end(end);
        }
        outcome
    }

    /// Determines what the heartbeat shows about an attempt. `listed_status` is the status in which the
    /// heartbeat lists the attempt, if it does.
    fn classify(
        &self,
        id: &TaskId,
        attempt: &Attempt,
        listed_status: Option<TaskStatus>,
        heartbeat: &Heartbeat,
        carries_own_token: bool,
    ) -> Finding {
        if attempt.incarnation < heartbeat.incarnation {
            return Finding::Gone;
        }
        if attempt.incarnation > heartbeat.incarnation {
            return Finding::OlderHeartbeat;
        }
        match listed_status {
            Some(TaskStatus::Exited(reason)) => Finding::Exited(reason),
            Some(status) => Finding::Alive(status),
            None if carries_own_token && attempt.is_fenced_by(heartbeat.token) && self.is_ending(&id.job) => {
                Finding::Gone
            }
            None if attempt.reported_status.is_some() => Finding::Missing,
            None => Finding::NotListedYet,
        }
    }

    /// Whether the job is cancelled, or a gang whose attempt must end.
    fn is_ending(&self, id: &JobId) -> bool {
        self.jobs.get(id).is_some_and(|entry| entry.phase == JobPhase::Cancelled || entry.is_gang_ending())
    }

    /// Records the status in which a heartbeat lists an attempt.
    fn record_status(&mut self, id: &TaskId, status: TaskStatus, now: Duration) {
        let Some(attempt) = self.attempt_mut(id) else { return };
        let previous = attempt.reported_status.replace(status);
        if status == TaskStatus::Running && attempt.running_since.is_none() {
            attempt.running_since = Some(now);
            let machine = attempt.machine.clone();
            self.changed_machines.insert(machine);
        }
        let Some(entry) = self.jobs.get_mut(&id.job) else { return };
        match (previous == Some(TaskStatus::Running), status == TaskStatus::Running) {
            (false, true) => entry.running += 1,
            (true, false) => entry.running -= 1,
            _ => {}
        }
        // A checkpointing task was asked to stop, if not by this leader, then by an earlier one, which may
        // not have asked the other tasks of the gang yet. They must be asked in time to write their
        // checkpoints, since a gang's checkpoint is only complete if all tasks write it.
        if status == TaskStatus::Checkpointing && entry.gang.is_some() {
            self.stop(id);
        }
    }

    /// Ends the task's attempt, marks the task as done or as pending, and records since when the end has
    /// been waiting to be written.
    fn end_on_evidence(&mut self, id: &TaskId, done: bool, now: Duration) {
        self.end_attempt(id, done);
        if let Some(chunk) = self.jobs.get_mut(&id.job).and_then(|entry| entry.chunk_of_mut(id.index)) {
            chunk.ends_pending_since.get_or_insert(now);
        }
        self.check_ended(&id.job);
    }

    /// Ends every attempt on a machine whose release the cloud has confirmed, and returns their number.
    pub fn handle_machine_removal(&mut self, machine: &str, now: Duration) -> usize {
        let tasks: Vec<TaskId> = self.by_machine(machine).cloned().collect();
        for id in &tasks {
            self.end_on_evidence(id, false, now);
        }
        for id in tasks.iter().map(|task| &task.job).collect::<BTreeSet<_>>() {
            self.break_gang(id);
        }
        tasks.len()
    }
}
