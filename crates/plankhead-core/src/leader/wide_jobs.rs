//! Increases of the target for jobs that need more room at once than the whole fleet has.

use super::Leader;
use crate::fleet::Machine;
use crate::jobs::job::Resources;
use crate::placement::fair_share::Work;
use crate::protocol::Pool;
use std::collections::BTreeMap;

/// Returns the number of the job's tasks that fit on an empty machine with these resources.
fn tasks_per_machine(work: &Work, room: &Resources) -> u32 {
    // The addend makes up for rounding errors of decimal amounts.
    let times = |have: f64, need: f64| if need > 0.0 { (have / need + 1e-6).floor() } else { f64::MAX };
    let Resources { cpus, gpus, ram_gb } = work.demand;
    times(room.cpus, cpus).min(times(room.gpus, gpus)).min(times(room.ram_gb, ram_gb)).min(1e6) as u32
}

/// Returns the smallest number of machines on which the job can make progress: enough for one task, or
/// for all tasks of a gang. For a gang that must run in one zone and needs several machines, this number
/// is multiplied by the number of zones, because rentals are spread over the zones.
pub(super) fn min_machines(work: &Work, room: &Resources, zones: usize) -> u32 {
    let machines = work.min_simultaneous().div_ceil(tasks_per_machine(work, room).max(1));
    if work.gang && work.single_zone && machines > 1 {
        machines.saturating_mul(zones as u32)
    } else {
        machines
    }
}

/// The machines held in a pool, without those marked for removal or with a preemption notice.
struct HeldPool {
    /// The pool's number in the placement index.
    index: usize,
    zone: String,
    machines: u32,
    /// The resources of one machine.
    room: Resources,
}

/// The largest number of tasks of a job that fit on the fleet, whatever runs there now.
#[derive(Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct WidestRoom<'a> {
    /// The number of tasks that fit.
    tasks: u32,
    /// The zone, for a gang that must run in one zone; otherwise empty.
    zone: &'a str,
}

/// A machine type that a job can use.
struct SuitableType {
    name: String,
    price: f64,
    /// Whether the job must not run on spot machines.
    ordinary_only: bool,
}

impl Leader {
    /// Raises the target at once for jobs that the fleet cannot hold even when empty. For a job array,
    /// this means that no machine can hold one of its tasks; for a gang, that its tasks do not all fit at
    /// the same time, or not within one zone if the job requires that.
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

    /// Returns the pools that have machines that stay, each with the count of these machines.
    fn held_pools(&mut self) -> Vec<HeldPool> {
        let is_staying = |m: &&Machine| m.removal.is_none() && !m.has_preemption_notice;
        let mut held: BTreeMap<Pool, u32> = BTreeMap::new();
        for machine in self.fleet.machines.values().filter(is_staying) {
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

    /// Returns the cheapest machine type that the job allows and that can hold one of its tasks.
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

    /// Raises the target so that `lacking` more tasks of a job find room.
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

/// Returns the most tasks of a job that fit on the machines held, and the zone if it must run in one.
fn widest_room<'a>(work: &Work, pools: &'a [HeldPool]) -> WidestRoom<'a> {
    let mut zones: BTreeMap<&str, u32> = BTreeMap::new();
    for pool in pools.iter().filter(|pool| work.allows(pool.index)) {
        let zone = if work.gang && work.single_zone { pool.zone.as_str() } else { "" };
        let tasks = zones.entry(zone).or_default();
        *tasks = tasks.saturating_add(pool.machines.saturating_mul(tasks_per_machine(work, &pool.room)));
    }
    zones.into_iter().map(|(zone, tasks)| WidestRoom { tasks, zone }).max().unwrap_or_default()
}
