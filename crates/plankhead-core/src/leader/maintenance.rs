//! What time alone brings about.

use super::{Leader, LeaderEvidence, Stage, MIND, PASS_PATIENCE, WATCH};
use crate::calls::{CallPurpose, LeaderCall};
use crate::effects::{EffectSink, StepTime};
use crate::fleet::{Machine, RemovalReason};
use crate::jobs::job_table::tasks_per_chunk;
use crate::protocol::{CloudRequest, KvRequest, MachineName};
use crate::requests::RequestHandler;
use plankhead_reachability::mode::Mode;
use plankhead_reachability::permission::Action;
use std::time::Duration;

/// What a release takes at the most, usually.
const RELEASE: Duration = Duration::from_secs(3);

impl Leader {
    pub fn tick(
        &mut self,
        times: StepTime,
        evidence: LeaderEvidence,
        requests: &mut RequestHandler,
        effects: &mut EffectSink,
    ) {
        let (now, firm) = (times.now, evidence.lease_valid);
        self.intents.wall_ms = times.wall_ms();
        self.cpu_starved = evidence.cpu_starved;
        self.mode = evidence.mode;
        self.peers_agree = evidence.peers_agree;
        if !evidence.kv_undisputed {
            self.lease_doubted_at = Some(now);
        }
        if std::mem::take(&mut self.direct_heartbeat_arrived) || self.stage == Stage::Loading {
            self.last_direct_heartbeat_at = now;
        }
        if self.stage == Stage::Loading {
            if self.load_retry_at.is_some_and(|due| now >= due) {
                // Whatever failed, reading starts over: rows are idempotent.
                self.load_retry_at = None;
                self.load_after_key = None;
                self.loaded_chunks.clear();
                self.garbage.clear();
                self.to_archive.clear();
                self.urgent_garbage = 0;
                self.begin_loading(now, effects);
            }
            if now >= self.next_maintenance_at {
                self.next_maintenance_at = now + MIND;
                self.remove_silent_beyond_lease(now, evidence);
                self.release_removed_machines(now, evidence, effects);
            }
            self.advance_intents(times, evidence, effects);
            self.list_instances(now, effects);
            return;
        }
        if let Some(epoch) = self.jobs_revision.filter(|_| !self.watch_in_flight && now >= self.next_watch_at)
        {
            self.watch_in_flight = true;
            let op = KvRequest::Watch { prefix: "job/".into(), after: epoch, wait: WATCH };
            self.call_kv(LeaderCall::WatchJobs { sent: now }, op, effects);
        }
        let places = firm && self.permits(Action::Place, now);
        let rents = firm && self.inventory_complete && self.permits(Action::Rent, now);
        // What could not be written yet could not start either: the next pass
        // waits for it and so puts more into one write, but not for long.
        let backlog = self.job_table.dirty_placements.len();
        let written = backlog == 0 || backlog <= self.write_budget.available(now);
        let due = if written { self.next_pass_at } else { self.next_pass_at + PASS_PATIENCE };
        if places && self.pass_needed && now >= due {
            self.pass_needed = false;
            self.next_pass_at = now + self.cpu_budget.pass_interval();
            self.run_placement_pass(now, effects);
        }
        // A new leader that had not seen the machines yet took the fleet for none: it
        // hired all anew, and its round gave back what then turned up.
        if rents {
            self.advance_sizing(times, effects);
        }
        // At the first step of a leader that has read all, too: nothing larger than
        // what may be written is ever sent.
        if self.rechunk_pending {
            self.rechunk_pending = self.job_table.rechunk(tasks_per_chunk(self.settings.max_value_bytes));
        }
        self.advance_intents(times, evidence, effects);
        self.tick_shards(now, firm, requests, effects);
        if firm {
            self.flush(now, requests, effects);
        }
        // Every report brings a step: what costs time with every machine or job
        // has a beat of its own.
        if now < self.next_maintenance_at {
            return;
        }
        self.next_maintenance_at = now + MIND;
        self.check_machines(now, evidence, effects);
        // A new leader's rentals took the cloud's rate while a cancellation was due.
        if self.fleet.machines.values().any(|m| m.removal == Some(RemovalReason::CancellationDue)) {
            self.release_removed_machines(now, evidence, effects);
        }
        if rents {
            self.rent_machines(now, effects);
        }
        if firm && self.permits(Action::Return, now) {
            self.remove_surplus(now);
        }
        if firm {
            self.delete_garbage(now, effects);
        }
        self.release_removed_machines(now, evidence, effects);
        self.list_instances(now, effects);
        self.log_late_jobs(now, effects);
    }

    /// When [`Leader::tick`] has something to do next, unless an event comes before.
    /// `retry`: when to look again at what waits for a budget or for the state service,
    /// whose time cannot be told.
    pub fn next_due(&self, now: Duration, retry: Duration) -> Duration {
        if self.stage == Stage::Loading {
            return self
                .load_retry_at
                .map_or(self.next_maintenance_at, |due| due.min(self.next_maintenance_at));
        }
        let mut due = self.next_maintenance_at;
        if !self.watch_in_flight && self.jobs_revision.is_some() {
            due = due.min(self.next_watch_at);
        }
        if self.pass_needed {
            due = due.min(if self.next_pass_at > now { self.next_pass_at } else { retry });
        }
        let waits = !self.job_table.dirty_placements.is_empty()
            || !self.job_table.ended_jobs.is_empty()
            || self.target_dirty
            || self.rechunk_pending
            || self.intents.has_pending_work();
        if self.round.is_some() {
            due = due.min(self.next_replay_slice_at);
        }
        if waits {
            due = due.min(retry);
        }
        due
    }

    pub(super) fn list_instances(&mut self, now: Duration, effects: &mut EffectSink) {
        if !self.inventory_in_flight && now >= self.next_inventory_at && self.cloud_budget.take(now, 1) {
            self.inventory_in_flight = true;
            self.next_inventory_at = now + self.settings.inventory_lag.max(Duration::from_secs(3));
            let after = self.inventory_pages.last().map(|h| h.name.clone());
            effects.call_cloud(
                CallPurpose::Leader(self.token, LeaderCall::ListInstances),
                CloudRequest::ListInstances { after },
            );
        }
    }

    /// Whether some worker was heard lately, or none could be: those of machines that the
    /// cloud lists no more are not there, whatever fails this node.
    pub(super) fn hears_workers(&self, now: Duration) -> bool {
        let recent = self.settings.heartbeat_timeout() + Duration::from_secs(1);
        let there = |m: &&Machine| m.is_up() && !m.is_unlisted();
        let mut up = self.fleet.machines.values().filter(there).peekable();
        up.peek().is_none() || up.any(|m| now.saturating_sub(m.heartbeat_times.last_heard_at) < recent)
    }

    /// Whether no worker at all has reached this node for so long that another
    /// should try to lead.
    pub fn is_isolated(&self, now: Duration) -> bool {
        let patience = self.settings.heartbeat_timeout() + Duration::from_secs(3);
        self.stage == Stage::Ready
            && now.saturating_sub(self.last_direct_heartbeat_at) > patience
            && self.fleet.machines.values().filter(|m| m.is_up()).count() > 1
    }

    /// Whether the cloud has answered lately, so that what it is asked takes effect now
    /// and not when some cut ends.
    pub(super) fn is_cloud_reachable(&self, now: Duration) -> bool {
        let lately = self.settings.inventory_lag.max(Duration::from_secs(3)) * 2 + Duration::from_secs(1);
        self.cloud_replied_at.is_some_and(|at| now.saturating_sub(at) < lately)
    }

    /// Without the state service nobody knows what was cancelled last. A machine that
    /// hangs keeps such a task beyond its lease, for as long as it hangs. It goes when
    /// a cancellation that this leader did not see would be due, if its lease has run
    /// out: where every sibling is heard and none leads, nobody else has renewed it, so
    /// that whatever was on it is lost anyway.
    ///
    /// A leader that has not read yet does not know how old its ignorance is, and
    /// doesn't wait; but it takes the silence of many for its own fault.
    fn remove_silent_beyond_lease(&mut self, now: Duration, evidence: LeaderEvidence) {
        let reading = self.stage == Stage::Loading;
        let due = reading || now.saturating_sub(self.jobs_synced_at) >= self.cancel_grace();
        if due && evidence.no_peer_leads && self.is_cloud_reachable(now) {
            let silence = self.settings.worker_lease + Duration::from_secs(1);
            self.fleet.mark_silent_beyond_lease(now, silence, reading);
        }
    }

    /// How long after a cancellation a machine goes back that may still have a task.
    fn cancel_grace(&self) -> Duration {
        self.cancel_due().saturating_sub(Duration::from_secs(7))
    }

    /// When a cancellation is due, for certain, on whatever clock it was told.
    fn cancel_due(&self) -> Duration {
        self.settings.cancel_within.saturating_sub(self.settings.clock_error * 2)
    }

    fn check_machines(&mut self, now: Duration, evidence: LeaderEvidence, effects: &mut EffectSink) {
        let contact = self.hears_workers(now);
        // Where no node hears any worker, the silence is theirs.
        let silence_tells = contact || self.mode == Mode::StateOnly;
        if evidence.lease_valid && silence_tells && self.permits(Action::JudgeSilent, now) {
            if !std::mem::replace(&mut self.silence_is_reliable, true) {
                self.fleet.reset_silence(now);
            }
            self.pass_needed |= self.fleet.mark_for_removal(now, &self.settings) > 0;
            if !self.cpu_starved {
                self.probe_late_machines(now, effects);
            }
        } else {
            // A leader that is cut off hears nobody, and its requests to the
            // cloud may be carried out when the cut ends: it would give back
            // a whole healthy fleet. While it hears workers, the others' silence is
            // theirs: forgiven after every lost renewal, machines that were gone kept
            // their tasks for ever under a lossy state service.
            self.silence_is_reliable &= contact;
            self.remove_silent_beyond_lease(now, evidence);
        }
        // A cancelled task that is not proven gone takes its machine along, whoever
        // else is silent: in an outage, or where all machines hang, too.
        let (due, grace) = (self.cancel_due(), self.cancel_grace());
        let heard = now.saturating_sub(self.started_at) > self.settings.failover_heartbeat_timeout();
        let overdue: Vec<MachineName> = self
            .job_table
            .jobs
            .values()
            .filter(|e| e.placed > 0 && e.cancelled_at.is_some_and(|at| now.saturating_sub(at) >= grace))
            .flat_map(|e| self.job_table.attempts_of(e).map(|a| (e.cancelled_at.unwrap_or_default(), a)))
            // What an earlier leader placed may have ended under it, which the
            // first reports to us show, if the time left allows to wait for them.
            // A leader that comes when hardly any is left does not wait: it waited for
            // silence then, and a hung machine kept its task beyond the time.
            .filter(|(at, a)| {
                let last = *at + due.saturating_sub(RELEASE);
                a.reported_status.is_some()
                    || a.offered_under_token.is_some()
                    || heard
                    || (self.started_at < *at + due && now >= last)
            })
            .map(|(_, a)| a.machine.clone())
            .collect();
        let reclaims = self.permits(Action::ReclaimOverdue, now);
        for host in overdue.into_iter().filter(|_| reclaims) {
            self.fleet.expect_machine(&host, now);
            if let Some(machine) = self.fleet.machines.get_mut(&host) {
                machine.removal.get_or_insert(RemovalReason::CancellationDue);
            }
        }
    }

    /// Asks machines whose reports are late directly whether they are there.
    fn probe_late_machines(&mut self, now: Duration, effects: &mut EffectSink) {
        for host in self
            .fleet
            .machines_to_probe(now, self.settings.heartbeat_timeout(), |machine| self.is_own_machine(machine))
        {
            let token = self.token_for(&host);
            let Some(machine) = self.fleet.machines.get_mut(&host) else { continue };
            let Some(incarnation) = machine.incarnation() else { continue };
            let address = machine.begin_command(&[]);
            let call = CallPurpose::Leader(
                self.token,
                LeaderCall::SendCommands { machine: host, incarnation, starts: Vec::new() },
            );
            effects.send_commands(call, address, token, incarnation, Vec::new());
        }
    }
}
