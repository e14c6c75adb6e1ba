//! Placement passes: which task goes where.

use super::preemption::PassOutcome;
use super::slots::AvailableSlots;
use super::Leader;
use crate::effects::EffectSink;
use crate::jobs::job::{JobId, JobPhase, JobSpec, Resources};
use crate::jobs::job_table::JobEntry;
use crate::placement::backfill;
use crate::placement::fair_share::{guaranteed, QuotaDemand, TeamUsage, Work};
use crate::placement::index::PlacementIndex;
use crate::settings::Settings;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// How much longer a pass waits for earlier placements to be written.
const MAX_PASS_DELAY: Duration = Duration::from_secs(1);
/// How much the latest run time of a class counts beside the earlier ones.
const RUNTIME_SMOOTHING: f64 = 0.1;

/// Jobs that one pass looks at.
const MAX_JOBS_PER_PASS: usize = 400;

/// The pending work, each with its job at the same place.
#[derive(Debug, Default)]
pub(super) struct PendingWork {
    pub jobs: Vec<JobId>,
    pub work: Vec<Work>,
}

/// A job with tasks to be placed, before its work is known.
struct WaitingJob {
    id: JobId,
    spec: Arc<JobSpec>,
    team: usize,
    /// The place of its demand among those of all live jobs.
    demand_index: usize,
}

/// When passes are due, and what they know beside the jobs and the fleet.
#[derive(Debug)]
pub(super) struct Placement {
    /// The numbers of pools, zones and images.
    pub(super) index: PlacementIndex,
    /// Something changed that may let tasks start.
    pass_needed: bool,
    next_pass_at: Duration,
    next_preemption_at: Duration,
    /// Each team's place among the teams.
    team_indices: HashMap<String, usize>,
    /// Run time over estimate, by class.
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

    /// Something changed that may let tasks start.
    pub(super) fn request_pass(&mut self) {
        self.pass_needed = true;
    }

    /// Whether a pass is needed and due. While earlier placements are not all written it
    /// waits a little longer, so that more of them go into one write.
    pub(super) fn is_pass_due(&self, now: Duration, all_written: bool) -> bool {
        let due = if all_written { self.next_pass_at } else { self.next_pass_at + MAX_PASS_DELAY };
        self.pass_needed && now >= due
    }

    /// A pass begins; the next one may begin at `next_at`.
    pub(super) fn pass_began(&mut self, next_at: Duration) {
        self.pass_needed = false;
        self.next_pass_at = next_at;
    }

    /// When a needed pass is to be looked at; `retry`: when to look again at one that waits.
    pub(super) fn next_pass_due(&self, now: Duration, retry: Duration) -> Option<Duration> {
        let due = if self.next_pass_at > now { self.next_pass_at } else { retry };
        self.pass_needed.then_some(due)
    }

    /// Takes in how long a task ran, as a multiple of its estimate.
    pub(super) fn record_runtime(&mut self, class: &str, ratio: f64) {
        let mean = self.runtime_ratios.entry(class.to_owned()).or_insert(1.0);
        *mean += RUNTIME_SMOOTHING * (ratio - *mean);
    }

    /// A team's place among the teams.
    pub(super) fn team_index(&self, team: &str) -> Option<usize> {
        self.team_indices.get(team).copied()
    }

    /// Run time over estimate of a class.
    pub(super) fn runtime_ratio(&self, class: &str) -> f64 {
        self.runtime_ratios.get(class).copied().unwrap_or(1.0)
    }
}

impl Leader {
    /// The pending work, with the ids of its jobs.
    pub(super) fn pending_work(&mut self, now: Duration, teams: &[TeamUsage]) -> PendingWork {
        let live = |e: &JobEntry| e.phase == JobPhase::Active && e.done < e.spec.tasks;
        let mut demands = Vec::new();
        let mut waiting: Vec<WaitingJob> = Vec::new();
        for (id, entry) in self.job_table.jobs.iter().filter(|(_, e)| live(e)) {
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
        let guaranteed = guaranteed(&demands, teams);
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
            // The job that has waited longest has a machine kept, however much urgent
            // work stands before it.
            let oldest = (0..pending.len())
                .min_by_key(|i| (pending[*i].1.has_started, pending[*i].1.accepted_at))
                .unwrap_or(0);
            pending.swap(oldest.max(MAX_JOBS_PER_PASS - 1), MAX_JOBS_PER_PASS - 1);
            pending.truncate(MAX_JOBS_PER_PASS);
        }
        let (jobs, work) = pending.into_iter().unzip();
        PendingWork { jobs, work }
    }

    /// Starts what may start now. Several changes share a pass.
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
        // The rest has its turn after what else there is to do.
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
