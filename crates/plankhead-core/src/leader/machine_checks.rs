//! Checks for lost machines: workers that have fallen silent, and machines that may still run tasks
//! past a cancellation deadline.

use super::{Leader, LeaderEvidence};
use crate::calls::{CallPurpose, LeaderCall};
use crate::effects::EffectSink;
use crate::fleet::{Machine, RemovalReason};
use crate::jobs::attempt::Attempt;
use crate::jobs::job::JobPhase;
use crate::protocol::{MachineName, TaskId};
use crate::reclaim::deadlines::{cancellation_timeout, reclaim_delay};
use crate::reclaim::tasks::CancelledAttempt;
use plankhead_reachability::mode::Mode;
use plankhead_reachability::permission::Action;
use std::cell::LazyCell;
use std::collections::BTreeSet;
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
        self.inspect_unheard_machines(now, effects);
        let silence_counts =
            evidence.lease_valid && self.receives_heartbeats(now) && self.permits(Action::RemoveSilent, now);
        let reclaims = self.machines_to_reclaim(now, silence_counts);
        if !self.permits(Action::ReclaimOverdue, now) {
            return;
        }
        for name in reclaims {
            self.fleet.add_placed_machine(&name, now);
            if let Some(machine) = self.fleet.machines.get_mut(&name) {
                machine.removal.get_or_insert(RemovalReason::CancellationDue);
            }
        }
    }

    /// Inspects the workers of machines on which an earlier leader placed tasks of jobs that are
    /// cancelled by now, as long as this leader has not heard from them. Their silence in earlier terms
    /// is not known, so without inspections it would count from the start of this term only, and a
    /// series of short terms would never return a machine that hangs.
    fn inspect_unheard_machines(&mut self, now: Duration, effects: &mut EffectSink) {
        let unheard = self.unheard_machines(now);
        self.inspections.retain(|machine| unheard.contains(machine));
        for machine in unheard {
            let address = self.fleet.machines.get(&machine).map(|found| found.address.clone());
            let Some(address) = address.filter(|address| !address.is_empty()) else { continue };
            if self.inspections.begin(&machine, now) {
                let call = LeaderCall::Inspect { machine, sent: now };
                effects.inspect_worker(CallPurpose::Leader(self.token, call), address);
            }
        }
    }

    /// Returns the unconfirmed machines with attempts of cancelled jobs that were neither reported nor
    /// offered in this term. Empty once workers have had time to send heartbeats.
    fn unheard_machines(&self, now: Duration) -> BTreeSet<MachineName> {
        if self.workers_had_time(now) {
            return BTreeSet::new();
        }
        let is_unheard = |attempt: &&Attempt| {
            attempt.reported_status.is_none()
                && attempt.offered_under_token.is_none()
                && self.fleet.machines.get(&attempt.machine).is_some_and(|machine| !machine.confirmed)
        };
        let cancelled = self.job_table.jobs.values().filter(|entry| entry.cancelled_at.is_some());
        let attempts = cancelled.flat_map(|entry| self.job_table.attempts_of(entry));
        attempts.filter(is_unheard).map(|attempt| attempt.machine.clone()).collect()
    }

    /// Returns whether this term has lasted for so long that every worker that is alive has sent a
    /// heartbeat.
    fn workers_had_time(&self, now: Duration) -> bool {
        now.saturating_sub(self.started_at) > self.settings.failover_heartbeat_timeout()
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

    /// Returns the machines to reclaim because no evidence shows that the tasks of a cancelled job on them
    /// have ended, and the deadline of the cancellation is near. They are reclaimed even in an outage or
    /// when all machines hang. A machine whose worker does not answer inspections is reclaimed earlier if
    /// `silence_counts`, unless its zone may be cut off from this node.
    fn machines_to_reclaim(&self, now: Duration, silence_counts: bool) -> Vec<MachineName> {
        let cut_off_zones = LazyCell::new(|| self.fleet.cut_off_zones(now, &self.settings));
        let is_lost = |machine: &MachineName| {
            let found = self.fleet.machines.get(machine);
            silence_counts
                && self.inspections.is_unresponsive(machine)
                && found.is_some_and(|found| !cut_off_zones.contains(&found.pool.zone))
        };
        let deadline = cancellation_timeout(&self.settings);
        let reclaim_delay = reclaim_delay(&self.settings);
        let workers_had_time = self.workers_had_time(now);
        let is_due = |cancelled_at: Duration, attempt: &Attempt| {
            // An attempt placed by an earlier leader may have ended during that leader's term. The
            // first heartbeats to this leader show it, so wait for them if there is enough time. A
            // leader that starts shortly before the deadline stops waiting when only the time for the
            // release is left. Otherwise, a hung machine would keep its task past the deadline, until the
            // heartbeat timeout.
            let latest_release = cancelled_at + deadline.saturating_sub(RELEASE_DURATION);
            let is_evident = attempt.reported_status.is_some()
                || attempt.offered_under_token.is_some()
                || workers_had_time
                || self.inspections.is_unresponsive(&attempt.machine)
                || (self.started_at < cancelled_at + deadline && now >= latest_release);
            now.saturating_sub(cancelled_at) >= reclaim_delay && is_evident
        };
        let cancelled = self.job_table.jobs.values().filter(|entry| entry.placed > 0);
        cancelled
            .filter_map(|entry| Some((entry, entry.cancelled_at?)))
            .flat_map(|(entry, cancelled_at)| {
                self.job_table.attempts_of(entry).map(move |attempt| (cancelled_at, attempt))
            })
            .filter(|(cancelled_at, attempt)| is_lost(&attempt.machine) || is_due(*cancelled_at, attempt))
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
            let base_token = self.token_for(&name);
            let Some(machine) = self.fleet.machines.get_mut(&name) else { continue };
            let Some(incarnation) = machine.incarnation() else { continue };
            let (address, token) = machine.begin_command(base_token, false);
            let call = CallPurpose::Leader(self.token, LeaderCall::SendCommands { machine: name });
            effects.send_commands(call, address, token, incarnation, Vec::new());
        }
    }
}
