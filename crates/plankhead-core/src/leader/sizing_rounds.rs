//! Sizing rounds: the search for the fleet size by replaying the backlog, in time slices.

use super::wide_jobs::min_machines;
use super::{Leader, Size, Target};
use crate::effects::{EffectSink, StepTime};
use crate::jobs::job::{JobPhase, Resources};
use crate::jobs::job_table::JobEntry;
use crate::placement::backfill::Slot;
use crate::placement::fair_share::{TeamUsage, Work};
use crate::protocol::{LogLevel, MachineType, Pool};
use crate::sizing::cpu_budget::CpuBudget;
use crate::sizing::fleet_size_search::FleetSizeSearch;
use crate::sizing::replay::{Arrival, Replay};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

/// If the operators set no maximum, how far the fleet may grow under overload, as a multiple of the
/// size that the teams' guarantees would fill.
const OVERLOAD_FACTOR: f64 = 1.5;
/// If the operators set no interval, the time between rounds as a multiple of the longest boot time
/// of all machine types.
const ROUND_INTERVAL_IN_BOOTS: f64 = 1.5;
/// The shortest time between rounds if the operators set no interval.
const MIN_ROUND_INTERVAL: Duration = Duration::from_secs(20);
/// The time between rounds while no machine is up.
const COLD_ROUND_INTERVAL: Duration = Duration::from_secs(5);

/// The schedule of sizing rounds, and the current round.
#[derive(Debug)]
pub(super) struct SizingRounds {
    next_round_at: Duration,
    round: Option<Round>,
    /// When the next slice of the current round may run.
    next_slice_at: Duration,
}

impl SizingRounds {
    pub(super) fn new(now: Duration) -> Self {
        Self { next_round_at: now, round: None, next_slice_at: now }
    }

    /// Sets the time of the next round.
    pub(super) fn schedule(&mut self, at: Duration) {
        self.next_round_at = at;
    }

    /// Returns when the next slice of the current round is due; `None` if no round is in progress.
    pub(super) fn next_slice_due(&self) -> Option<Duration> {
        self.round.is_some().then_some(self.next_slice_at)
    }
}

/// The largest numbers of machines of a type.
struct FleetSizeLimits {
    /// The limit at normal load.
    normal: u32,
    /// The limit under overload.
    under_overload: u32,
}

/// The input of a sizing round, for all machine types.
struct RoundInput {
    now: Duration,
    work: Vec<Work>,
    expected_arrivals: Vec<Arrival>,
    slots: Vec<Slot>,
    teams: Vec<TeamUsage>,
    /// The number of jobs whose unfinished tasks are all placed.
    running: usize,
}

/// The pools of a machine type, by their numbers in the placement index.
struct TypePools {
    /// The numbers of the ordinary pools and of their zones.
    ordinary: Vec<(usize, usize)>,
    /// The numbers of the spot pools.
    spot: Vec<usize>,
}

/// The input of the replays for one machine type.
#[derive(Debug)]
struct ReplayInput {
    now: Duration,
    held: Vec<Slot>,
    /// An idle machine of the type in each zone, for trial sizes larger than the fleet.
    new_machines: Vec<Slot>,
    work: Vec<Work>,
    expected_arrivals: Vec<Arrival>,
    teams: Vec<TeamUsage>,
    running: usize,
}

impl ReplayInput {
    /// Creates a replay on a fleet of this size.
    fn replay(&self, machines: u32) -> Replay {
        let machines = machines as usize;
        let mut slots: Vec<Slot> = self.held.iter().take(machines).cloned().collect();
        let added = self.new_machines.iter().cycle().take(machines.saturating_sub(slots.len()));
        slots.extend(added.cloned());
        let (work, expected, teams) = (self.work.clone(), self.expected_arrivals.clone(), self.teams.clone());
        Replay::new(self.now, slots, work, expected, teams, self.running)
    }
}

/// The fleet size search for one machine type.
#[derive(Debug)]
struct SizeTrial {
    machine_type: String,
    ordinary_only: bool,
    search: FleetSizeSearch,
    input: ReplayInput,
}

/// A sizing round in progress. Its searches run one after the other and in slices, because replaying
/// a large backlog in one go would delay all other work.
#[derive(Debug)]
struct Round {
    began: Duration,
    /// Whether the round began with jobs waiting and no machine up. Such a round only raises the target.
    cold: bool,
    trials: Vec<SizeTrial>,
    /// The replay of the current trial.
    replay: Option<Replay>,
    /// The sizes tried and their slowdowns, for the log.
    trace: Vec<String>,
}

impl Round {
    /// Runs one slice. Returns true once all searches are finished.
    fn advance(&mut self, cpu_budget: CpuBudget) -> bool {
        let Some(trial) = self.trials.iter_mut().find(|t| t.search.size().is_none()) else { return true };
        let replay = self.replay.get_or_insert_with(|| trial.input.replay(trial.search.trial()));
        if let Some(slowdown) = replay.advance(cpu_budget.passes_per_slice(replay.machines())) {
            self.trace.push(format!("{}:{slowdown:.2}", trial.search.trial()));
            trial.search.record_slowdown(slowdown);
            self.replay = None;
        }
        false
    }

    /// Returns the number of machines in the current replay.
    fn machines(&self) -> usize {
        self.replay.as_ref().map_or(0, Replay::machines)
    }

    /// Returns the sizes found by the searches.
    fn sizes(&self) -> BTreeMap<String, Size> {
        let mut sizes: BTreeMap<String, Size> = BTreeMap::new();
        for trial in &self.trials {
            let size = sizes.entry(trial.machine_type.clone()).or_default();
            let found = trial.search.size().unwrap_or(0);
            if trial.ordinary_only {
                size.ordinary = found;
            }
            size.machines = size.machines.max(found);
        }
        sizes
    }
}

impl Leader {
    /// Returns the maximum number of machines of a type, at normal load and under overload: the
    /// operators' setting or else the size that the teams' guarantees would fill, but no more than
    /// the cloud is known to have.
    fn max_fleet_size(&self, machine_type: &str, now: Duration) -> FleetSizeLimits {
        let cpus = self.fleet.resources(machine_type).map_or(1.0, |r| r.cpus.max(1.0));
        let guaranteed: f64 = self.settings.teams.values().map(|t| t.guaranteed_cpus).sum();
        let guarantees_fill = |share: f64| (guaranteed * share / cpus).ceil().clamp(1.0, 10_000.0) as u32;
        let set = self.settings.sizing.max_machines;
        let capacity = self.fleet.known_capacity(machine_type, now).unwrap_or(u32::MAX);
        let bound = |share: f64| set.unwrap_or(guarantees_fill(share)).min(capacity).max(1);
        FleetSizeLimits { normal: bound(1.0), under_overload: bound(OVERLOAD_FACTOR) }
    }

    /// Returns the time between rounds. It is longer than a boot unless the operators set it, so that
    /// each round sees the machines that the previous one requested.
    pub(super) fn round_interval(&self) -> Duration {
        let boot = self.fleet.machine_types.values().map(|t| t.boot_time).max().unwrap_or_default();
        self.settings.sizing.interval.unwrap_or(MIN_ROUND_INTERVAL.max(boot.mul_f64(ROUND_INTERVAL_IN_BOOTS)))
    }

    /// Starts a round if one is due, runs a slice of the current round if that is due, and sets the new
    /// target when the round ends.
    pub(super) fn advance_sizing(&mut self, times: StepTime, effects: &mut EffectSink) {
        let now = times.now;
        if self.fleet.machine_types.is_empty() {
            return;
        }
        if self.sizing.round.is_none() {
            self.begin_round(times);
        }
        let Some(round) = self.sizing.round.as_mut().filter(|_| now >= self.sizing.next_slice_at) else {
            return;
        };
        let finished = round.advance(self.cpu_budget);
        self.sizing.next_slice_at =
            now + self.cpu_budget.slice_interval(round.machines(), self.evidence.is_cpu_starved());
        if !finished {
            return;
        }
        let Some(round) = self.sizing.round.take() else { return };
        let mut target =
            Target { round: self.target.current().round + 1, at_ms: times.wall_ms(), sizes: round.sizes() };
        if round.cold {
            for (machine_type, previous) in &self.target.current().sizes {
                let size = target.sizes.entry(machine_type.clone()).or_default();
                size.machines = size.machines.max(previous.machines);
                size.ordinary = size.ordinary.max(previous.ordinary);
            }
        }
        let level =
            if target.sizes == self.target.current().sizes { LogLevel::Debug } else { LogLevel::Info };
        let took_ms = now.saturating_sub(round.began).as_millis();
        let trials = round.trace.join(" ");
        let (number, sizes) = (target.round, &target.sizes);
        effects.log(
            level,
            format!("sizing round ended: round={number} sizes={sizes:?} took_ms={took_ms} trials=[{trials}]"),
        );
        self.target.set(target);
    }

    /// Starts a round if one is due.
    fn begin_round(&mut self, times: StepTime) {
        let now = times.now;
        // While no machine is up, the first job to arrive would determine the fleet size for a whole
        // interval. Rounds therefore follow quickly, and they only raise the target.
        let none_up =
            self.fleet.machines.values().all(|m| m.last_heartbeat_id.is_none() && !m.inventory.known_up);
        if now < self.sizing.next_round_at
            && !(none_up && now + COLD_ROUND_INTERVAL < self.sizing.next_round_at)
        {
            return;
        }
        let teams = self.team_usage();
        let work = self.pending_work(now, &teams).work;
        let cold = none_up && !work.is_empty();
        if cold {
            self.sizing.next_round_at = self.sizing.next_round_at.min(now + COLD_ROUND_INTERVAL);
        }
        // The first round waits until there is work to replay.
        if now < self.sizing.next_round_at || (self.target.current().round == 0 && work.is_empty()) {
            return;
        }
        self.sizing.next_round_at = now + self.round_interval();
        // In a cold round, the arrivals so far are a first backlog, which does not predict later ones.
        let expected_arrivals = if cold { Vec::new() } else { self.expected_arrivals(now) };
        let slots = self.available_slots(now).slots;
        let is_running = |e: &&JobEntry| e.phase == JobPhase::Active && e.placed > 0 && e.pending() == 0;
        let running = self.job_table.jobs.values().filter(is_running).count();
        let input = RoundInput { now, work, expected_arrivals, slots, teams, running };
        let mut trials = Vec::new();
        for machine_type in self.fleet.machine_types.keys().cloned().collect::<Vec<_>>() {
            for ordinary_only in [true, false] {
                trials.extend(self.build_trial(&machine_type, ordinary_only, &input));
            }
        }
        self.sizing.round = Some(Round { began: now, cold, trials, replay: None, trace: Vec::new() });
    }

    /// Builds the search for one machine type over the jobs that can use it. With `ordinary_only`, it
    /// covers only the jobs that must not run on spot machines, and only ordinary machines.
    fn build_trial(&mut self, type_name: &str, ordinary_only: bool, round: &RoundInput) -> Option<SizeTrial> {
        let machine_type = self.fleet.machine_types.get(type_name)?.clone();
        let pools = self.pools_of_type(type_name, &machine_type);
        let is_eligible = |work: &Work| {
            let needs_ordinary = !pools.spot.iter().any(|pool| work.allows(*pool));
            pools.ordinary.iter().any(|(pool, _)| work.allows(*pool)) && (!ordinary_only || needs_ordinary)
        };
        let work: Vec<Work> = round.work.iter().filter(|work| is_eligible(work)).cloned().collect();
        let expected_arrivals =
            round.expected_arrivals.iter().filter(|arrival| is_eligible(&arrival.work)).cloned().collect();
        let is_of_type = |slot: &&Slot| {
            pools.ordinary.iter().any(|(pool, _)| *pool == slot.pool)
                || !ordinary_only && pools.spot.contains(&slot.pool)
        };
        let mut held: Vec<Slot> = round.slots.iter().filter(is_of_type).cloned().collect();
        held.sort_by_key(|slot| Reverse(slot.running.len()));
        for slot in &mut held {
            slot.ready_at = round.now;
        }
        let busy = held.iter().filter(|slot| !slot.running.is_empty()).count() as u32;
        let busy = if ordinary_only { 0 } else { busy };
        let room = Resources { cpus: machine_type.cpus, gpus: machine_type.gpus, ram_gb: machine_type.ram };
        let widest = work.iter().map(|work| min_machines(work, &room, machine_type.zones.len())).max();
        let limits = self.max_fleet_size(type_name, round.now);
        let search = FleetSizeSearch::new(
            busy.max(widest.unwrap_or(0)),
            limits.normal,
            limits.under_overload,
            self.settings.sizing.max_slowdown,
        );
        let input = ReplayInput {
            now: round.now,
            held,
            new_machines: new_machines(&pools.ordinary, &machine_type, round.now),
            work,
            expected_arrivals,
            teams: round.teams.clone(),
            running: if ordinary_only { 0 } else { round.running },
        };
        Some(SizeTrial { machine_type: type_name.into(), ordinary_only, search, input })
    }

    /// Returns the numbers of a machine type's pools, with the zones of the ordinary ones.
    fn pools_of_type(&mut self, type_name: &str, machine_type: &MachineType) -> TypePools {
        let pool = |zone: &String, spot| Pool { machine_type: type_name.into(), zone: zone.clone(), spot };
        let index = &mut self.placement.index;
        let ordinary = machine_type
            .zones
            .iter()
            .map(|zone| (index.pool_index(&pool(zone, false)), index.zone_index(zone)))
            .collect();
        let spot = machine_type.zones.iter().map(|zone| index.pool_index(&pool(zone, true))).collect();
        TypePools { ordinary, spot }
    }
}

/// Returns the slot of an idle machine of the type for each of these pools and zones, as if it were
/// up.
fn new_machines(pools: &[(usize, usize)], machine_type: &MachineType, now: Duration) -> Vec<Slot> {
    let free = Resources { cpus: machine_type.cpus, gpus: machine_type.gpus, ram_gb: machine_type.ram };
    let slot = |(pool, zone): &(usize, usize)| Slot {
        pool: *pool,
        zone: *zone,
        price: machine_type.price,
        free,
        ready_at: now,
        running: Vec::new(),
        images: Vec::new(),
        fetches_in_progress: 0,
        image_fetch_gb_per_s: 0.0,
    };
    pools.iter().map(slot).collect()
}
