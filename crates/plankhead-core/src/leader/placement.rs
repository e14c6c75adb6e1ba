//! Placement passes: which task goes where.

use super::preemption::PassOutcome;
use super::{Leader, MAX_WORK, STOPPING};
use crate::effects::EffectSink;
use crate::fleet::Machine;
use crate::jobs::job::{JobId, JobPhase, JobSpec, Resources};
use crate::jobs::job_table::JobEntry;
use crate::placement::backfill::{self, Running, Slot};
use crate::placement::fair_share::{guaranteed, QuotaDemand, TeamUsage, Work};
use crate::placement::index::PlacementIndex;
use crate::protocol::MachineName;
use crate::settings::{Settings, Team};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// How much longer a pass waits for earlier placements to be written.
const MAX_PASS_DELAY: Duration = Duration::from_secs(1);
/// How much the latest run time of a class counts beside the earlier ones.
const RUNTIME_SMOOTHING: f64 = 0.1;

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

    /// Run time over estimate of a class.
    fn runtime_ratio(&self, class: &str) -> f64 {
        self.runtime_ratios.get(class).copied().unwrap_or(1.0)
    }
}

impl Leader {
    pub(super) fn estimated_runtime(&self, spec: &JobSpec) -> Duration {
        let ratio = self.placement.runtime_ratio(&spec.class);
        Duration::from_secs_f64((spec.estimated_runtime_s * ratio).clamp(0.1, 1e6))
    }

    /// When a job should start at the latest, by its deadline and by what its
    /// class expects.
    pub(super) fn latest_start(&self, spec: &JobSpec, accepted: Duration) -> Duration {
        let expected = self.settings.objectives.get(&spec.class).copied().unwrap_or_default();
        let done = self
            .completion_objective(spec)
            .map(|within| (accepted + within).saturating_sub(self.estimated_runtime(spec)));
        let wait = expected.start_within.map(|within| accepted + within);
        let default = accepted + Duration::from_secs(600);
        [done, wait].into_iter().flatten().min().unwrap_or(default)
    }

    /// Until when a task can start so that it may be lost with its machine, unseen,
    /// and still be done in time.
    fn latest_restart(&self, spec: &JobSpec, accepted: Duration) -> Duration {
        let need = self.estimated_runtime(spec) * 2 + self.settings.failover_heartbeat_timeout();
        self.completion_objective(spec)
            .map_or(Duration::MAX, |within| (accepted + within).saturating_sub(need))
    }

    /// The time in which a job should be done, by its deadline and its class.
    pub(super) fn completion_objective(&self, spec: &JobSpec) -> Option<Duration> {
        let expected = self.settings.objectives.get(&spec.class).copied().unwrap_or_default();
        let deadline = spec.deadline_s.map(|d| Duration::from_secs_f64(d.min(1e7)));
        [deadline, expected.finish_within].into_iter().flatten().min()
    }

    pub(super) fn team_usage(&self) -> Vec<TeamUsage> {
        let room = |team: &Team| TeamUsage {
            guaranteed: Resources { cpus: team.guaranteed_cpus, gpus: team.guaranteed_gpus, ram_gb: 0.0 },
            limit: Resources { cpus: team.max_cpus, gpus: team.max_gpus, ram_gb: 0.0 },
            used: Resources::default(),
        };
        let mut rooms: Vec<TeamUsage> = self.settings.teams.values().map(room).collect();
        for entry in self.job_table.jobs.values().filter(|e| e.placed > 0) {
            if let Some(team) = self.team_index(&entry.spec) {
                let each = &entry.spec.demand;
                let many = f64::from(entry.placed);
                rooms[team].used.add(&Resources {
                    cpus: each.cpus * many,
                    gpus: each.gpus * many,
                    ram_gb: each.ram_gb * many,
                });
            }
        }
        rooms
    }

    /// The place of the job's team among the teams.
    pub(super) fn team_index(&self, spec: &JobSpec) -> Option<usize> {
        self.placement.team_indices.get(&spec.team).copied()
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

    /// The pending work, with the ids of its jobs.
    pub(super) fn pending_work(&mut self, now: Duration, teams: &[TeamUsage]) -> (Vec<JobId>, Vec<Work>) {
        let live = |e: &JobEntry| e.phase == JobPhase::Active && e.done < e.spec.tasks;
        let mut needs = Vec::new();
        let mut waiting: Vec<(JobId, Arc<JobSpec>, usize, usize)> = Vec::new();
        for (id, entry) in self.job_table.jobs.iter().filter(|(_, e)| live(e)) {
            let Some(team) = self.team_index(&entry.spec) else { continue };
            let (each, many) = (&entry.spec.demand, f64::from(entry.unfinished()));
            let need = Resources { cpus: each.cpus * many, gpus: each.gpus * many, ram_gb: 0.0 };
            if !entry.revision_uncertain && entry.backoff_until <= now && entry.is_placeable() {
                waiting.push((id.clone(), entry.spec.clone(), team, needs.len()));
            }
            needs.push(QuotaDemand { team, accepted_at: entry.accepted_at, resources: need });
        }
        if waiting.is_empty() {
            return Default::default();
        }
        let guaranteed = guaranteed(&needs, teams);
        let mut both: Vec<(JobId, Work)> = Vec::with_capacity(waiting.len());
        for (id, spec, team, need) in waiting {
            let mut work = self.whole_job_as_work(&spec, team, needs[need].accepted_at);
            let Some(entry) = self.job_table.jobs.get(&id) else { continue };
            work.guaranteed = guaranteed[need];
            work.pending = entry.pending();
            work.has_started = entry.first_unplaced > 0;
            work.attempts_by_zone = entry
                .attempts_by_zone
                .iter()
                .map(|(z, n)| (self.placement.index.zone_index(z), *n))
                .collect();
            both.push((id, work));
        }
        if both.len() > MAX_WORK {
            both.sort_by_key(|(_, w)| (std::cmp::Reverse(w.priority), !w.guaranteed, w.latest_start));
            // Whoever has waited longest has a machine kept, however much urgent
            // work stands before it.
            let oldest =
                (0..both.len()).min_by_key(|i| (both[*i].1.has_started, both[*i].1.accepted_at)).unwrap_or(0);
            both.swap(oldest.max(MAX_WORK - 1), MAX_WORK - 1);
            both.truncate(MAX_WORK);
        }
        both.into_iter().unzip()
    }

    /// A machine as the passes see it, whatever the time.
    fn build_slot(&mut self, host: &MachineName) -> Option<Slot> {
        let machine = self.fleet.machines.get(host)?;
        let total = self.fleet.resources(&machine.pool.machine_type)?;
        let machine_type = self.fleet.machine_types.get(&machine.pool.machine_type)?;
        let mut slot = Slot {
            pool: self.placement.index.pool_index(&machine.pool),
            zone: self.placement.index.zone_index(&machine.pool.zone),
            price: if machine.pool.spot { machine_type.spot_price } else { machine_type.price },
            free: total,
            ready_at: Duration::ZERO,
            running: Vec::new(),
            images: machine.cached_images.iter().copied().collect(),
            fetches_in_progress: 0,
            image_fetch_gb_per_s: machine_type.image_fetch_gb_per_s,
        };
        for task in self.job_table.by_machine(host) {
            let (Some(entry), Some(attempt)) =
                (self.job_table.jobs.get(&task.job), self.job_table.attempt(task))
            else {
                continue;
            };
            let spec = &entry.spec;
            let estimate = self.estimated_runtime(spec);
            let mut end = attempt.running_since.unwrap_or(attempt.placed_at) + estimate;
            let mut grace = if attempt.running_since.is_some() { estimate / 5 } else { estimate };
            let image = self.placement.index.image_index(&spec.image, spec.image_gb);
            if let Some(image) = image.filter(|i| !slot.images.contains(i)) {
                slot.fetches_in_progress += 1;
                slot.images.push(image);
                if slot.image_fetch_gb_per_s > 0.0 {
                    let fetch = (spec.image_gb / slot.image_fetch_gb_per_s).min(3600.0);
                    end += Duration::from_secs_f64(fetch);
                }
            }
            if attempt.stop_requested {
                (end, grace) = (Duration::ZERO, STOPPING);
            }
            let team = self.team_index(spec).unwrap_or(0);
            slot.add_running(Running {
                ends_at: end,
                grace,
                demand: spec.demand,
                team,
                is_reservation: false,
            });
        }
        Some(slot)
    }

    /// The machines that take tasks, as passes see them. What has not changed
    /// since the last time is taken from there.
    pub(super) fn available_slots(&mut self, now: Duration) -> Vec<(MachineName, Slot)> {
        for host in std::mem::take(&mut self.job_table.changed_machines) {
            if let Some(machine) = self.fleet.machines.get_mut(&host) {
                machine.cached_slot = None;
            }
        }
        let new: Vec<MachineName> = self
            .fleet
            .machines
            .values()
            .filter(|m| m.cached_slot.is_none())
            .map(|m| m.name.clone())
            .collect();
        for host in new {
            let slot = self.build_slot(&host);
            if let Some(machine) = self.fleet.machines.get_mut(&host) {
                machine.cached_slot = slot;
            }
        }
        let usable = |m: &&Machine| m.removal.is_none() && !m.has_preemption_notice;
        let mut slots = Vec::with_capacity(self.fleet.machines.len());
        for machine in self.fleet.machines.values().filter(usable) {
            let (Some(sketch), Some(machine_type)) =
                (&machine.cached_slot, self.fleet.machine_types.get(&machine.pool.machine_type))
            else {
                continue;
            };
            let mut slot = sketch.clone();
            slot.extend_overdue(now);
            slot.ready_at = if !machine.confirmed {
                (machine.rented_at + machine_type.boot_time).max(now + Duration::from_secs(3))
            } else if machine.is_start_doubtful(now, self.settings.heartbeat_timeout()) {
                now + self.settings.heartbeat_interval
            } else {
                now.max(machine.no_starts_until)
            };
            slots.push((machine.name.clone(), slot));
        }
        slots
    }

    /// Starts what may start now. Several changes share a pass.
    pub(super) fn run_placement_pass(&mut self, now: Duration, effects: &mut EffectSink) {
        let mut teams = self.team_usage();
        let (ids, mut work) = self.pending_work(now, &teams);
        if work.is_empty() {
            return;
        }
        if self.inventory.is_complete() {
            self.raise_for_wide_jobs(&work);
        }
        let (hosts, mut slots): (Vec<MachineName>, Vec<Slot>) = self.available_slots(now).into_iter().unzip();
        let most = self.cpu_budget.max_starts_per_pass();
        let starts = backfill::pass_up_to(now, &mut slots, &mut work, &mut teams, most);
        // The rest has its turn after what else there is to do.
        let cut = starts.iter().filter(|s| s.at <= now).count() >= most;
        if cut {
            self.placement.request_pass();
        }
        for start in starts.into_iter().filter(|s| s.at <= now) {
            let host = &hosts[start.slot_index];
            let zone = self.placement.index.zone_name(slots[start.slot_index].zone);
            if let Some(machine) = self.fleet.machines.get_mut(host) {
                let Some(shift) = machine.incarnation() else { continue };
                machine.idle_since = None;
                self.job_table.place(&ids[start.work_index], host, shift, &zone, now);
            }
        }
        for (id, _) in ids.iter().zip(&work).filter(|(_, w)| w.gang) {
            self.job_table.break_incomplete_gang(id);
        }
        if !cut && now >= self.placement.next_preemption_at {
            self.placement.next_preemption_at = now + self.cpu_budget.preemption_interval();
            let pass = PassOutcome { machines: &hosts, slots: &slots, work: &mut work, teams: &mut teams };
            self.preempt(now, pass, effects);
        }
    }
}
