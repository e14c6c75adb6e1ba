//! Jobs as work for placement passes: estimates, objectives and the teams' quotas.

use super::Leader;
use crate::jobs::job::{JobSpec, Resources};
use crate::placement::fair_share::{TeamUsage, Work};
use crate::settings::Team;
use std::time::Duration;

/// When a job without any objective should start at the latest.
const DEFAULT_START_WITHIN: Duration = Duration::from_secs(600);

impl Leader {
    /// A job's estimated run time, corrected by how long jobs of its class really ran.
    pub(super) fn estimated_runtime(&self, spec: &JobSpec) -> Duration {
        let ratio = self.placement.runtime_ratio(&spec.class);
        Duration::from_secs_f64((spec.estimated_runtime_s * ratio).clamp(0.1, 1e6))
    }

    /// When a job should start at the latest, by its deadline and by what its
    /// class expects.
    pub(super) fn latest_start(&self, spec: &JobSpec, accepted: Duration) -> Duration {
        let objective = self.settings.objectives.get(&spec.class).copied().unwrap_or_default();
        let done = self
            .completion_objective(spec)
            .map(|within| (accepted + within).saturating_sub(self.estimated_runtime(spec)));
        let wait = objective.start_within.map(|within| accepted + within);
        let default = accepted + DEFAULT_START_WITHIN;
        [done, wait].into_iter().flatten().min().unwrap_or(default)
    }

    /// Until when a task can start so that it may be lost with its machine, unseen,
    /// and still be done in time.
    fn latest_restart(&self, spec: &JobSpec, accepted: Duration) -> Duration {
        let needed = self.estimated_runtime(spec) * 2 + self.settings.failover_heartbeat_timeout();
        self.completion_objective(spec)
            .map_or(Duration::MAX, |within| (accepted + within).saturating_sub(needed))
    }

    /// The time in which a job should be done, by its deadline and its class.
    pub(super) fn completion_objective(&self, spec: &JobSpec) -> Option<Duration> {
        let objective = self.settings.objectives.get(&spec.class).copied().unwrap_or_default();
        let deadline = spec.deadline_s.map(|d| Duration::from_secs_f64(d.min(1e7)));
        [deadline, objective.finish_within].into_iter().flatten().min()
    }

    /// What each team may use and uses, in the order of the teams.
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

    /// The place of the job's team among the teams.
    pub(super) fn team_index(&self, spec: &JobSpec) -> Option<usize> {
        self.placement.team_index(&spec.team)
    }

    /// A whole job as work for a pass.
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

    /// The number of the job's image. When there are too many, what machines
    /// hold is learned anew.
    pub(super) fn image_number(&mut self, spec: &JobSpec) -> u32 {
        if let Some(image) = self.placement.index.image_index(&spec.image, spec.image_gb) {
            return image;
        }
        self.placement.index.forget_images();
        for machine in self.fleet.machines.values_mut() {
            machine.cached_images.clear();
            machine.cached_slot = None;
        }
        self.placement.index.image_index(&spec.image, spec.image_gb).unwrap_or(0)
    }
}
