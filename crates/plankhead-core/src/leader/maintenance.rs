//! What time alone brings about.

use super::{Leader, LeaderEvidence};
use crate::effects::{EffectSink, StepTime};
use crate::fleet::RemovalReason;
use crate::jobs::job_table::tasks_per_chunk;
use crate::requests::RequestHandler;
use plankhead_reachability::permission::Action;
use std::time::Duration;

/// How often machines are judged, rented and released.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(200);

impl Leader {
    /// Does what is due by time alone. Every event brings such a step.
    pub fn tick(
        &mut self,
        times: StepTime,
        evidence: LeaderEvidence,
        requests: &mut RequestHandler,
        effects: &mut EffectSink,
    ) {
        let (now, lease_valid) = (times.now, evidence.lease_valid);
        self.intents.wall_ms = times.wall_ms();
        self.evidence.update(&evidence, !self.loading.is_ready(), now);
        if !self.loading.is_ready() {
            return self.tick_loading(times, evidence, effects);
        }
        self.watch_jobs(now, effects);
        let may_place = lease_valid && self.permits(Action::Place, now);
        // A new leader that had not seen the machines yet took the fleet for none: it
        // rented all again, and its round released what then turned up.
        let may_rent = lease_valid && self.inventory.is_complete() && self.permits(Action::Rent, now);
        self.place_when_due(now, may_place, effects);
        if may_rent {
            self.advance_sizing(times, effects);
        }
        // At the first step of a leader that has loaded all, too: nothing larger than
        // what may be written is ever sent.
        if self.rechunk_pending {
            self.rechunk_pending = self.job_table.rechunk(tasks_per_chunk(self.settings.max_value_bytes));
        }
        self.advance_intents(times, evidence, effects);
        self.tick_shards(now, lease_valid, requests, effects);
        if lease_valid {
            self.flush(now, requests, effects);
        }
        // Every heartbeat brings a step: what costs time with every machine or job
        // has an interval of its own.
        if now >= self.next_maintenance_at {
            self.next_maintenance_at = now + MAINTENANCE_INTERVAL;
            self.maintain(now, evidence, may_rent, effects);
        }
    }

    /// A step of a leader that still loads: it only finishes what former leaders asked of
    /// the cloud, and releases what a cancellation forces it to.
    fn tick_loading(&mut self, times: StepTime, evidence: LeaderEvidence, effects: &mut EffectSink) {
        let now = times.now;
        if self.loading.take_due_retry(now) {
            self.garbage.clear();
            self.begin_loading(now, effects);
        }
        if now >= self.next_maintenance_at {
            self.next_maintenance_at = now + MAINTENANCE_INTERVAL;
            self.remove_silent_beyond_lease(now, evidence);
            self.release_removed_machines(now, evidence, effects);
        }
        self.advance_intents(times, evidence, effects);
        self.list_instances(now, effects);
    }

    fn place_when_due(&mut self, now: Duration, may_place: bool, effects: &mut EffectSink) {
        // What could not be written yet could not start either: the next pass
        // waits for it and so puts more into one write, but not for long.
        let backlog = self.job_table.dirty_placements.len();
        let all_written = backlog == 0 || backlog <= self.persistence.available(now);
        if may_place && self.placement.is_pass_due(now, all_written) {
            self.placement.pass_began(now + self.cpu_budget.pass_interval());
            self.run_placement_pass(now, effects);
        }
    }

    /// Judges, rents and releases machines, and deletes garbage.
    fn maintain(
        &mut self,
        now: Duration,
        evidence: LeaderEvidence,
        may_rent: bool,
        effects: &mut EffectSink,
    ) {
        let lease_valid = evidence.lease_valid;
        self.check_machines(now, evidence, effects);
        // A new leader's rentals took the cloud's rate while a cancellation was due.
        if self.fleet.machines.values().any(|m| m.removal == Some(RemovalReason::CancellationDue)) {
            self.release_removed_machines(now, evidence, effects);
        }
        if may_rent {
            self.rent_machines(now, effects);
        }
        if lease_valid && self.permits(Action::Return, now) {
            self.remove_surplus(now);
        }
        if lease_valid {
            self.delete_garbage(now, effects);
        }
        self.release_removed_machines(now, evidence, effects);
        self.list_instances(now, effects);
        self.log_late_jobs(now, effects);
    }

    /// When [`Leader::tick`] has something to do next, unless an event comes before.
    /// `retry`: when to look again at what waits for a budget or for the state service,
    /// whose time is not known.
    pub fn next_due(&self, now: Duration, retry: Duration) -> Duration {
        if !self.loading.is_ready() {
            return self
                .loading
                .retry_due()
                .map_or(self.next_maintenance_at, |due| due.min(self.next_maintenance_at));
        }
        let mut due = self.next_maintenance_at;
        if let Some(watch) = self.job_watch.next_due() {
            due = due.min(watch);
        }
        if let Some(pass) = self.placement.next_pass_due(now, retry) {
            due = due.min(pass);
        }
        let has_backlog = !self.job_table.dirty_placements.is_empty()
            || !self.job_table.ended_jobs.is_empty()
            || self.target.is_dirty()
            || self.rechunk_pending
            || self.intents.has_pending_work();
        if let Some(slice) = self.sizing.next_slice_due() {
            due = due.min(slice);
        }
        if has_backlog {
            due = due.min(retry);
        }
        due
    }
}
