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

impl Leader {
    /// A job wider than the fleet raises it at once. An array's width is one
    /// task, so this is a job that no machine we have can hold; a gang's is all of
    /// it, in one zone where asked.
    pub(super) fn raise_for_wide_jobs(&mut self, work: &[Work]) {
        let staying = |m: &&Machine| m.removal.is_none() && !m.has_preemption_notice;
        let mut held: BTreeMap<Pool, u32> = BTreeMap::new();
        for machine in self.fleet.machines.values().filter(staying) {
            *held.entry(machine.pool.clone()).or_default() += 1;
        }
        // Pool, zone, machines, and what one of them holds.
        let mut pools = Vec::new();
        for (pool, machines) in &held {
            let room = self.fleet.resources(&pool.machine_type).unwrap_or_default();
            pools.push((self.placement.index.pool_index(pool), pool.zone.clone(), *machines, room));
        }
        self.target.preferred_zone = None;
        for w in work {
            let mut zones: BTreeMap<&str, u32> = BTreeMap::new();
            for (_, zone, machines, room) in pools.iter().filter(|(p, ..)| w.allows(*p)) {
                let zone = if w.gang && w.single_zone { zone.as_str() } else { "" };
                let held = zones.entry(zone).or_default();
                *held = held.saturating_add(machines.saturating_mul(tasks_per_machine(w, room)));
            }
            let widest = zones.into_iter().map(|(zone, n)| (n, zone)).max();
            let (room, zone) = widest.unwrap_or_default();
            if room >= w.min_simultaneous() {
                continue;
            }
            let lacking = w.min_simultaneous() - room;
            if !zone.is_empty() {
                self.target.preferred_zone = Some(zone.into());
            }
            let mut fits = Vec::new();
            for (name, rig) in &self.fleet.machine_types {
                let room = Resources { cpus: rig.cpus, gpus: rig.gpus, ram_gb: rig.ram };
                let pool =
                    |zone: &String, spot| Pool { machine_type: name.clone(), zone: zone.clone(), spot };
                let ordinary =
                    rig.zones.iter().any(|z| w.allows(self.placement.index.pool_index(&pool(z, false))));
                let spot =
                    rig.zones.iter().any(|z| w.allows(self.placement.index.pool_index(&pool(z, true))));
                if ordinary && w.demand.fits(&room) {
                    fits.push((rig.price, name.clone(), !spot));
                }
            }
            fits.sort_by(|a, b| a.0.total_cmp(&b.0));
            let Some((_, rig, strict)) = fits.into_iter().next() else { continue };
            let count = self.fleet.machines_of_type(&rig);
            let more = lacking
                .div_ceil(tasks_per_machine(w, &self.fleet.resources(&rig).unwrap_or_default()).max(1));
            let ordinary: u32 = self
                .fleet
                .pools(&rig)
                .iter()
                .filter(|p| !p.spot)
                .map(|p| self.fleet.machines_staying(p))
                .sum();
            let size = self.target.current().sizes.get(&rig).copied().unwrap_or_default();
            let may_raise = !self.scaling.is_renting();
            let raise = (may_raise && size.machines <= count).then_some(count + more);
            let raise_ordinary =
                (may_raise && strict && size.ordinary < ordinary + more).then_some(ordinary + more);
            self.target.raise(&rig, raise, raise_ordinary);
        }
    }
}
