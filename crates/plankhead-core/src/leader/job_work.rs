//! Conversion of jobs to the work items of placement passes: estimates, objectives and team quotas.

use super::Leader;
use crate::jobs::job::{JobSpec, Resources};
use crate::placement::fair_share::{TeamUsage, Work};
use crate::settings::Team;
use std::time::Duration;

/// The time within which a job without an objective or a deadline should start.
const DEFAULT_START_WITHIN: Duration = Duration::from_secs(600);

impl Leader {
    /// Returns a job's estimated run time, corrected by the observed run times of its class.
    pub(super) fn estimated_runtime(&self, spec: &JobSpec) -> Duration {
        let ratio = self.placement.runtime_ratio(&spec.class);
        Duration::from_secs_f64((spec.estimated_runtime_s * ratio).clamp(0.1, 1e6))
    }

    /// Returns the latest time at which a job should start to meet its deadline and the objectives
    /// of its class.
    pub(super) fn latest_start(&self, spec: &JobSpec, accepted: Duration) -> Duration {
        let objective = self.settings.objectives.get(&spec.class).copied().unwrap_or_default();
        let for_completion = self
            .completion_objective(spec)
            .map(|within| (accepted + within).saturating_sub(self.estimated_runtime(spec)));
        let for_start = objective.start_within.map(|within| accepted + within);
        let default = accepted + DEFAULT_START_WITHIN;
        [for_completion, for_start].into_iter().flatten().min().unwrap_or(default)
    }

    /// Returns the latest time at which a task can start and still meet its objective if it is lost
    /// with its machine and has to run again. The loss is noticed only after the failover heartbeat
    /// timeout.
    fn latest_restart(&self, spec: &JobSpec, accepted: Duration) -> Duration {
        let needed = self.estimated_runtime(spec) * 2 + self.settings.failover_heartbeat_timeout();
        self.completion_objective(spec)
            .map_or(Duration::MAX, |within| (accepted + within).saturating_sub(needed))
    }

    /// Returns the time within which a job should finish: the shorter of its deadline and the
    /// objective of its class.
    pub(super) fn completion_objective(&self, spec: &JobSpec) -> Option<Duration> {
        let objective = self.settings.objectives.get(&spec.class).copied().unwrap_or_default();
        let deadline = spec.deadline_s.map(|d| Duration::from_secs_f64(d.min(1e7)));
        [deadline, objective.finish_within].into_iter().flatten().min()
    }

    /// Returns each team's quota and current usage, in the order of the teams.
    pub(super) fn team_usage(&self) -> Vec<TeamUsage> {
        let usage = |team: &Team| TeamUsage {
            guaranteed: Resources { cpus: team.guaranteed_cpus, gpus: team.guaranteed_gpus, ram_gb: 0.0 },
            limit: Resources { cpus: team.max_cpus, gpus: team.max_gpus, ram_gb: 0.0 },
            used: Resources::default(),
        };
        let mut usages: Vec<TeamUsage> = self.settings.teams.values().map(usage).collect();
        for entry in self.job_table.jobs.values().filter(|e| e.placed > 0) {
            if let Some(team) = self.team_index(&entry.spec) {
                let demand = &entry.spec.demand;
                let placed = f64::from(entry.placed);
                usages[team].used.add(&Resources {
                    cpus: demand.cpus * placed,
                    gpus: demand.gpus * placed,
                    ram_gb: demand.ram_gb * placed,
                });
            }
        }
        usages
    }

    /// Returns the index of the job's team.
    pub(super) fn team_index(&self, spec: &JobSpec) -> Option<usize> {
        self.placement.team_index(&spec.team)
    }

    /// Builds the work item for a whole job, as if none of its tasks had been placed.
    pub(super) fn whole_job_as_work(&mut self, spec: &JobSpec, team: usize, accepted: Duration) -> Work {
        Work {
            team,
            priority: spec.priority,
            guaranteed: false,
            accepted_at: accepted,
            latest_start: self.latest_start(spec, accepted),
            latest_restart: self.latest_restart(spec, accepted),
            demand: spec.demand,
            image: self.image_number(spec),
            image_gb: spec.image_gb,
            allowed_pools: self.placement.index.allowed_pools(spec),
            single_zone: spec.single_zone,
            max_per_zone: if spec.spread { spec.tasks.div_ceil(2) } else { u32::MAX },
            estimated_runtime: self.estimated_runtime(spec),
            pending: spec.tasks,
            gang: spec.gang,
            has_started: false,
            attempts_by_zone: Vec::new(),
        }
    }

    /// Returns the index of the job's image. If the placement index is full, all image indices and
    /// the record of which machines hold which images are reset.
    pub(super) fn image_number(&mut self, spec: &JobSpec) -> u32 {
        if let Some(image) = self.placement.index.image_index(&spec.image, spec.image_gb) {
            return image;
        }
        self.placement.index.clear_images();
        for machine in self.fleet.machines.values_mut() {
            machine.cached_images.clear();
            machine.cached_slot = None;
        }
        self.placement.index.image_index(&spec.image, spec.image_gb).unwrap_or(0)
    }
}
