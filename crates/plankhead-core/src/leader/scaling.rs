//! Renting machines and giving them back.

use super::{Leader, LeaderEvidence, Stage, IDLE};
use crate::calls::PendingRental;
use crate::effects::EffectSink;
use crate::fleet::RemovalReason;
use crate::protocol::{MachineName, Pool};
use plankhead_fencing::action::{CloudAction, Rental, MAX_RENTAL_COUNT, MAX_RETURN_MACHINES};
use plankhead_fencing::intent::IdempotencyKey;
use std::time::Duration;

impl From<PendingRental> for Rental {
    fn from(rental: PendingRental) -> Self {
        let Pool { machine_type, zone, spot } = rental.pool;
        Self { name: rental.name, machine_type, zone, spot, count: rental.count }
    }
}

impl From<Rental> for PendingRental {
    fn from(rental: Rental) -> Self {
        let Rental { name, machine_type, zone, spot, count } = rental;
        Self { name, pool: Pool { machine_type, zone, spot }, count }
    }
}

/// A rental to be asked for again.
#[derive(Debug)]
pub(super) struct RentalRetry {
    pub due: Duration,
    pub rental: PendingRental,
}

impl Leader {
    pub(super) fn rent_machines(&mut self, now: Duration, effects: &mut EffectSink) {
        self.retry_rentals(now, effects);
        for (machine_type, size) in self.target.sizes.clone() {
            let coming = |spot: Option<bool>| -> u32 {
                let such = |r: &&PendingRental| {
                    r.pool.machine_type == machine_type && spot.is_none_or(|s| s == r.pool.spot)
                };
                self.rentals_in_flight.iter().filter(such).map(|r| r.count).sum()
            };
            let ordinary = self
                .fleet
                .pools(&machine_type)
                .iter()
                .filter(|p| !p.spot)
                .map(|p| self.fleet.machines_staying(p))
                .sum::<u32>();
            let strict = size.ordinary.saturating_sub(ordinary + coming(Some(false)));
            let want = size
                .machines
                .saturating_sub(self.fleet.machines_of_type(&machine_type) + coming(None))
                .max(strict);
            if want == 0 {
                continue;
            }
            let mut pools: Vec<Pool> = self.fleet.pools(&machine_type);
            pools.retain(|p| {
                self.fleet.may_rent_from(p, now) && !self.rentals_in_flight.iter().any(|r| r.pool == *p)
            });
            if strict > 0 {
                pools.retain(|p| !p.spot);
            }
            // Spot first, for its price; ordinary ones once spot is refused.
            let cheap = pools.iter().any(|p| p.spot);
            pools.retain(|p| p.spot == cheap);
            // A gang that waits for room in its zone comes before an even spread.
            let wanted = |p: &Pool| self.wanted_zone.as_ref() == Some(&p.zone);
            pools.sort_by_key(|p| (!wanted(p), self.fleet.machines_staying(p)));
            let mut left = if strict > 0 { strict } else { want };
            let share = left.div_ceil(pools.len().max(1) as u32);
            for pool in pools {
                let count = share.min(left).min(MAX_RENTAL_COUNT);
                if count == 0 || !self.cloud_budget.take(now, 1) {
                    break;
                }
                left -= count;
                self.rental_counter += 1;
                let name = format!("{}-{}-{}", self.settings.host, self.token, self.rental_counter);
                let rental = PendingRental { name, pool, count };
                self.rentals_in_flight.push(rental.clone());
                self.rent(rental, effects);
            }
        }
    }

    /// Asks again for rentals whose answers were lost, under their names.
    fn retry_rentals(&mut self, now: Duration, effects: &mut EffectSink) {
        let all = std::mem::take(&mut self.rental_retries);
        let (due, later): (Vec<_>, Vec<_>) = all.into_iter().partition(|retry| retry.due <= now);
        self.rental_retries = later;
        for retry in due {
            if self.cloud_budget.take(now, 1) {
                self.rent(retry.rental, effects);
            } else {
                self.rental_retries.push(retry);
            }
        }
    }

    fn rent(&mut self, rental: PendingRental, effects: &mut EffectSink) {
        let key = IdempotencyKey::new(&rental.name);
        let name = rental.name.clone();
        if !self.request_cloud_action(key, CloudAction::Rent(rental.into()), effects) {
            self.rentals_in_flight.retain(|other| other.name != name);
        }
    }

    /// Chooses the machines that go back: those above the target as they fall idle,
    /// and empty ones that are about to be taken.
    pub(super) fn remove_surplus(&mut self, now: Duration) {
        for (machine_type, size) in self.target.sizes.clone() {
            let mut surplus = self.fleet.machines_of_type(&machine_type).saturating_sub(size.machines);
            let mut idle: Vec<(bool, Duration, MachineName)> = self
                .fleet
                .machines
                .values()
                .filter(|m| {
                    m.pool.machine_type == machine_type && m.removal.is_none() && !m.has_preemption_notice
                })
                .filter(|m| self.job_table.by_machine(&m.name).next().is_none())
                .filter(|m| m.idle_since.is_some_and(|at| now.saturating_sub(at) >= IDLE))
                .map(|m| (m.pool.spot, m.rented_at, m.name.clone()))
                .collect();
            idle.sort();
            let mut ordinary = self
                .fleet
                .machines
                .values()
                .filter(|m| m.pool.machine_type == machine_type && !m.pool.spot && m.removal.is_none())
                .count() as u32;
            for (spot, _, host) in idle {
                if surplus == 0 {
                    break;
                }
                if !spot && ordinary <= size.ordinary {
                    continue;
                }
                if let Some(machine) = self.fleet.machines.get_mut(&host) {
                    machine.removal = Some(RemovalReason::Surplus);
                    surplus -= 1;
                    ordinary -= u32::from(!spot);
                }
            }
        }
        for machine in self.fleet.machines.values_mut() {
            let empty = self.job_table.by_machine(&machine.name).next().is_none();
            if machine.has_preemption_notice && machine.removal.is_none() && empty {
                machine.removal = Some(RemovalReason::Surplus);
            }
        }
    }

    /// Returns machines that are to go. A leader without its grant, who may be cut off
    /// or not lead any more, returns only what a cancellation or its blindness forces
    /// it to, and only while the cloud hears it.
    pub(super) fn release_removed_machines(
        &mut self,
        now: Duration,
        evidence: LeaderEvidence,
        effects: &mut EffectSink,
    ) {
        let free = evidence.lease_valid && self.stage == Stage::Ready;
        if now < self.next_release_at || !(free || self.is_cloud_reachable(now)) {
            return;
        }
        let may = |why: RemovalReason| match why {
            RemovalReason::CancellationDue => true,
            RemovalReason::HeartbeatTimeout => free || evidence.no_peer_leads,
            _ => free,
        };
        let machines = self.fleet.machines.values();
        let leaving = machines.filter_map(|m| m.removal.filter(|w| may(*w)).map(|why| (m.name.clone(), why)));
        let mut leaving: Vec<(MachineName, RemovalReason)> =
            leaving.filter(|(host, _)| !self.releasing.contains(host)).take(MAX_RETURN_MACHINES).collect();
        // What a cancellation forces goes alone, so that it can go without its record where
        // that can't be written.
        let due = leaving.iter().any(|(_, why)| *why == RemovalReason::CancellationDue);
        if due && self.intents.is_fenced() {
            leaving.retain(|(_, why)| *why == RemovalReason::CancellationDue);
        }
        if !leaving.is_empty() && self.cloud_budget.take(now, 1) {
            self.return_machines(&leaving, (due || !free, !due), effects);
        }
    }
}
