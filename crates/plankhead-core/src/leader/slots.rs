//! Slots: the view of machines that placement passes and replays work on.

use super::Leader;
use crate::fleet::Machine;
use crate::placement::backfill::{RunningTask, Slot};
use crate::protocol::MachineName;
use std::time::Duration;

/// The usual time that a task takes to exit after its stop was requested.
const STOP_DURATION: Duration = Duration::from_millis(300);
/// The minimum remaining boot time that is assumed for a machine whose presence is not confirmed yet.
const MIN_BOOT_TIME_LEFT: Duration = Duration::from_secs(3);

/// The machines that accept tasks and, at the same indices, their slots.
#[derive(Debug, Default)]
pub(super) struct AvailableSlots {
    pub machines: Vec<MachineName>,
    pub slots: Vec<Slot>,
}

impl Leader {
    /// Builds the part of a machine's slot that does not depend on the current time.
    fn build_slot(&mut self, name: &MachineName) -> Option<Slot> {
        let machine = self.fleet.machines.get(name)?;
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
        for task in self.job_table.by_machine(name) {
            let (Some(entry), Some(attempt)) =
                (self.job_table.jobs.get(&task.job), self.job_table.attempt(task))
            else {
                continue;
            };
            let spec = &entry.spec;
            let estimate = self.estimated_runtime(spec);
            let mut end = attempt.running_since.unwrap_or(attempt.placed_at) + estimate;
            let mut overdue_extension = if attempt.running_since.is_some() { estimate / 5 } else { estimate };
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
                (end, overdue_extension) = (Duration::ZERO, STOP_DURATION);
            }
            let team = self.team_index(spec).unwrap_or(0);
            slot.add_running(RunningTask {
                ends_at: end,
                overdue_extension,
                demand: spec.demand,
                team,
                is_reservation: false,
            });
        }
        Some(slot)
    }

    /// Returns the machines that accept tasks, with their slots. Slots of machines that have not changed
    /// since the previous call are taken from the cache.
    pub(super) fn available_slots(&mut self, now: Duration) -> AvailableSlots {
        for name in std::mem::take(&mut self.job_table.changed_machines) {
            if let Some(machine) = self.fleet.machines.get_mut(&name) {
                machine.cached_slot = None;
            }
        }
        let uncached: Vec<MachineName> = self
            .fleet
            .machines
            .values()
            .filter(|m| m.cached_slot.is_none())
            .map(|m| m.name.clone())
            .collect();
        for name in uncached {
            let slot = self.build_slot(&name);
            if let Some(machine) = self.fleet.machines.get_mut(&name) {
                machine.cached_slot = slot;
            }
        }
        let accepts_tasks = |m: &&Machine| m.removal.is_none() && !m.has_preemption_notice;
        let mut available = AvailableSlots::default();
        for machine in self.fleet.machines.values().filter(accepts_tasks) {
            let (Some(cached), Some(machine_type)) =
                (&machine.cached_slot, self.fleet.machine_types.get(&machine.pool.machine_type))
            else {
                continue;
            };
            let mut slot = cached.clone();
            slot.extend_overdue(now);
            slot.ready_at = if !machine.confirmed {
                (machine.rented_at + machine_type.boot_time).max(now + MIN_BOOT_TIME_LEFT)
            } else if machine.is_start_doubtful(now, self.settings.heartbeat_timeout()) {
                now + self.settings.heartbeat_interval
            } else {
                now.max(machine.no_starts_until)
            };
            available.machines.push(machine.name.clone());
            available.slots.push(slot);
        }
        available
    }
}
