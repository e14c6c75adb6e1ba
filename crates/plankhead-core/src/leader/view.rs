//! The leader's state as shown to users and operators: job progress, late jobs and `GET /view`.

use super::Leader;
use crate::effects::{EffectSink, StepTime};
use crate::jobs::job::{JobId, JobPhase};
use crate::jobs::job_table::JobEntry;
use crate::protocol::{JobProgress, LogLevel, TaskStatus};
use crate::requests::TaskCounts;
use std::time::Duration;

/// The time between scans for late and stuck jobs.
const LATENESS_SCAN_INTERVAL: Duration = Duration::from_secs(5);
/// An unfinished job that has no attempt this long after it was accepted counts as stuck.
const STUCK_TIMEOUT: Duration = Duration::from_secs(120);
/// The maximum number of jobs in each list of the view.
const MAX_JOBS_SHOWN: usize = 1000;

/// A late or stuck job to log.
struct LateJob {
    id: JobId,
    is_late: bool,
    is_stuck: bool,
    /// What the job waits for, if it is a gang that is not running.
    waits_for: Option<&'static str>,
}

impl Leader {
    /// Returns the numbers of done and running tasks of a job.
    pub fn progress(&self, id: &JobId) -> Option<TaskCounts> {
        self.job_table.jobs.get(id).map(|e| TaskCounts { done: e.done, running: e.running })
    }

    /// Returns the progress of at most `max_jobs` active jobs that have running or done tasks.
    pub fn all_progress(&self, max_jobs: usize) -> Vec<JobProgress> {
        let progressing =
            self.job_table.jobs.iter().filter(|(_, e)| e.done + e.running > 0 && e.phase == JobPhase::Active);
        progressing
            .take(max_jobs)
            .map(|(id, e)| JobProgress { id: id.to_string(), done: e.done, running: e.running })
            .collect()
    }

    /// Returns whether a job is past its deadline or the objective of its class.
    fn is_late(&self, entry: &JobEntry, now: Duration) -> bool {
        self.completion_objective(&entry.spec).is_some_and(|within| now > entry.accepted_at + within)
    }

    /// Returns whether a job was accepted long ago and has no attempt, or has failed on several machines.
    fn is_stuck(&self, entry: &JobEntry, now: Duration) -> bool {
        let idle = entry.running == 0 && entry.placed == 0 && entry.unfinished() > 0;
        idle && now.saturating_sub(entry.accepted_at) > STUCK_TIMEOUT || entry.failed_machines.len() > 1
    }

    /// Returns what an active gang that is not running waits for; `None` for any other job.
    fn waits_for(&self, entry: &JobEntry) -> Option<&'static str> {
        let all = |seen: fn(Option<TaskStatus>) -> bool| {
            self.job_table.attempts_of(entry).all(|a| seen(a.reported_status))
        };
        if entry.gang.is_none() || entry.phase != JobPhase::Active || entry.done > 0 {
            return None;
        }
        if entry.placed == 0 {
            return Some("room for all tasks at once");
        }
        if entry.is_gang_ending() {
            return Some("what is left of the last attempt");
        }
        if entry.running > 0 {
            return None;
        }
        if !entry.all_placements_durable() {
            return Some("its placements to be written");
        }
        let all_waiting = all(|seen| matches!(seen, Some(TaskStatus::WaitingForGang)));
        Some(if all_waiting { "its other tasks" } else { "images" })
    }

    /// Logs late and stuck jobs, each job once.
    pub(super) fn log_late_jobs(&mut self, now: Duration, effects: &mut EffectSink) {
        if now < self.next_lateness_scan_at {
            return;
        }
        self.next_lateness_scan_at = now + LATENESS_SCAN_INTERVAL;
        let is_unlogged = |e: &JobEntry| e.phase == JobPhase::Active && !e.late_logged;
        let late_jobs: Vec<LateJob> = self
            .job_table
            .jobs
            .iter()
            .filter(|(_, e)| is_unlogged(e))
            .map(|(id, e)| LateJob {
                id: id.clone(),
                is_late: self.is_late(e, now),
                is_stuck: self.is_stuck(e, now),
                waits_for: self.waits_for(e),
            })
            .filter(|job| job.is_late || job.is_stuck)
            .collect();
        for job in late_jobs {
            let Some(entry) = self.job_table.jobs.get_mut(&job.id) else { continue };
            entry.late_logged = true;
            let event = if job.is_stuck { "job stuck" } else { "job late" };
            let after = now.saturating_sub(entry.accepted_at).as_secs();
            let waits = job.waits_for.map(|cause| format!(" waits_for=\"{cause}\"")).unwrap_or_default();
            effects.log(
                LogLevel::Info,
                format!(
                    "{event}: job={} after_s={after} done={} tasks={} late={}{waits}",
                    job.id, entry.done, entry.spec.tasks, job.is_late
                ),
            );
        }
    }

    /// Returns the leader's part of the document for `GET /view`.
    pub fn view(&self, times: StepTime) -> serde_json::Value {
        let now = times.now;
        let jobs: Vec<_> = self
            .job_table
            .jobs
            .iter()
            .filter(|(_, e)| e.phase == JobPhase::Active && (self.is_late(e, now) || self.is_stuck(e, now)))
            .take(MAX_JOBS_SHOWN)
            .map(|(id, e)| {
                serde_json::json!({
                    "nameId": id, "lane": e.spec.class, "crew": e.spec.team, "urgency": e.spec.priority,
                    "ageS": now.saturating_sub(e.accepted_at).as_secs_f64(),
                    "pieces": e.spec.tasks, "done": e.done, "running": e.running,
                    "late": self.is_late(e, now), "stuck": self.is_stuck(e, now),
                    "gang": e.spec.gang, "waitsFor": self.waits_for(e),
                    "failedOn": e.failed_machines.iter().map(|h| h.as_ref()).collect::<Vec<&str>>(),
                })
            })
            .collect();
        // Waiting gangs are listed whether late or not, because no gang should wait for long.
        let gangs: Vec<_> = self
            .job_table
            .jobs
            .iter()
            .filter_map(|(id, e)| Some((id, e, self.waits_for(e)?)))
            .take(MAX_JOBS_SHOWN)
            .map(|(id, e, waits)| {
                serde_json::json!({
                    "nameId": id, "waitsFor": waits, "pieces": e.spec.tasks, "placed": e.placed,
                    "ageS": now.saturating_sub(e.accepted_at).as_secs_f64(),
                    "try": e.gang.as_ref().map(|g| g.attempt),
                })
            })
            .collect();
        let up = self.fleet.machines.values().filter(|m| m.is_up()).count();
        serde_json::json!({
            "token": self.token,
            "ready": self.loading.is_ready(),
            "jobs": self.job_table.jobs.len(),
            "machines": {"held": self.fleet.machines.len(), "up": up},
            "target": self.target.current(),
            "jobsSyncedAgoS": now.saturating_sub(self.job_watch.synced_at()).as_secs_f64(),
            "lateOrStuck": jobs,
            "gangsWaiting": gangs,
            "acknowledgementsWaiting": self.fleet.acknowledgements_view(),
            "endedAttemptsRestarted": self.ended_attempts_restarted,
            "fencing": self.intents.view(),
            "sharding": self.shards_view(now),
        })
    }
}
