//! Scaling out and in: renting and releasing machines.

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

/// The shortest time for which a machine must have been idle before it is released.
const MIN_IDLE_TIME: Duration = Duration::from_secs(3);
/// The delay before a rental request whose reply was lost is repeated.
const RENTAL_RETRY_INTERVAL: Duration = RETRY_INTERVAL.saturating_mul(4);
/// The delay after a failed release before the next one.
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

/// A rental request to repeat.
#[derive(Debug)]
struct RentalRetry {
    due: Duration,
    rental: PendingRental,
}

/// An idle machine. Machines sort in the order in which they are released: ordinary ones before spot
/// ones, and within each of these groups the oldest first.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct IdleMachine {
    spot: bool,
    rented_at: Duration,
    name: MachineName,
}

/// The number of machines of a type that the target requires beyond those held or being rented.
#[derive(Debug, Clone, Copy)]
struct MissingMachines {
    total: u32,
    /// The number of them that must be ordinary, that is, not spot.
    ordinary: u32,
}

/// The pending requests to the cloud, and their rate limit.
#[derive(Debug)]
pub(super) struct Scaling {
    cloud_budget: TokenBucket,
    /// The number of rentals requested in this term, used to name them.
    rental_counter: u64,
    /// Rentals that the cloud has neither granted nor refused yet.
    rentals_in_flight: Vec<PendingRental>,
    rental_retries: Vec<RentalRetry>,
    /// Machines whose release has been requested but not confirmed.
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

    /// Takes one cloud request from the rate limit's budget. Returns false if none is left.
    pub(super) fn take_request(&mut self, now: Duration) -> bool {
        self.cloud_budget.take(now, 1)
    }

    /// Returns whether any rental has been neither granted nor refused yet.
    pub(super) fn is_renting(&self) -> bool {
        !self.rentals_in_flight.is_empty()
    }

    /// Schedules a rental request to be repeated as soon as the cloud's rate limit allows.
    pub(super) fn retry_rental(&mut self, now: Duration, rental: PendingRental) {
        self.rentals_in_flight.push(rental.clone());
        self.rental_retries.push(RentalRetry { due: now, rental });
    }

    /// Records that the release of these machines was requested.
    pub(super) fn release_requested(&mut self, machines: impl IntoIterator<Item = MachineName>) {
        self.releasing.extend(machines);
    }

    fn rental_ended(&mut self, name: &str) {
        self.rentals_in_flight.retain(|rental| rental.name != name);
    }
}

impl Leader {
    /// Rents machines up to the target, within the cloud's rate limit.
    pub(super) fn rent_machines(&mut self, now: Duration, effects: &mut EffectSink) {
        self.retry_rentals(now, effects);
        for (machine_type, size) in self.target.current().sizes.clone() {
            let missing = self.missing_machines(&machine_type, size);
            if missing.total > 0 {
                self.rent_missing(now, &machine_type, missing, effects);
            }
        }
    }

    /// Returns the number of machines that a type lacks to reach `size`, counting those held and those
    /// being rented.
    fn missing_machines(&self, machine_type: &str, size: Size) -> MissingMachines {
        let in_flight = |ordinary_only: bool| -> u32 {
            let is_counted = |rental: &&PendingRental| {
                rental.pool.machine_type == machine_type && !(ordinary_only && rental.pool.spot)
            };
            self.scaling.rentals_in_flight.iter().filter(is_counted).map(|rental| rental.count).sum()
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

    /// Rents missing machines of a type, spread over its pools. While ordinary machines are missing,
    /// only those are rented.
    fn rent_missing(
        &mut self,
        now: Duration,
        machine_type: &str,
        missing: MissingMachines,
        effects: &mut EffectSink,
    ) {
        let ordinary_only = missing.ordinary > 0;
        let pools = self.pools_to_rent_from(now, machine_type, ordinary_only);
        let mut remaining = if ordinary_only { missing.ordinary } else { missing.total };
        let per_pool = remaining.div_ceil(pools.len().max(1) as u32);
        for pool in pools {
            let count = per_pool.min(remaining).min(MAX_RENTAL_COUNT);
            if count == 0 || !self.scaling.take_request(now) {
                break;
            }
            remaining -= count;
            self.scaling.rental_counter += 1;
            let name = format!("{}-{}-{}", self.settings.host, self.token, self.scaling.rental_counter);
            let rental = PendingRental { name, pool, count };
            self.scaling.rentals_in_flight.push(rental.clone());
            self.rent(rental, effects);
        }
    }

    /// Returns the pools of a type from which machines may be rented now, the preferred ones first.
    fn pools_to_rent_from(&self, now: Duration, machine_type: &str, ordinary_only: bool) -> Vec<Pool> {
        let mut pools: Vec<Pool> = self.fleet.pools(machine_type);
        pools.retain(|pool| {
            self.fleet.may_rent_from(pool, now)
                && !self.scaling.rentals_in_flight.iter().any(|rental| rental.pool == *pool)
        });
        if ordinary_only {
            pools.retain(|pool| !pool.spot);
        }
        // Unless ordinary machines are required, they are rented only while no spot pool is available,
        // since spot machines are cheaper.
        let any_spot = pools.iter().any(|pool| pool.spot);
        pools.retain(|pool| pool.spot == any_spot);
        // The preferred zone, in which a gang may be waiting for room, takes precedence over an even
        // spread over the zones.
        let is_preferred = |pool: &Pool| self.target.preferred_zone.as_ref() == Some(&pool.zone);
        pools.sort_by_key(|pool| (!is_preferred(pool), self.fleet.machines_staying(pool)));
        pools
    }

    /// Repeats rental requests whose replies were lost, under the same names.
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

    /// Requests a rental. With fencing enabled, it is recorded as an intent before it is sent.
    fn rent(&mut self, rental: PendingRental, effects: &mut EffectSink) {
        let key = IdempotencyKey::new(&rental.name);
        let name = rental.name.clone();
        if !self.request_cloud_action(key, CloudAction::Rent(rental.into()), effects) {
            self.scaling.rental_ended(&name);
        }
    }

    /// Marks machines for release: idle ones in excess of the target, and empty ones with a preemption
    /// notice.
    pub(super) fn remove_surplus(&mut self, now: Duration) {
        for (machine_type, size) in self.target.current().sizes.clone() {
            self.remove_surplus_of_type(now, &machine_type, size);
        }
        for machine in self.fleet.machines.values_mut() {
            let is_empty = self.job_table.by_machine(&machine.name).next().is_none();
            if machine.has_preemption_notice && machine.removal.is_none() && is_empty {
                machine.removal = Some(RemovalReason::Surplus);
            }
        }
    }

    fn remove_surplus_of_type(&mut self, now: Duration, machine_type: &str, size: Size) {
        let mut surplus = self.fleet.machines_of_type(machine_type).saturating_sub(size.machines);
        let idle = self.idle_machines(now, machine_type);
        let mut ordinary = self
            .fleet
            .machines
            .values()
            .filter(|m| m.pool.machine_type == machine_type && !m.pool.spot && m.removal.is_none())
            .count() as u32;
        for IdleMachine { spot, name, .. } in idle {
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

    /// Returns the machines of a type that have been idle for long enough, in the order of their
    /// release.
    fn idle_machines(&self, now: Duration, machine_type: &str) -> Vec<IdleMachine> {
        let is_staying = |m: &&Machine| {
            m.pool.machine_type == machine_type && m.removal.is_none() && !m.has_preemption_notice
        };
        let mut idle: Vec<IdleMachine> = self
            .fleet
            .machines
            .values()
            .filter(is_staying)
            .filter(|m| self.job_table.by_machine(&m.name).next().is_none())
            .filter(|m| m.idle_since.is_some_and(|at| now.saturating_sub(at) >= MIN_IDLE_TIME))
            .map(|m| IdleMachine { spot: m.pool.spot, rented_at: m.rented_at, name: m.name.clone() })
            .collect();
        idle.sort();
        idle
    }

    /// Releases the machines that are marked for removal.
    ///
    /// A leader without a valid lease may be partitioned or superseded. Such a leader, and one that is
    /// still loading, releases machines only while the cloud answers, and only in two cases: a machine
    /// has tasks of a cancelled job that must have stopped by now; or a machine is silent, may have tasks
    /// of a job whose cancellation this leader has not seen, and no peer leads.
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
        // With fencing enabled, a return that a cancellation forces contains no other machines, so that
        // it can be issued even if the state service fails to record its intent.
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

    /// Handles the reply to a rental request.
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
                self.fleet.record_rental(&machines, &rental.pool, rental.count, now);
                self.confirm_intent(&IdempotencyKey::new(&rental.name), effects);
            }
            Ok(CloudReply::NoCapacity) => {
                self.scaling.rental_ended(&rental.name);
                let pool = &rental.pool;
                self.fleet.record_capacity_refusal(pool, now);
                effects.log(
                    LogLevel::Debug,
                    format!(
                        "scale-out refused: reason=no_capacity type={} zone={} spot={}",
                        pool.machine_type, pool.zone, pool.spot
                    ),
                );
                self.rental_refused(now, rental, effects);
            }
            // The outcome is unknown, so the request is repeated under the same name: the cloud grants
            // a name at most once.
            _ => self.scaling.rental_retries.push(RentalRetry { due: now + RENTAL_RETRY_INTERVAL, rental }),
        }
    }

    /// Handles the reply to a release request.
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

    /// Removes released machines from the fleet and ends the attempts on them.
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
            self.fleet.remove_released(&machine);
            self.handle_machine_removal(&machine);
            let lost = self.job_table.handle_machine_removal(&machine, now);
            if lost > 0 {
                let text = format!("machine released with tasks: machine={machine} tasks={lost}");
                effects.log(LogLevel::Debug, text);
            }
        }
        self.stop_broken_gangs(now, effects);
        self.placement.request_pass();
    }
}
