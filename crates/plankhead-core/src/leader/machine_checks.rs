//! Whether machines are still there: silent workers, and cancelled tasks that must be
//! gone in time.

use super::{Leader, LeaderEvidence};
use crate::calls::{CallPurpose, LeaderCall};
use crate::effects::EffectSink;
use crate::fleet::{Machine, RemovalReason};
use crate::protocol::MachineName;
use plankhead_reachability::mode::Mode;
use plankhead_reachability::permission::Action;
use std::time::Duration;

/// How long the cloud takes for a release at the most, usually.
const RELEASE_DURATION: Duration = Duration::from_secs(3);
/// How long before a cancellation is due its machine is reclaimed.
const RECLAIM_DURATION: Duration = Duration::from_secs(7);

impl Leader {
    /// Whether some worker was heard lately, or none could be: those of machines that the
    /// cloud lists no more are gone, whatever fails this node.
    pub(super) fn hears_workers(&self, now: Duration) -> bool {
        let recent = self.settings.heartbeat_timeout() + Duration::from_secs(1);
        let is_listed = |m: &&Machine| m.is_up() && !m.is_unlisted();
        let mut up = self.fleet.machines.values().filter(is_listed).peekable();
        up.peek().is_none() || up.any(|m| now.saturating_sub(m.heartbeat_times.last_heard_at) < recent)
    }

    /// Whether no worker at all has reached this node for so long that another
    /// should try to lead.
    pub fn is_isolated(&self, now: Duration) -> bool {
        let timeout = self.settings.heartbeat_timeout() + Duration::from_secs(3);
        self.loading.is_ready()
            && self.evidence.time_without_direct_heartbeat(now) > timeout
            && self.fleet.machines.values().filter(|m| m.is_up()).count() > 1
    }

    /// Without the state service nobody knows what was cancelled last. A machine that
    /// hangs keeps such a task beyond its lease, for as long as it hangs. It goes when
    /// a cancellation that this leader did not see would be due, if its lease has
    /// expired: where every peer is heard and none leads, nobody else has renewed it, so
    /// that whatever was on it is lost anyway.
    ///
    /// A leader that has not loaded yet does not know since when cancellations are unseen,
    /// and doesn't wait; but it takes the silence of many for its own fault.
    pub(super) fn remove_silent_beyond_lease(&mut self, now: Duration, evidence: LeaderEvidence) {
        let is_loading = !self.loading.is_ready();
        let due = is_loading || now.saturating_sub(self.job_watch.synced_at()) >= self.cancel_grace();
        if due && evidence.no_peer_leads && self.is_cloud_reachable(now) {
            let silence = self.settings.worker_lease + Duration::from_secs(1);
            self.fleet.mark_silent_beyond_lease(now, silence, is_loading);
        }
    }

    /// How long after a cancellation a machine goes back that may still have a task.
    fn cancel_grace(&self) -> Duration {
        self.cancel_due().saturating_sub(RECLAIM_DURATION)
    }

    /// When a cancellation is due, for certain, on whatever clock its time was taken.
    fn cancel_due(&self) -> Duration {
        self.settings.cancel_within.saturating_sub(self.settings.clock_error * 2)
    }

    pub(super) fn check_machines(
        &mut self,
        now: Duration,
        evidence: LeaderEvidence,
        effects: &mut EffectSink,
    ) {
        self.judge_silence(now, evidence, effects);
        let overdue = self.machines_with_overdue_tasks(now);
        if !self.permits(Action::ReclaimOverdue, now) {
            return;
        }
        for name in overdue {
            self.fleet.expect_machine(&name, now);
            if let Some(machine) = self.fleet.machines.get_mut(&name) {
                machine.removal.get_or_insert(RemovalReason::CancellationDue);
            }
        }
    }

    /// Marks machines for removal whose workers are silent, where the silence is theirs.
    fn judge_silence(&mut self, now: Duration, evidence: LeaderEvidence, effects: &mut EffectSink) {
        let hears_workers = self.hears_workers(now);
        // Where no node hears any worker, the silence is theirs.
        let silence_tells = hears_workers || self.evidence.mode() == Mode::StateOnly;
        if evidence.lease_valid && silence_tells && self.permits(Action::JudgeSilent, now) {
            if self.evidence.trust_silence() {
                self.fleet.reset_silence(now);
            }
            if self.fleet.mark_for_removal(now, &self.settings) > 0 {
                self.placement.request_pass();
            }
            if !self.evidence.is_cpu_starved() {
                self.probe_late_machines(now, effects);
            }
        } else {
            // A leader that is cut off hears nobody, and its requests to the
            // cloud may be carried out when the cut ends: it would release
            // a whole healthy fleet. While it hears workers, the others' silence is
            // theirs: forgiven after every lost renewal, machines that were gone kept
            // their tasks for ever under a lossy state service.
            if !hears_workers {
                self.evidence.distrust_silence();
            }
            self.remove_silent_beyond_lease(now, evidence);
        }
    }

    /// Machines with a cancelled task that is not proven gone in time. They go, whoever
    /// else is silent: in an outage, or where all machines hang, too.
    fn machines_with_overdue_tasks(&self, now: Duration) -> Vec<MachineName> {
        let (due, grace) = (self.cancel_due(), self.cancel_grace());
        let workers_had_time =
            now.saturating_sub(self.started_at) > self.settings.failover_heartbeat_timeout();
        self.job_table
            .jobs
            .values()
            .filter(|e| e.placed > 0 && e.cancelled_at.is_some_and(|at| now.saturating_sub(at) >= grace))
            .flat_map(|e| self.job_table.attempts_of(e).map(|a| (e.cancelled_at.unwrap_or_default(), a)))
            // What an earlier leader placed may have ended under it, which the
            // first heartbeats to us show, if the time left allows to wait for them.
            // A leader that comes when hardly any is left does not wait: it waited for
            // silence then, and a hung machine kept its task beyond the time.
            .filter(|(cancelled_at, attempt)| {
                let latest_release = *cancelled_at + due.saturating_sub(RELEASE_DURATION);
                attempt.reported_status.is_some()
                    || attempt.offered_under_token.is_some()
                    || workers_had_time
                    || (self.started_at < *cancelled_at + due && now >= latest_release)
            })
            .map(|(_, attempt)| attempt.machine.clone())
            .collect()
    }

    /// Asks machines whose heartbeats are late directly whether they are there.
    fn probe_late_machines(&mut self, now: Duration, effects: &mut EffectSink) {
        for name in self
            .fleet
            .machines_to_probe(now, self.settings.heartbeat_timeout(), |machine| self.is_own_machine(machine))
        {
            let token = self.token_for(&name);
            let Some(machine) = self.fleet.machines.get_mut(&name) else { continue };
            let Some(incarnation) = machine.incarnation() else { continue };
            let address = machine.begin_command(&[]);
            let call = CallPurpose::Leader(
                self.token,
                LeaderCall::SendCommands { machine: name, incarnation, starts: Vec::new() },
            );
            effects.send_commands(call, address, token, incarnation, Vec::new());
        }
    }
}
