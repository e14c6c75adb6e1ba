//! The leader's periodic work.

use super::{Leader, LeaderEvidence};
use crate::effects::{EffectSink, StepTime};
use crate::fleet::RemovalReason;
use crate::jobs::job_table::tasks_per_chunk;
use crate::requests::RequestHandler;
use plankhead_reachability::permission::Action;
use std::time::Duration;

/// How often machines are checked, rented and released.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(200);

impl Leader {
    /// Does all periodic work that is due. Called in every step, after the step's events.
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
        // Without the complete inventory, a new leader would take the fleet to be empty: it would rent
        // all machines again, and its sizing round would then release those that turn up.
        let may_rent = lease_valid && self.inventory.is_complete() && self.permits(Action::Rent, now);
        self.place_when_due(now, may_place, effects);
        if may_rent {
            self.advance_sizing(times, effects);
        }
        // Rechunking comes before any write of the step, including the first step after loading, so
        // that no value over the size limit is ever sent.
        if self.rechunk_pending {
            self.rechunk_pending = self.job_table.rechunk(tasks_per_chunk(self.settings.max_value_bytes));
        }
        self.advance_intents(times, evidence, effects);
        self.tick_shards(now, lease_valid, requests, effects);
        if lease_valid {
            self.flush(now, requests, effects);
        }
        // Every heartbeat causes a step, so work that is linear in the number of machines or jobs
        // runs at an interval.
        if now >= self.next_maintenance_at {
            self.next_maintenance_at = now + MAINTENANCE_INTERVAL;
            self.maintain(now, evidence, may_rent, effects);
        }
    }

    /// Does the periodic work of a leader that is still loading: retries loading, completes the cloud
    /// requests of earlier leaders, lists the cloud's instances, and releases silent machines that may
    /// still run cancelled tasks.
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

    /// Runs a placement pass if one is due.
    fn place_when_due(&mut self, now: Duration, may_place: bool, effects: &mut EffectSink) {
        // Placements that are not written yet cannot start, so the next pass waits for them for a
        // limited time. More placements then share a write.
        let backlog = self.job_table.dirty_placements.len();
        let all_written = backlog == 0 || backlog <= self.persistence.available(now);
        if may_place && self.placement.is_pass_due(now, all_written) {
            self.placement.pass_began(now + self.cpu_budget.pass_interval());
            self.run_placement_pass(now, effects);
        }
    }

    /// Checks, rents and releases machines, deletes garbage and logs late jobs.
    fn maintain(
        &mut self,
        now: Duration,
        evidence: LeaderEvidence,
        may_rent: bool,
        effects: &mut EffectSink,
    ) {
        let lease_valid = evidence.lease_valid;
        self.check_machines(now, evidence, effects);
        // Machines with cancelled tasks that must have ended by now are released before others are
        // rented: the rentals of a new leader could otherwise use up the cloud's rate limit.
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

    /// Returns the next time at which [`Leader::tick`] has work to do if no event comes before.
    /// `retry` is the time to check again for work that waits for a budget or for the state service
    /// and whose due time is unknown.
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
