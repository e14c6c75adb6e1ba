//! Checks for lost machines: workers that have fallen silent, and machines that may still run tasks
//! past a cancellation deadline.

use super::{Leader, LeaderEvidence};
use crate::calls::{CallPurpose, LeaderCall};
use crate::effects::EffectSink;
use crate::fleet::{Machine, RemovalReason};
use crate::jobs::job::JobPhase;
use crate::protocol::{MachineName, TaskId};
use crate::reclaim::deadlines::{cancellation_timeout, reclaim_delay};
use crate::reclaim::tasks::CancelledAttempt;
use plankhead_reachability::mode::Mode;
use plankhead_reachability::permission::Action;
use std::time::Duration;

/// The longest time that the cloud usually takes for a release.
const RELEASE_DURATION: Duration = Duration::from_secs(3);

impl Leader {
    /// Returns whether at least one worker has been heard from recently, or no machine is up. Machines that
    /// the cloud no longer lists do not count: they are gone, whatever the state of this node's links.
    pub(super) fn receives_heartbeats(&self, now: Duration) -> bool {
        let recent = self.settings.heartbeat_timeout() + Duration::from_secs(1);
        let is_listed = |m: &&Machine| m.is_up() && !m.is_unlisted();
        let mut up = self.fleet.machines.values().filter(is_listed).peekable();
        up.peek().is_none() || up.any(|m| now.saturating_sub(m.heartbeat_times.last_heard_at) < recent)
    }

    /// Returns whether no worker has reached this node directly for so long that another node should
    /// try to lead.
    pub fn is_isolated(&self, now: Duration) -> bool {
        let timeout = self.settings.heartbeat_timeout() + Duration::from_secs(3);
        self.loading.is_ready()
            && self.evidence.time_without_direct_heartbeat(now) > timeout
            && self.fleet.machines.values().filter(|m| m.is_up()).count() > 1
    }

    /// Marks machines for removal that have been silent for longer than their leases, while this
    /// leader may be missing cancellations.
    ///
    /// Without the state service, no node learns of the latest cancellations. A worker ends its tasks
    /// when its lease expires, but a hung machine can keep a cancelled task for as long as it hangs. A
    /// silent machine is therefore removed once its worker's lease has expired and the jobs have not been
    /// synced for so long that a cancellation missed since then would have to be enforced now. This
    /// requires that every peer sends heartbeats and none leads: then no other node has renewed the
    /// worker's lease, so the tasks on the machine are lost anyway.
    ///
    /// A leader that has not finished loading does not know for how long it has missed cancellations,
    /// so it removes such machines without this delay. If more than half of the machines are silent, it
    /// assumes that its own links are at fault and removes none.
    pub(super) fn remove_silent_beyond_lease(&mut self, now: Duration, evidence: LeaderEvidence) {
        let is_loading = !self.loading.is_ready();
        let due =
            is_loading || now.saturating_sub(self.job_watch.synced_at()) >= reclaim_delay(&self.settings);
        if due && evidence.no_peer_leads && self.is_cloud_reachable(now) {
            let silence = self.settings.worker_lease + Duration::from_secs(1);
            self.fleet.mark_silent_beyond_lease(now, silence, is_loading);
        }
    }

    /// Returns the attempts of cancelled jobs that are not proven over, with their machines.
    pub fn cancelled_attempts(&self) -> impl Iterator<Item = (MachineName, CancelledAttempt)> + '_ {
        let cancelled = self.job_table.jobs.iter().filter(|(_, entry)| entry.phase == JobPhase::Cancelled);
        cancelled.filter_map(|(id, entry)| Some((id, entry, entry.cancelled_at?))).flat_map(
            |(id, entry, cancelled_at)| {
                entry.attempts().map(move |(index, attempt)| {
                    let task = TaskId { job: id.clone(), index };
                    let (number, incarnation) = (attempt.number, attempt.incarnation);
                    let cancelled = CancelledAttempt { task, number, incarnation, cancelled_at };
                    (attempt.machine.clone(), cancelled)
                })
            },
        )
    }

    /// Marks machines for removal that have fallen silent or may run cancelled tasks for too long.
    pub(super) fn check_machines(
        &mut self,
        now: Duration,
        evidence: LeaderEvidence,
        effects: &mut EffectSink,
    ) {
        self.check_silent_machines(now, evidence, effects);
        let overdue = self.machines_with_overdue_tasks(now);
        if !self.permits(Action::ReclaimOverdue, now) {
            return;
        }
        for name in overdue {
            self.fleet.add_placed_machine(&name, now);
            if let Some(machine) = self.fleet.machines.get_mut(&name) {
                machine.removal.get_or_insert(RemovalReason::CancellationDue);
            }
        }
    }

    /// Marks machines with silent workers for removal, unless this node's own links may be at fault.
    fn check_silent_machines(&mut self, now: Duration, evidence: LeaderEvidence, effects: &mut EffectSink) {
        let receives_heartbeats = self.receives_heartbeats(now);
        // Without heartbeats, the links of this node may be at fault. In mode state-only, the permission
        // checked below rules that out: it is given only while no peer receives heartbeats either.
        let silence_counts = receives_heartbeats || self.evidence.mode() == Mode::StateOnly;
        if evidence.lease_valid && silence_counts && self.permits(Action::RemoveSilent, now) {
            if self.evidence.mark_silence_reliable() {
                self.fleet.reset_silence(now);
            }
            if self.fleet.mark_for_removal(now, &self.settings) > 0 {
                self.placement.request_pass();
            }
            if !self.evidence.is_cpu_starved() {
                self.probe_late_machines(now, effects);
            }
        } else {
            // A partitioned leader receives no heartbeats and must not hold the silence against the
            // machines: the cloud may carry out its requests when the partition ends, which would release
            // a healthy fleet. While the leader still receives some heartbeats, the silence of the other
            // machines keeps counting: if it were reset after every lost lease renewal, lost machines would
            // keep their tasks forever while the state service drops requests.
            if !receives_heartbeats {
                self.evidence.mark_silence_unreliable();
            }
            self.remove_silent_beyond_lease(now, evidence);
        }
    }

    /// Returns the machines to reclaim because the deadline of a cancellation is near and no evidence
    /// shows that the job's tasks on them have ended. They are reclaimed even in an outage or when all
    /// machines hang.
    fn machines_with_overdue_tasks(&self, now: Duration) -> Vec<MachineName> {
        let (deadline, reclaim_delay) = (cancellation_timeout(&self.settings), reclaim_delay(&self.settings));
        let workers_had_time =
            now.saturating_sub(self.started_at) > self.settings.failover_heartbeat_timeout();
        self.job_table
            .jobs
            .values()
            .filter(|e| {
                e.placed > 0 && e.cancelled_at.is_some_and(|at| now.saturating_sub(at) >= reclaim_delay)
            })
            .flat_map(|e| self.job_table.attempts_of(e).map(|a| (e.cancelled_at.unwrap_or_default(), a)))
            // An attempt placed by an earlier leader may have ended during that leader's term. The
            // first heartbeats to this leader show it, so wait for them if there is enough time. A
            // leader that starts shortly before the deadline stops waiting when only the time for the
            // release is left. Otherwise, a hung machine would keep its task past the deadline, until the
            // heartbeat timeout.
            .filter(|(cancelled_at, attempt)| {
                let latest_release = *cancelled_at + deadline.saturating_sub(RELEASE_DURATION);
                attempt.reported_status.is_some()
                    || attempt.offered_under_token.is_some()
                    || workers_had_time
                    || (self.started_at < *cancelled_at + deadline && now >= latest_release)
            })
            .map(|(_, attempt)| attempt.machine.clone())
            .collect()
    }

    /// Sends an empty direct command to each machine whose heartbeats are late, to find out whether its
    /// worker answers.
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
