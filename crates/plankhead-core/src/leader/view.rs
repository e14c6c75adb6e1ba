//! What users and operators see of the leader.

use super::{Leader, LATE_SCAN, STUCK};
use crate::effects::{EffectSink, StepTime};
use crate::jobs::job::{JobId, JobPhase};
use crate::jobs::job_table::JobEntry;
use crate::protocol::{JobProgress, LogLevel, TaskStatus};
use std::time::Duration;

impl Leader {
    pub fn progress(&self, id: &JobId) -> Option<(u32, u32)> {
        self.job_table.jobs.get(id).map(|e| (e.done, e.running))
    }

    pub fn all_progress(&self, most: usize) -> Vec<JobProgress> {
        let moving =
            self.job_table.jobs.iter().filter(|(_, e)| e.done + e.running > 0 && e.phase == JobPhase::Active);
        moving
            .take(most)
            .map(|(id, e)| JobProgress { id: id.to_string(), done: e.done, running: e.running })
            .collect()
    }

    /// Past its deadline, or past what its class expects.
    pub(super) fn is_late(&self, entry: &JobEntry, now: Duration) -> bool {
        self.completion_objective(&entry.spec).is_some_and(|within| now > entry.accepted_at + within)
    }

    pub(super) fn is_stuck(&self, entry: &JobEntry, now: Duration) -> bool {
        let idle = entry.running == 0 && entry.placed == 0 && entry.unfinished() > 0;
        idle && now.saturating_sub(entry.accepted_at) > STUCK || entry.failed_machines.len() > 1
    }

    /// What a gang that does not run waits for.
    pub(super) fn waits_for(&self, entry: &JobEntry) -> Option<&'static str> {
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
        let there = all(|seen| matches!(seen, Some(TaskStatus::WaitingForGang)));
        Some(if there { "its other tasks" } else { "images" })
    }

    pub(super) fn log_late_jobs(&mut self, now: Duration, effects: &mut EffectSink) {
        if now < self.next_lateness_scan_at {
            return;
        }
        self.next_lateness_scan_at = now + LATE_SCAN;
        let live = |e: &JobEntry| e.phase == JobPhase::Active && !e.late_logged;
        let news: Vec<(JobId, bool, bool, Option<&str>)> = self
            .job_table
            .jobs
            .iter()
            .filter(|(_, e)| live(e))
            .map(|(id, e)| (id.clone(), self.is_late(e, now), self.is_stuck(e, now), self.waits_for(e)))
            .filter(|(_, late, stuck, _)| *late || *stuck)
            .collect();
        for (id, late, stuck, waits) in news {
            if let Some(entry) = self.job_table.jobs.get_mut(&id) {
                entry.late_logged = true;
                let what = if stuck { "is stuck" } else { "is late" };
                let age = now.saturating_sub(entry.accepted_at).as_secs();
                let (done, tasks) = (entry.done, entry.spec.tasks);
                let gang = waits.map(|w| format!(", waits for {w}")).unwrap_or_default();
                let text = format!("{id} {what} after {age} s: {done} of {tasks} done (late: {late}){gang}");
                effects.log(LogLevel::Info, text);
            }
        }
    }

    pub fn view(&self, times: StepTime) -> serde_json::Value {
        let now = times.now;
        let jobs: Vec<_> = self
            .job_table
            .jobs
            .iter()
            .filter(|(_, e)| e.phase == JobPhase::Active && (self.is_late(e, now) || self.is_stuck(e, now)))
            .take(1000)
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
        // Late or not: none should wait for long.
        let gangs: Vec<_> = self
            .job_table
            .jobs
            .iter()
            .filter_map(|(id, e)| Some((id, e, self.waits_for(e)?)))
            .take(1000)
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
            "blindS": now.saturating_sub(self.job_watch.synced_at()).as_secs_f64(),
            "lateOrStuck": jobs,
            "gangsWaiting": gangs,
            "fencing": self.intents.view(),
            "sharding": self.shards_view(now),
        })
    }
}
