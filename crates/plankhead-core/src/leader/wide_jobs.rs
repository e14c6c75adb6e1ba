//! Raises of the fleet's target for jobs that are wider than the fleet.

use super::Leader;
use crate::fleet::Machine;
use crate::jobs::job::Resources;
use crate::placement::fair_share::Work;
use crate::protocol::Pool;
use std::collections::BTreeMap;

/// How many such tasks an empty machine holds.
fn tasks_per_machine(work: &Work, room: &Resources) -> u32 {
    let times = |have: f64, need: f64| if need > 0.0 { (have / need + 1e-6).floor() } else { f64::MAX };
    let Resources { cpus, gpus, ram_gb } = work.demand;
    times(room.cpus, cpus).min(times(room.gpus, gpus)).min(times(room.ram_gb, ram_gb)).min(1e6) as u32
}

/// Machines that a job takes at least at a time: a gang all of it, and so many in
/// each zone if it must be in one.
pub(super) fn min_machines(work: &Work, room: &Resources, zones: usize) -> u32 {
    let machines = work.min_simultaneous().div_ceil(tasks_per_machine(work, room).max(1));
    if work.gang && work.single_zone && machines > 1 {
        machines.saturating_mul(zones as u32)
    } else {
        machines
    }
}

/// The machines of a pool that are held, as far as they stay.
struct HeldPool {
    index: usize,
    zone: String,
    machines: u32,
    /// What one of its machines holds.
    room: Resources,
}

/// The room for a job that is wider than the fleet, at its best.
#[derive(Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct WidestRoom<'a> {
    /// Tasks that fit.
    tasks: u32,
    /// In which zone; empty for a job that may be in several.
    zone: &'a str,
}

/// A machine type that a job can use.
struct SuitableType {
    name: String,
    price: f64,
    /// The job must not run on spot machines.
    ordinary_only: bool,
}

impl Leader {
    /// A job wider than the fleet raises it at once. An array's width is one
    /// task, so this is a job that no machine we have can hold; a gang's is all of
    /// it, in one zone where asked.
    pub(super) fn raise_for_wide_jobs(&mut self, work: &[Work]) {
        let pools = self.held_pools();
        self.target.preferred_zone = None;
        for work in work {
            let widest = widest_room(work, &pools);
            if widest.tasks >= work.min_simultaneous() {
                continue;
            }
            let lacking = work.min_simultaneous() - widest.tasks;
            if !widest.zone.is_empty() {
                self.target.preferred_zone = Some(widest.zone.into());
            }
            let Some(suitable) = self.cheapest_suitable_type(work) else { continue };
            self.raise_target(work, lacking, &suitable);
        }
    }

    fn held_pools(&mut self) -> Vec<HeldPool> {
        let stays = |m: &&Machine| m.removal.is_none() && !m.has_preemption_notice;
        let mut held: BTreeMap<Pool, u32> = BTreeMap::new();
        for machine in self.fleet.machines.values().filter(stays) {
            *held.entry(machine.pool.clone()).or_default() += 1;
        }
        let mut pools = Vec::with_capacity(held.len());
        for (pool, machines) in held {
            let room = self.fleet.resources(&pool.machine_type).unwrap_or_default();
            let index = self.placement.index.pool_index(&pool);
            pools.push(HeldPool { index, zone: pool.zone, machines, room });
        }
        pools
    }

    /// The cheapest machine type that holds a task of the job and that the job allows.
    fn cheapest_suitable_type(&mut self, work: &Work) -> Option<SuitableType> {
        let mut suitable = Vec::new();
        for (name, machine_type) in &self.fleet.machine_types {
            let room =
                Resources { cpus: machine_type.cpus, gpus: machine_type.gpus, ram_gb: machine_type.ram };
            let index = &mut self.placement.index;
            let mut allows = |spot: bool| {
                machine_type.zones.iter().any(|zone| {
                    let pool = Pool { machine_type: name.clone(), zone: zone.clone(), spot };
                    work.allows(index.pool_index(&pool))
                })
            };
            let (allows_ordinary, allows_spot) = (allows(false), allows(true));
            if allows_ordinary && work.demand.fits(&room) {
                let (name, price) = (name.clone(), machine_type.price);
                suitable.push(SuitableType { name, price, ordinary_only: !allows_spot });
            }
        }
        suitable.sort_by(|a, b| a.price.total_cmp(&b.price));
        suitable.into_iter().next()
    }

    /// Raises the target so that so many more tasks of a job find room.
    fn raise_target(&mut self, work: &Work, lacking: u32, suitable: &SuitableType) {
        let name = &suitable.name;
        let room = self.fleet.resources(name).unwrap_or_default();
        let more = lacking.div_ceil(tasks_per_machine(work, &room).max(1));
        let machines = self.fleet.machines_of_type(name);
        let ordinary: u32 = self
            .fleet
            .pools(name)
            .iter()
            .filter(|pool| !pool.spot)
            .map(|pool| self.fleet.machines_staying(pool))
            .sum();
        let size = self.target.current().sizes.get(name).copied().unwrap_or_default();
        let may_raise = !self.scaling.is_renting();
        let raise_all = may_raise && size.machines <= machines;
        let raise_ordinary = may_raise && suitable.ordinary_only && size.ordinary < ordinary + more;
        self.target.raise(
            name,
            raise_all.then_some(machines + more),
            raise_ordinary.then_some(ordinary + more),
        );
    }
}

/// Where the most tasks of a job fit, over all machines held.
fn widest_room<'a>(work: &Work, pools: &'a [HeldPool]) -> WidestRoom<'a> {
    let mut zones: BTreeMap<&str, u32> = BTreeMap::new();
    for pool in pools.iter().filter(|pool| work.allows(pool.index)) {
        let zone = if work.gang && work.single_zone { pool.zone.as_str() } else { "" };
        let tasks = zones.entry(zone).or_default();
        *tasks = tasks.saturating_add(pool.machines.saturating_mul(tasks_per_machine(work, &pool.room)));
    }
    zones.into_iter().map(|(zone, tasks)| WidestRoom { tasks, zone }).max().unwrap_or_default()
}
