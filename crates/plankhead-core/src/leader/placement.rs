//! Placement passes: the assignment of pending tasks to machines.

use super::preemption::PassOutcome;
use super::slots::AvailableSlots;
use super::Leader;
use crate::effects::EffectSink;
use crate::jobs::job::{JobId, JobPhase, JobSpec, Resources};
use crate::jobs::job_table::JobEntry;
use crate::placement::backfill;
use crate::placement::fair_share::{jobs_within_guarantee, QuotaDemand, TeamUsage, Work};
use crate::placement::index::PlacementIndex;
use crate::settings::Settings;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// The additional time that a pass may wait for earlier placements to be written.
const MAX_PASS_DELAY: Duration = Duration::from_secs(1);
/// The weight of the latest run time in the moving average of its class.
const RUNTIME_SMOOTHING: f64 = 0.1;

/// The maximum number of jobs considered in one pass.
const MAX_JOBS_PER_PASS: usize = 400;

/// The pending work items and, at the same indices, the jobs that they belong to.
#[derive(Debug, Default)]
pub(super) struct PendingWork {
    pub jobs: Vec<JobId>,
    pub work: Vec<Work>,
}

/// A job with tasks to place, before its work item is built.
struct WaitingJob {
    id: JobId,
    spec: Arc<JobSpec>,
    team: usize,
    /// The index of its entry in the list of quota demands of all unfinished jobs.
    demand_index: usize,
}

/// The schedule of placement passes, and the numbering and statistics that they use.
#[derive(Debug)]
pub(super) struct Placement {
    /// The numbering of pools, zones and images.
    pub(super) index: PlacementIndex,
    /// Whether anything has changed since the last pass that may let tasks start.
    pass_needed: bool,
    next_pass_at: Duration,
    next_preemption_at: Duration,
    /// The index of each team.
    team_indices: HashMap<String, usize>,
    /// The average ratio of observed to estimated run time, by job class.
    runtime_ratios: HashMap<String, f64>,
}

impl Placement {
    pub(super) fn new(settings: &Settings, now: Duration) -> Self {
        Self {
            index: PlacementIndex::default(),
            pass_needed: true,
            next_pass_at: now,
            next_preemption_at: now,
            team_indices: settings.teams.keys().cloned().zip(0..).collect(),
            runtime_ratios: HashMap::new(),
        }
    }

    /// Requests a pass because of a change that may let tasks start. All changes before the next pass
    /// share it.
    pub(super) fn request_pass(&mut self) {
        self.pass_needed = true;
    }

    /// Returns whether a pass is needed and due. While earlier placements are not all written, the
    /// pass waits a little longer, so that more placements share a write.
    pub(super) fn is_pass_due(&self, now: Duration, all_written: bool) -> bool {
        let due = if all_written { self.next_pass_at } else { self.next_pass_at + MAX_PASS_DELAY };
        self.pass_needed && now >= due
    }

    /// Records that a pass begins and that the next one may begin at `next_at`.
    pub(super) fn pass_began(&mut self, next_at: Duration) {
        self.pass_needed = false;
        self.next_pass_at = next_at;
    }

    /// Returns when to check whether a pass is due, or `None` if no pass is needed. This is the regular
    /// time of the pass, or `retry` if that time has come and the pass only waits for earlier placements
    /// to be written.
    pub(super) fn next_pass_due(&self, now: Duration, retry: Duration) -> Option<Duration> {
        let due = if self.next_pass_at > now { self.next_pass_at } else { retry };
        self.pass_needed.then_some(due)
    }

    /// Updates the class average with the run time of a completed task, as a multiple of its estimate.
    pub(super) fn record_runtime(&mut self, class: &str, ratio: f64) {
        let mean = self.runtime_ratios.entry(class.to_owned()).or_insert(1.0);
        *mean += RUNTIME_SMOOTHING * (ratio - *mean);
    }

    /// Returns the index of a team.
    pub(super) fn team_index(&self, team: &str) -> Option<usize> {
        self.team_indices.get(team).copied()
    }

    /// Returns the average ratio of observed to estimated run time of a class; 1 if none is known.
    pub(super) fn runtime_ratio(&self, class: &str) -> f64 {
        self.runtime_ratios.get(class).copied().unwrap_or(1.0)
    }
}

impl Leader {
    /// Builds the work items of the jobs with tasks to place, up to the maximum per pass.
    pub(super) fn pending_work(&mut self, now: Duration, teams: &[TeamUsage]) -> PendingWork {
        let is_unfinished = |e: &JobEntry| e.phase == JobPhase::Active && e.done < e.spec.tasks;
        let mut demands = Vec::new();
        let mut waiting: Vec<WaitingJob> = Vec::new();
        for (id, entry) in self.job_table.jobs.iter().filter(|(_, e)| is_unfinished(e)) {
            let Some(team) = self.team_index(&entry.spec) else { continue };
            let (demand, unfinished) = (&entry.spec.demand, f64::from(entry.unfinished()));
            let resources =
                Resources { cpus: demand.cpus * unfinished, gpus: demand.gpus * unfinished, ram_gb: 0.0 };
            if !entry.revision_uncertain && entry.backoff_until <= now && entry.is_placeable() {
                let (id, spec) = (id.clone(), entry.spec.clone());
                waiting.push(WaitingJob { id, spec, team, demand_index: demands.len() });
            }
            demands.push(QuotaDemand { team, accepted_at: entry.accepted_at, resources });
        }
        if waiting.is_empty() {
            return PendingWork::default();
        }
        let guaranteed = jobs_within_guarantee(&demands, teams);
        let mut pending: Vec<(JobId, Work)> = Vec::with_capacity(waiting.len());
        for WaitingJob { id, spec, team, demand_index } in waiting {
            let mut work = self.whole_job_as_work(&spec, team, demands[demand_index].accepted_at);
            let Some(entry) = self.job_table.jobs.get(&id) else { continue };
            work.guaranteed = guaranteed[demand_index];
            work.pending = entry.pending();
            work.has_started = entry.first_unplaced > 0;
            work.attempts_by_zone = entry
                .attempts_by_zone
                .iter()
                .map(|(z, n)| (self.placement.index.zone_index(z), *n))
                .collect();
            pending.push((id, work));
        }
        if pending.len() > MAX_JOBS_PER_PASS {
            pending.sort_by_key(|(_, w)| (std::cmp::Reverse(w.priority), !w.guaranteed, w.latest_start));
            // The oldest of the jobs with no task placed so far or, if there are none, the oldest of all
            // gets at least the last place, so that a machine can be reserved for it however much more
            // urgent work there is.
            let oldest = (0..pending.len())
                .min_by_key(|i| (pending[*i].1.has_started, pending[*i].1.accepted_at))
                .unwrap_or(0);
            pending.swap(oldest.max(MAX_JOBS_PER_PASS - 1), MAX_JOBS_PER_PASS - 1);
            pending.truncate(MAX_JOBS_PER_PASS);
        }
        let (jobs, work) = pending.into_iter().unzip();
        PendingWork { jobs, work }
    }

    /// Places the tasks that can start now, then looks for tasks to preempt if that is due.
    pub(super) fn run_placement_pass(&mut self, now: Duration, effects: &mut EffectSink) {
        let mut teams = self.team_usage();
        let PendingWork { jobs, mut work } = self.pending_work(now, &teams);
        if work.is_empty() {
            return;
        }
        if self.inventory.is_complete() {
            self.raise_for_wide_jobs(&work);
        }
        let AvailableSlots { machines, mut slots } = self.available_slots(now);
        let max_starts = self.cpu_budget.max_starts_per_pass();
        let starts = backfill::pass_up_to(now, &mut slots, &mut work, &mut teams, max_starts);
        // A pass that reached its limit continues in another pass, after other due work.
        let cut_short = starts.iter().filter(|s| s.at <= now).count() >= max_starts;
        if cut_short {
            self.placement.request_pass();
        }
        for start in starts.into_iter().filter(|s| s.at <= now) {
            let name = &machines[start.slot_index];
            let zone = self.placement.index.zone_name(slots[start.slot_index].zone);
            if let Some(machine) = self.fleet.machines.get_mut(name) {
                let Some(incarnation) = machine.incarnation() else { continue };
                machine.idle_since = None;
                self.job_table.place(&jobs[start.work_index], name, incarnation, &zone, now);
            }
        }
        for (id, _) in jobs.iter().zip(&work).filter(|(_, w)| w.gang) {
            self.job_table.break_incomplete_gang(id);
        }
        if !cut_short && now >= self.placement.next_preemption_at {
            self.placement.next_preemption_at = now + self.cpu_budget.preemption_interval();
            let pass = PassOutcome { machines: &machines, slots: &slots, work: &mut work, teams: &mut teams };
            self.preempt(now, pass, effects);
        }
    }
}
