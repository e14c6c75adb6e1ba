//! The tasks of cancelled jobs that may still be on machines, as known to a node that does not lead.
//!
//! When a job is cancelled, its placements are read from the state service. No placement of the job can be
//! written after the cancellation, so one read shows all its attempts. An attempt is dropped only on
//! evidence: its worker listed it as exited, its worker reported a later incarnation, the cloud confirmed
//! the return of its machine, or the leader found that no task of the job is left.

use crate::jobs::chunk::StoredAttempt;
use crate::jobs::job::JobId;
use crate::protocol::{Heartbeat, KeyValue, MachineName, TaskId, TaskStatus};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// An attempt of a cancelled job that is not known to be over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CancelledAttempt {
    pub task: TaskId,
    pub number: u64,
    /// The worker's incarnation for which the task was placed.
    pub incarnation: u64,
    /// When the job was cancelled, on this node's steady clock.
    pub cancelled_at: Duration,
}

/// What is known of a cancelled job's placements.
#[derive(Debug)]
enum Placements {
    /// They are still to be read, from the first page on.
    Unread,
    /// A read is in flight, with the rows of the pages read so far.
    Reading(Vec<KeyValue>),
    Known,
}

#[derive(Debug)]
struct CancelledJob {
    /// When the job was cancelled, on this node's steady clock.
    cancelled_at: Duration,
    placements: Placements,
}

/// The cancelled jobs whose tasks may still be on machines.
#[derive(Debug, Default)]
pub struct CancelledTasks {
    jobs: BTreeMap<JobId, CancelledJob>,
    by_machine: BTreeMap<MachineName, Vec<CancelledAttempt>>,
    /// When the latest attempt on each machine became known to this node.
    known_at: BTreeMap<MachineName, Duration>,
}

impl CancelledTasks {
    /// Adds a cancelled job whose placements are still to be read, unless it is known already.
    pub fn add_job(&mut self, id: JobId, cancelled_at: Duration) {
        let job = CancelledJob { cancelled_at, placements: Placements::Unread };
        self.jobs.entry(id).or_insert(job);
    }

    /// Adds an attempt of a cancelled job. The job's placements are not read any more, so all attempts of
    /// the job must be added in the same way.
    pub fn add_known_attempt(&mut self, machine: MachineName, attempt: CancelledAttempt, now: Duration) {
        let CancelledAttempt { task, cancelled_at, .. } = &attempt;
        let job = CancelledJob { cancelled_at: *cancelled_at, placements: Placements::Known };
        self.jobs.insert(task.job.clone(), job);
        self.add_attempt(machine, attempt, now);
    }

    fn add_attempt(&mut self, machine: MachineName, attempt: CancelledAttempt, now: Duration) {
        self.known_at.insert(machine.clone(), now);
        self.by_machine.entry(machine).or_default().push(attempt);
    }

    /// Removes a job of which no task is left.
    pub fn remove_job(&mut self, id: &JobId) {
        if self.jobs.remove(id).is_some() {
            self.retain_attempts(|_, attempt| attempt.task.job != *id);
        }
    }

    /// Removes the jobs that were cancelled before this time.
    pub fn forget_before(&mut self, time: Duration) {
        self.jobs.retain(|_, job| job.cancelled_at >= time);
        self.retain_attempts(|_, attempt| attempt.cancelled_at >= time);
    }

    /// Removes all jobs.
    pub fn clear(&mut self) {
        self.jobs.clear();
        self.by_machine.clear();
        self.known_at.clear();
    }

    /// Returns the number of cancelled jobs, and of their attempts.
    pub fn counts(&self) -> (usize, usize) {
        (self.jobs.len(), self.by_machine.values().map(Vec::len).sum())
    }

    /// Returns whether the placements of a job are still to be read.
    pub fn has_unread(&self) -> bool {
        self.jobs.values().any(|job| matches!(job.placements, Placements::Unread))
    }

    /// Returns a job whose placements are to be read, and marks them as being read.
    pub fn begin_read(&mut self) -> Option<JobId> {
        let is_unread = |(_, job): &(&JobId, &mut CancelledJob)| matches!(job.placements, Placements::Unread);
        let (id, job) = self.jobs.iter_mut().find(is_unread)?;
        job.placements = Placements::Reading(Vec::new());
        Some(id.clone())
    }

    /// Adds a page of the job's chunks. Returns the rows of all pages if this was the last one.
    pub fn page_read(&mut self, id: &JobId, rows: Vec<KeyValue>, truncated: bool) -> Option<Vec<KeyValue>> {
        let job = self.jobs.get_mut(id)?;
        let Placements::Reading(pages) = &mut job.placements else { return None };
        pages.extend(rows);
        if truncated {
            return None;
        }
        let rows = std::mem::take(pages);
        job.placements = Placements::Known;
        Some(rows)
    }

    /// Records that a read of the job's placements has failed.
    pub fn read_failed(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.placements = Placements::Unread;
        }
    }

    /// Adds the attempts that were read of a job. A job without any is removed.
    pub fn add_attempts(&mut self, id: &JobId, attempts: BTreeMap<u32, StoredAttempt>, now: Duration) {
        let Some(cancelled_at) = self.jobs.get(id).map(|job| job.cancelled_at) else { return };
        if attempts.is_empty() {
            self.jobs.remove(id);
            return;
        }
        for (index, StoredAttempt { number, machine, incarnation }) in attempts {
            let task = TaskId { job: id.clone(), index };
            self.add_attempt(machine, CancelledAttempt { task, number, incarnation, cancelled_at }, now);
        }
    }

    /// Drops the attempts that a heartbeat shows to be over. The heartbeat may be a late copy: exits and
    /// later incarnations remain true.
    pub fn observe(&mut self, heartbeat: &Heartbeat) {
        if !self.by_machine.contains_key(&heartbeat.machine) {
            return;
        }
        let exited: BTreeSet<(&TaskId, u64)> = heartbeat
            .tasks
            .iter()
            .filter(|listed| matches!(listed.status, TaskStatus::Exited(_)))
            .map(|listed| (&listed.task, listed.attempt))
            .collect();
        self.retain_attempts(|machine, attempt| {
            *machine != heartbeat.machine
                || heartbeat.incarnation <= attempt.incarnation
                    && !exited.contains(&(&attempt.task, attempt.number))
        });
    }

    /// Drops the attempts on a machine that the cloud has taken back.
    pub fn machine_released(&mut self, machine: &MachineName) {
        self.by_machine.remove(machine);
        self.known_at.remove(machine);
    }

    /// Drops the machines that a read of the inventory, which began at `read_at`, does not list. A machine
    /// that has run a task is listed until it is gone, once the inventory's `lag` since the cancellation has
    /// passed. A read that began before this node knew of an attempt may not have looked for the machine.
    pub fn drop_unlisted(
        &mut self,
        read_at: Duration,
        lag: Duration,
        is_listed: impl Fn(&MachineName) -> bool,
    ) {
        let is_gone = |(machine, cancelled_at): &(&MachineName, Duration)| {
            let looked_for = self.known_at.get(*machine).is_some_and(|known_at| read_at > *known_at);
            looked_for && read_at >= *cancelled_at + lag && !is_listed(machine)
        };
        let gone: Vec<MachineName> =
            self.machines().filter(is_gone).map(|(machine, _)| machine.clone()).collect();
        gone.iter().for_each(|machine| self.machine_released(machine));
    }

    fn retain_attempts(&mut self, keep: impl Fn(&MachineName, &CancelledAttempt) -> bool) {
        self.by_machine.retain(|machine, attempts| {
            attempts.retain(|attempt| keep(machine, attempt));
            !attempts.is_empty()
        });
        let by_machine = &self.by_machine;
        self.known_at.retain(|machine, _| by_machine.contains_key(machine));
    }

    /// Returns whether an attempt of a cancelled job may be on the machine.
    pub fn may_be_on(&self, machine: &MachineName) -> bool {
        self.by_machine.contains_key(machine)
    }

    /// Returns the machines with attempts of cancelled jobs, each with the time of the first of these
    /// cancellations.
    pub fn machines(&self) -> impl Iterator<Item = (&MachineName, Duration)> {
        let first = |attempts: &Vec<CancelledAttempt>| attempts.iter().map(|a| a.cancelled_at).min();
        self.by_machine.iter().filter_map(move |(machine, attempts)| Some((machine, first(attempts)?)))
    }

    /// Returns an attempt on the machine whose job was cancelled first.
    pub fn first_attempt(&self, machine: &MachineName) -> Option<&CancelledAttempt> {
        self.by_machine.get(machine)?.iter().min_by_key(|attempt| attempt.cancelled_at)
    }
}
