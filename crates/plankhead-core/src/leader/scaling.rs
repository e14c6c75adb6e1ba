//! Scaling out and in: renting machines and releasing them.

use super::intents::{LeavingMachine, ReturnForce};
use super::{Leader, LeaderEvidence, Size, RETRY_INTERVAL};
use crate::calls::PendingRental;
use crate::effects::EffectSink;
use crate::fleet::{Machine, RemovalReason};
use crate::protocol::{CallError, CloudReply, LogLevel, MachineName, Pool};
use crate::settings::Settings;
use crate::token_bucket::TokenBucket;
use plankhead_fencing::action::{CloudAction, Rental, MAX_RENTAL_COUNT, MAX_RETURN_MACHINES};
use plankhead_fencing::intent::IdempotencyKey;
use std::collections::BTreeSet;
use std::time::Duration;

/// A machine without work goes back after this time at the earliest.
const MIN_IDLE_TIME: Duration = Duration::from_secs(3);
/// The pause before a rental whose answer was lost is asked for again.
const RENTAL_RETRY_INTERVAL: Duration = RETRY_INTERVAL.saturating_mul(4);
/// The pause after a release that failed.
const RELEASE_RETRY_INTERVAL: Duration = RETRY_INTERVAL.saturating_mul(2);

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
struct RentalRetry {
    due: Duration,
    rental: PendingRental,
}

/// Machines of a type that the target asks for beyond those held or being rented.
#[derive(Debug, Clone, Copy)]
struct MissingMachines {
    total: u32,
    /// How many of them must not be spot.
    ordinary: u32,
}

/// What is under way with the cloud.
#[derive(Debug)]
pub(super) struct Scaling {
    cloud_budget: TokenBucket,
    /// Numbers the rentals of this term.
    rental_counter: u64,
    /// Rentals without a final answer.
    rentals_in_flight: Vec<PendingRental>,
    rental_retries: Vec<RentalRetry>,
    /// Machines whose release was requested.
    releasing: BTreeSet<MachineName>,
    next_release_at: Duration,
}

impl Scaling {
    pub(super) fn new(settings: &Settings, now: Duration) -> Self {
        let per_s = settings.cloud_requests_per_s;
        Self {
            cloud_budget: TokenBucket::new(per_s * 0.8, per_s),
            rental_counter: 0,
            rentals_in_flight: Vec::new(),
            rental_retries: Vec::new(),
            releasing: BTreeSet::new(),
            next_release_at: now,
        }
    }

    /// Takes one request to the cloud from the budget; false: there is none left.
    pub(super) fn take_request(&mut self, now: Duration) -> bool {
        self.cloud_budget.take(now, 1)
    }

    /// Whether some rental has no final answer yet.
    pub(super) fn is_renting(&self) -> bool {
        !self.rentals_in_flight.is_empty()
    }

    /// Has a rental asked for again as soon as the cloud's rate allows.
    pub(super) fn retry_rental(&mut self, now: Duration, rental: PendingRental) {
        self.rentals_in_flight.push(rental.clone());
        self.rental_retries.push(RentalRetry { due: now, rental });
    }

    /// The release of these machines was requested.
    pub(super) fn release_requested(&mut self, machines: impl IntoIterator<Item = MachineName>) {
        self.releasing.extend(machines);
    }

    fn rental_ended(&mut self, name: &str) {
        self.rentals_in_flight.retain(|rental| rental.name != name);
    }
}

impl Leader {
    /// Rents machines up to the target, within the cloud's rate.
    pub(super) fn rent_machines(&mut self, now: Duration, effects: &mut EffectSink) {
        self.retry_rentals(now, effects);
        for (machine_type, size) in self.target.current().sizes.clone() {
            let missing = self.missing_machines(&machine_type, size);
            if missing.total > 0 {
                self.rent_missing(now, &machine_type, missing, effects);
            }
        }
    }

    /// How many machines of a type are neither held nor being rented.
    fn missing_machines(&self, machine_type: &str, size: Size) -> MissingMachines {
        let in_flight = |ordinary_only: bool| -> u32 {
            let counts = |rental: &&PendingRental| {
                rental.pool.machine_type == machine_type && !(ordinary_only && rental.pool.spot)
            };
            self.scaling.rentals_in_flight.iter().filter(counts).map(|rental| rental.count).sum()
        };
        let held_ordinary = self
            .fleet
            .pools(machine_type)
            .iter()
            .filter(|pool| !pool.spot)
            .map(|pool| self.fleet.machines_staying(pool))
            .sum::<u32>();
        let ordinary = size.ordinary.saturating_sub(held_ordinary + in_flight(true));
        let held = self.fleet.machines_of_type(machine_type);
        let total = size.machines.saturating_sub(held + in_flight(false)).max(ordinary);
        MissingMachines { total, ordinary }
    }

    /// Rents missing machines of a type, spread over its pools. Where ordinary ones are
    /// missing, only these are rented for now.
    fn rent_missing(
        &mut self,
        now: Duration,
        machine_type: &str,
        missing: MissingMachines,
        effects: &mut EffectSink,
    ) {
        let ordinary_only = missing.ordinary > 0;
        let pools = self.pools_to_rent_from(now, machine_type, ordinary_only);
        let mut left = if ordinary_only { missing.ordinary } else { missing.total };
        let per_pool = left.div_ceil(pools.len().max(1) as u32);
        for pool in pools {
            let count = per_pool.min(left).min(MAX_RENTAL_COUNT);
            if count == 0 || !self.scaling.take_request(now) {
                break;
            }
            left -= count;
            self.scaling.rental_counter += 1;
            let name = format!("{}-{}-{}", self.settings.host, self.token, self.scaling.rental_counter);
            let rental = PendingRental { name, pool, count };
            self.scaling.rentals_in_flight.push(rental.clone());
            self.rent(rental, effects);
        }
    }

    /// The pools of a type that machines may be rented from now, the preferred ones first.
    fn pools_to_rent_from(&self, now: Duration, machine_type: &str, ordinary_only: bool) -> Vec<Pool> {
        let mut pools: Vec<Pool> = self.fleet.pools(machine_type);
        pools.retain(|pool| {
            self.fleet.may_rent_from(pool, now)
                && !self.scaling.rentals_in_flight.iter().any(|rental| rental.pool == *pool)
        });
        if ordinary_only {
            pools.retain(|pool| !pool.spot);
        }
        // Spot first, for its price; ordinary ones once spot is refused.
        let any_spot = pools.iter().any(|pool| pool.spot);
        pools.retain(|pool| pool.spot == any_spot);
        // A gang that waits for room in its zone comes before an even spread.
        let is_preferred = |pool: &Pool| self.target.preferred_zone.as_ref() == Some(&pool.zone);
        pools.sort_by_key(|pool| (!is_preferred(pool), self.fleet.machines_staying(pool)));
        pools
    }

    /// Asks again for rentals whose answers were lost, under their names.
    fn retry_rentals(&mut self, now: Duration, effects: &mut EffectSink) {
        let all = std::mem::take(&mut self.scaling.rental_retries);
        let (due, later): (Vec<_>, Vec<_>) = all.into_iter().partition(|retry| retry.due <= now);
        self.scaling.rental_retries = later;
        for retry in due {
            if self.scaling.take_request(now) {
                self.rent(retry.rental, effects);
            } else {
                self.scaling.rental_retries.push(retry);
            }
        }
    }

    fn rent(&mut self, rental: PendingRental, effects: &mut EffectSink) {
        let key = IdempotencyKey::new(&rental.name);
        let name = rental.name.clone();
        if !self.request_cloud_action(key, CloudAction::Rent(rental.into()), effects) {
            self.scaling.rental_ended(&name);
        }
    }

    /// Marks machines for release: those above the target as they fall idle, and empty
    /// ones with a preemption notice.
    pub(super) fn remove_surplus(&mut self, now: Duration) {
        for (machine_type, size) in self.target.current().sizes.clone() {
            let mut surplus = self.fleet.machines_of_type(&machine_type).saturating_sub(size.machines);
            let mut idle: Vec<(bool, Duration, MachineName)> = self
                .fleet
                .machines
                .values()
                .filter(|m| {
                    m.pool.machine_type == machine_type && m.removal.is_none() && !m.has_preemption_notice
                })
                .filter(|m| self.job_table.by_machine(&m.name).next().is_none())
                .filter(|m| m.idle_since.is_some_and(|at| now.saturating_sub(at) >= MIN_IDLE_TIME))
                .map(|m| (m.pool.spot, m.rented_at, m.name.clone()))
                .collect();
            idle.sort();
            let mut ordinary = self
                .fleet
                .machines
                .values()
                .filter(|m| m.pool.machine_type == machine_type && !m.pool.spot && m.removal.is_none())
                .count() as u32;
            for (spot, _, name) in idle {
                if surplus == 0 {
                    break;
                }
                if !spot && ordinary <= size.ordinary {
                    continue;
                }
                if let Some(machine) = self.fleet.machines.get_mut(&name) {
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

    /// Releases machines that are to go. A leader without a valid lease, which may be cut
    /// off or not lead any more, releases only what a cancellation, or one that it may not
    /// have seen, forces it to, and only while the cloud answers it.
    pub(super) fn release_removed_machines(
        &mut self,
        now: Duration,
        evidence: LeaderEvidence,
        effects: &mut EffectSink,
    ) {
        let may_write = evidence.lease_valid && self.loading.is_ready();
        if now < self.scaling.next_release_at || !(may_write || self.is_cloud_reachable(now)) {
            return;
        }
        let may_release = |reason: RemovalReason| match reason {
            RemovalReason::CancellationDue => true,
            RemovalReason::HeartbeatTimeout => may_write || evidence.no_peer_leads,
            _ => may_write,
        };
        let leaving = |machine: &Machine| {
            let reason = machine.removal.filter(|reason| may_release(*reason))?;
            Some(LeavingMachine { name: machine.name.clone(), reason })
        };
        let mut leaving: Vec<LeavingMachine> = self
            .fleet
            .machines
            .values()
            .filter_map(leaving)
            .filter(|machine| !self.scaling.releasing.contains(&machine.name))
            .take(MAX_RETURN_MACHINES)
            .collect();
        // What a cancellation forces goes alone, so that it can go without its record where
        // that can't be written.
        let is_due = |machine: &LeavingMachine| machine.reason == RemovalReason::CancellationDue;
        let cancellation_due = leaving.iter().any(is_due);
        if cancellation_due && self.intents.is_fenced() {
            leaving.retain(is_due);
        }
        let force = match (cancellation_due, may_write) {
            (true, _) => Some(ReturnForce::CancellationDue),
            (false, false) => Some(ReturnForce::CancellationsUnseen),
            (false, true) => None,
        };
        if !leaving.is_empty() && self.scaling.take_request(now) {
            self.return_machines(&leaving, force, effects);
        }
    }

    /// Takes in the reply to a rental.
    pub(super) fn rental_answered(
        &mut self,
        now: Duration,
        rental: PendingRental,
        reply: Result<CloudReply, CallError>,
        effects: &mut EffectSink,
    ) {
        match reply {
            Ok(CloudReply::Rented(machines)) => {
                self.scaling.rental_ended(&rental.name);
                self.fleet.rented(&machines, &rental.pool, rental.count, now);
                self.confirm_intent(&IdempotencyKey::new(&rental.name), effects);
            }
            Ok(CloudReply::NoCapacity) => {
                self.scaling.rental_ended(&rental.name);
                let pool = &rental.pool;
                self.fleet.capacity_refused(pool, now);
                effects.log(
                    LogLevel::Debug,
                    format!(
                        "scale-out refused: reason=no_capacity type={} zone={} spot={}",
                        pool.machine_type, pool.zone, pool.spot
                    ),
                );
                self.rental_refused(now, rental, effects);
            }
            // In doubt, the same name is used again: it rents once at most.
            _ => self.scaling.rental_retries.push(RentalRetry { due: now + RENTAL_RETRY_INTERVAL, rental }),
        }
    }

    /// Takes in the reply to a release.
    pub(super) fn release_answered(
        &mut self,
        now: Duration,
        machines: Vec<MachineName>,
        intent: IdempotencyKey,
        reply: Result<CloudReply, CallError>,
        effects: &mut EffectSink,
    ) {
        match reply {
            Ok(CloudReply::Released) => self.machines_released(now, machines, &intent, effects),
            _ if self.intents.is_fenced() => self.return_failed(now, intent),
            _ => {
                for machine in machines {
                    self.scaling.releasing.remove(&machine);
                }
                self.scaling.next_release_at = now + RELEASE_RETRY_INTERVAL;
            }
        }
    }

    fn machines_released(
        &mut self,
        now: Duration,
        machines: Vec<MachineName>,
        intent: &IdempotencyKey,
        effects: &mut EffectSink,
    ) {
        self.confirm_intent(intent, effects);
        for machine in machines {
            self.scaling.releasing.remove(&machine);
            self.fleet.instance_released(&machine);
            self.machine_gone(&machine);
            let lost = self.job_table.machine_gone(&machine, now);
            if lost > 0 {
                let text = format!("machine released with tasks: machine={machine} tasks={lost}");
                effects.log(LogLevel::Debug, text);
            }
        }
        self.stop_broken_gangs(now, effects);
        self.placement.request_pass();
    }
}
