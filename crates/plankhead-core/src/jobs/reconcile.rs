//! Reconciliation: comparing heartbeats with the job table, and what follows.

use crate::jobs::attempt::{Attempt, EndedAttempt};
use crate::jobs::job::{JobId, JobPhase};
use crate::jobs::job_table::JobTable;
use crate::protocol::{ExitReason, Heartbeat, TaskId, TaskStatus};
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// What a heartbeat showed of the attempts on its machine.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct HeartbeatOutcome {
    /// Attempts that are proven over.
    pub ended: Vec<EndedAttempt>,
    /// The number of attempts that earlier heartbeats listed and this one does not, without
    /// being proven over.
    pub missing: u32,
}

/// What a heartbeat shows of one attempt.
enum Finding {
    /// The heartbeat is of an earlier incarnation than the attempt: it shows nothing.
    OlderHeartbeat,
    /// It is over: of an earlier incarnation, or unlisted where no start can follow.
    Gone,
    /// It was listed before and is not now, which proves nothing.
    Missing,
    /// It was never listed: its start may still be under way.
    NotListedYet,
    Exited(ExitReason),
    Alive(TaskStatus),
}

impl JobTable {
    /// Takes in a worker's heartbeat, newer than any seen of this worker.
    ///
    /// `carries_own_token`: the heartbeat carries this leader's token. Then commands of earlier
    /// leaders are refused from now on, so that an attempt of theirs that is not
    /// listed is not there and can't come. That is enough to forget attempts of
    /// cancelled jobs, of which no new ones will be made.
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
            match self.compare(&id, attempt, listed_status, heartbeat, carries_own_token) {
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
        // After all ends, so that one `done` counts for a gang whatever stands before
        // it in the heartbeat.
        for end in &outcome.ended {
            self.break_gang_after_end(end);
        }
        outcome
    }

    /// What the heartbeat shows of an attempt, which it lists with this status or not at all.
    fn compare(
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

    /// Whether no attempt of the job may go on.
    fn is_ending(&self, id: &JobId) -> bool {
        self.jobs.get(id).is_some_and(|entry| entry.phase == JobPhase::Cancelled || entry.is_gang_ending())
    }

    /// Notes the status in which a heartbeat lists an attempt.
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
        // An earlier leader began to stop the gang: a task that is not asked in time
        // spoils the others' checkpoint.
        if status == TaskStatus::Checkpointing && entry.gang.is_some() {
            self.stop(id);
        }
    }

    /// Ends the task's attempt on evidence, as done or to be restarted, and notes that the end
    /// waits to be written.
    fn end_on_evidence(&mut self, id: &TaskId, done: bool, now: Duration) {
        self.end_attempt(id, done);
        if let Some(chunk) = self.jobs.get_mut(&id.job).and_then(|entry| entry.chunk_of_mut(id.index)) {
            chunk.ends_pending_since.get_or_insert(now);
        }
        self.check_ended(&id.job);
    }

    /// The cloud confirmed that the machine is gone, and every attempt on it; returns how many
    /// there were.
    pub fn machine_gone(&mut self, machine: &str, now: Duration) -> usize {
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
