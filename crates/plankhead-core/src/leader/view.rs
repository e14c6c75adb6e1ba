//! What users and operators see of the leader.

use super::*;

impl Leader {
    pub fn progress(&self, id: &JobId) -> Option<(u32, u32)> {
        self.ledger.jobs.get(id).map(|e| (e.done, e.running))
    }

    pub fn all_progress(&self, most: usize) -> Vec<JobProgress> {
        let moving =
            self.ledger.jobs.iter().filter(|(_, e)| e.done + e.running > 0 && e.phase == Phase::Active);
        moving
            .take(most)
            .map(|(id, e)| JobProgress { id: id.to_string(), done: e.done, running: e.running })
            .collect()
    }

    /// Past its deadline, or past what its class expects.
    pub(super) fn late(&self, entry: &JobEntry, now: Duration) -> bool {
        self.done_within(&entry.spec).is_some_and(|within| now > entry.accepted + within)
    }

    pub(super) fn stuck(&self, entry: &JobEntry, now: Duration) -> bool {
        let idle = entry.running == 0 && entry.placed == 0 && entry.unfinished() > 0;
        idle && now.saturating_sub(entry.accepted) > STUCK || entry.error_hosts.len() > 1
    }

    /// What a gang that does not run waits for.
    pub(super) fn waits_for(&self, entry: &JobEntry) -> Option<&'static str> {
        let all = |seen: fn(Option<TaskStatus>) -> bool| self.ledger.placements(entry).all(|a| seen(a.seen));
        if entry.gang.is_none() || entry.phase != Phase::Active || entry.done > 0 {
            return None;
        }
        if entry.placed == 0 {
            return Some("room for all tasks at once");
        }
        if entry.ending() {
            return Some("what is left of the last attempt");
        }
        if entry.running > 0 {
            return None;
        }
        if !entry.complete() {
            return Some("its placements to be written");
        }
        let there = all(|seen| matches!(seen, Some(TaskStatus::WaitingForGang)));
        Some(if there { "its other tasks" } else { "images" })
    }

    pub(super) fn tell_late(&mut self, now: Duration, out: &mut EffectSink) {
        if now < self.late_due {
            return;
        }
        self.late_due = now + LATE_SCAN;
        let live = |e: &JobEntry| e.phase == Phase::Active && !e.told_late;
        let news: Vec<(JobId, bool, bool, Option<&str>)> = self
            .ledger
            .jobs
            .iter()
            .filter(|(_, e)| live(e))
            .map(|(id, e)| (id.clone(), self.late(e, now), self.stuck(e, now), self.waits_for(e)))
            .filter(|(_, late, stuck, _)| *late || *stuck)
            .collect();
        for (id, late, stuck, waits) in news {
            if let Some(entry) = self.ledger.jobs.get_mut(&id) {
                entry.told_late = true;
                let what = if stuck { "is stuck" } else { "is late" };
                let age = now.saturating_sub(entry.accepted).as_secs();
                let (done, tasks) = (entry.done, entry.spec.tasks);
                let gang = waits.map(|w| format!(", waits for {w}")).unwrap_or_default();
                let text = format!("{id} {what} after {age} s: {done} of {tasks} done (late: {late}){gang}");
                out.log(LogLevel::Info, text);
            }
        }
    }

    pub fn view(&self, times: StepTime) -> serde_json::Value {
        let now = times.now;
        let jobs: Vec<_> = self
            .ledger
            .jobs
            .iter()
            .filter(|(_, e)| e.phase == Phase::Active && (self.late(e, now) || self.stuck(e, now)))
            .take(1000)
            .map(|(id, e)| {
                serde_json::json!({
                    "nameId": id, "lane": e.spec.class, "crew": e.spec.team, "urgency": e.spec.priority,
                    "ageS": now.saturating_sub(e.accepted).as_secs_f64(),
                    "pieces": e.spec.tasks, "done": e.done, "running": e.running,
                    "late": self.late(e, now), "stuck": self.stuck(e, now),
                    "gang": e.spec.gang, "waitsFor": self.waits_for(e),
                    "failedOn": e.error_hosts.iter().map(|h| h.as_ref()).collect::<Vec<&str>>(),
                })
            })
            .collect();
        // Late or not: none should wait for long.
        let gangs: Vec<_> = self
            .ledger
            .jobs
            .iter()
            .filter_map(|(id, e)| Some((id, e, self.waits_for(e)?)))
            .take(1000)
            .map(|(id, e, waits)| {
                serde_json::json!({
                    "nameId": id, "waitsFor": waits, "pieces": e.spec.tasks, "placed": e.placed,
                    "ageS": now.saturating_sub(e.accepted).as_secs_f64(),
                    "try": e.gang.as_ref().map(|g| g.number),
                })
            })
            .collect();
        let up = self.fleet.machines.values().filter(|m| m.up()).count();
        serde_json::json!({
            "token": self.token,
            "ready": self.stage == Stage::Ready,
            "jobs": self.ledger.jobs.len(),
            "machines": {"held": self.fleet.machines.len(), "up": up},
            "target": self.target,
            "blindS": now.saturating_sub(self.fresh).as_secs_f64(),
            "lateOrStuck": jobs,
            "gangsWaiting": gangs,
            "fencing": self.duties.view(),
            "sharding": self.shards_view(now),
        })
    }
}
