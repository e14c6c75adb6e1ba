//! Sizing rounds: the search for the fleet's size over a replay of the backlog, in slices.

use super::wide_jobs::min_machines;
use super::{Leader, Size, Target};
use crate::effects::{EffectSink, StepTime};
use crate::jobs::job::{JobPhase, Resources};
use crate::jobs::job_table::JobEntry;
use crate::placement::backfill::Slot;
use crate::placement::fair_share::{TeamUsage, Work};
use crate::protocol::{LogLevel, Pool};
use crate::sizing::cpu_budget::CpuBudget;
use crate::sizing::fleet_size_search::FleetSizeSearch;
use crate::sizing::replay::{Arrival, Replay};
use std::collections::BTreeMap;
use std::time::Duration;

/// Without a U of the operators, how far the fleet may grow under overload, as a
/// multiple of what the guarantees would fill.
const OVERLOAD_FACTOR: f64 = 1.5;
/// Without an interval of the operators, rounds come as often as the slower of
/// the usual boots allows, in boot times.
const ROUND_INTERVAL_IN_BOOTS: f64 = 1.5;
const MIN_ROUND_INTERVAL: Duration = Duration::from_secs(20);
/// Time between rounds while no machine is up yet.
const COLD_ROUND_INTERVAL: Duration = Duration::from_secs(5);

/// When rounds are due, and the one under way.
#[derive(Debug)]
pub(super) struct SizingRounds {
    next_round_at: Duration,
    round: Option<Round>,
    /// When the round may go on.
    next_slice_at: Duration,
}

impl SizingRounds {
    pub(super) fn new(now: Duration) -> Self {
        Self { next_round_at: now, round: None, next_slice_at: now }
    }

    /// Sets when the next round is due.
    pub(super) fn schedule(&mut self, at: Duration) {
        self.next_round_at = at;
    }

    /// When the round under way goes on.
    pub(super) fn next_slice_due(&self) -> Option<Duration> {
        self.round.is_some().then_some(self.next_slice_at)
    }
}

/// What a size search replays.
#[derive(Debug)]
struct ReplayInput {
    now: Duration,
    held: Vec<Slot>,
    /// A machine of the type in each zone, as if it were up.
    new_machines: Vec<Slot>,
    work: Vec<Work>,
    expected_arrivals: Vec<Arrival>,
    teams: Vec<TeamUsage>,
    running: usize,
}

impl ReplayInput {
    fn replay(&self, machines: u32) -> Replay {
        let machines = machines as usize;
        let mut slots: Vec<Slot> = self.held.iter().take(machines).cloned().collect();
        let more = self.new_machines.iter().cycle().take(machines.saturating_sub(slots.len()));
        slots.extend(more.cloned());
        let (work, expected, teams) = (self.work.clone(), self.expected_arrivals.clone(), self.teams.clone());
        Replay::new(self.now, slots, work, expected, teams, self.running)
    }
}

#[derive(Debug)]
struct SizeTrial {
    machine_type: String,
    ordinary_only: bool,
    search: FleetSizeSearch,
    input: ReplayInput,
}

/// A round under way: the climbs one after the other, in portions, since the
/// replays of a large backlog would hold up everything else.
#[derive(Debug)]
struct Round {
    began: Duration,
    cold: bool,
    trials: Vec<SizeTrial>,
    replay: Option<Replay>,
    /// Trials and their slowdowns, for the log.
    trace: Vec<String>,
}

impl Round {
    /// Goes on by a portion; true once all climbs are over.
    fn advance(&mut self, portions: CpuBudget) -> bool {
        let Some(trial) = self.trials.iter_mut().find(|t| t.search.size().is_none()) else { return true };
        let replay = self.replay.get_or_insert_with(|| trial.input.replay(trial.search.trial()));
        if let Some(slowdown) = replay.advance(portions.passes_per_slice(replay.machines())) {
            self.trace.push(format!("{}:{slowdown:.2}", trial.search.trial()));
            trial.search.record_slowdown(slowdown);
            self.replay = None;
        }
        false
    }

    /// Machines of the trial under way.
    fn machines(&self) -> usize {
        self.replay.as_ref().map_or(0, Replay::machines)
    }

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
    /// U for a type: set, or learned, or what the guarantees would fill; and how
    /// far it goes under overload.
    fn max_fleet_size(&self, rig: &str, now: Duration) -> (u32, u32) {
        let cpus = self.fleet.resources(rig).map_or(1.0, |r| r.cpus.max(1.0));
        let guaranteed: f64 = self.settings.teams.values().map(|t| t.guaranteed_cpus).sum();
        let fill = |share: f64| (guaranteed * share / cpus).ceil().clamp(1.0, 10_000.0) as u32;
        let set = self.settings.sizing.max_machines;
        let known = self.fleet.known_capacity(rig, now).unwrap_or(u32::MAX);
        let bound = |share: f64| set.unwrap_or(fill(share)).min(known).max(1);
        (bound(1.0), bound(OVERLOAD_FACTOR))
    }

    /// The time between rounds: longer than a boot, so that each sees what the one
    /// before brought.
    pub(super) fn round_interval(&self) -> Duration {
        let boot = self.fleet.machine_types.values().map(|r| r.boot_time).max().unwrap_or_default();
        self.settings.sizing.interval.unwrap_or(MIN_ROUND_INTERVAL.max(boot.mul_f64(ROUND_INTERVAL_IN_BOOTS)))
    }

    /// Begins rounds, carries the one under way on by a portion, and ends it.
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
        let over = round.advance(self.cpu_budget);
        self.sizing.next_slice_at =
            now + self.cpu_budget.slice_interval(round.machines(), self.evidence.is_cpu_starved());
        if !over {
            return;
        }
        let Some(round) = self.sizing.round.take() else { return };
        let mut target =
            Target { round: self.target.current().round + 1, at_ms: times.wall_ms(), sizes: round.sizes() };
        if round.cold {
            for (machine_type, before) in &self.target.current().sizes {
                let size = target.sizes.entry(machine_type.clone()).or_default();
                size.machines = size.machines.max(before.machines);
                size.ordinary = size.ordinary.max(before.ordinary);
            }
        }
        let level =
            if target.sizes == self.target.current().sizes { LogLevel::Debug } else { LogLevel::Info };
        let took = now.saturating_sub(round.began).as_millis();
        let trials = round.trace.join(" ");
        let (number, sizes) = (target.round, &target.sizes);
        effects.log(
            level,
            format!("sizing round ended: round={number} sizes={sizes:?} took_ms={took} trials=[{trials}]"),
        );
        self.target.set(target);
    }

    fn begin_round(&mut self, times: StepTime) {
        let now = times.now;
        // Before any machine is up, whichever job came first would size the fleet
        // for a whole interval: rounds follow quickly and only raise.
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
        // The first round waits for something to replay.
        if now < self.sizing.next_round_at || (self.target.current().round == 0 && work.is_empty()) {
            return;
        }
        self.sizing.next_round_at = now + self.round_interval();
        // Nor does the rush of the first seconds tell what comes later.
        let expected = if cold { Vec::new() } else { self.expected_arrivals(now) };
        let slots = self.available_slots(now).slots;
        let running = |e: &&JobEntry| e.phase == JobPhase::Active && e.placed > 0 && e.pending() == 0;
        let running = self.job_table.jobs.values().filter(running).count();
        let mut trials = Vec::new();
        for rig in self.fleet.machine_types.keys().cloned().collect::<Vec<_>>() {
            for strict in [true, false] {
                let input = (&*work, &*expected, &*slots);
                trials.extend(self.build_trial(now, &rig, strict, input, &teams, running));
            }
        }
        self.sizing.round = Some(Round { began: now, cold, trials, replay: None, trace: Vec::new() });
    }

    /// The climb for one type, over the jobs that can use it; `strict`: only
    /// those that must not run on spot machines, and only ordinary ones.
    fn build_trial(
        &mut self,
        now: Duration,
        rig: &str,
        strict: bool,
        (work, expected, slots): (&[Work], &[Arrival], &[Slot]),
        teams: &[TeamUsage],
        running: usize,
    ) -> Option<SizeTrial> {
        let kind = self.fleet.machine_types.get(rig)?.clone();
        let pool = |zone: &String, spot| Pool { machine_type: rig.into(), zone: zone.clone(), spot };
        let ordinary: Vec<(usize, usize)> = kind
            .zones
            .iter()
            .map(|z| (self.placement.index.pool_index(&pool(z, false)), self.placement.index.zone_index(z)))
            .collect();
        let spot: Vec<usize> =
            kind.zones.iter().map(|z| self.placement.index.pool_index(&pool(z, true))).collect();
        let suits = |w: &Work| {
            let bound = !spot.iter().any(|p| w.allows(*p));
            ordinary.iter().any(|(p, _)| w.allows(*p)) && (!strict || bound)
        };
        let work: Vec<Work> = work.iter().filter(|w| suits(w)).cloned().collect();
        let expected: Vec<Arrival> = expected.iter().filter(|a| suits(&a.work)).cloned().collect();
        let ours =
            |s: &&Slot| ordinary.iter().any(|(p, _)| *p == s.pool) || !strict && spot.contains(&s.pool);
        let mut held: Vec<Slot> = slots.iter().filter(ours).cloned().collect();
        held.sort_by_key(|s| std::cmp::Reverse(s.running.len()));
        for slot in &mut held {
            slot.ready_at = now;
        }
        let busy = if strict { 0 } else { held.iter().filter(|s| !s.running.is_empty()).count() as u32 };
        let total = Resources { cpus: kind.cpus, gpus: kind.gpus, ram_gb: kind.ram };
        let widest = work.iter().map(|w| min_machines(w, &total, kind.zones.len())).max();
        let least = busy.max(widest.unwrap_or(0));
        let (most, beyond) = self.max_fleet_size(rig, now);
        let climb = FleetSizeSearch::new(least, most, beyond, self.settings.sizing.max_slowdown);
        let fresh = ordinary
            .into_iter()
            .map(|(pool, zone)| Slot {
                pool,
                zone,
                price: kind.price,
                free: total,
                ready_at: now,
                running: Vec::new(),
                images: Vec::new(),
                fetches_in_progress: 0,
                image_fetch_gb_per_s: 0.0,
            })
            .collect();
        let running = if strict { 0 } else { running };
        let teams = teams.to_vec();
        let backlog =
            ReplayInput { now, held, new_machines: fresh, work, expected_arrivals: expected, teams, running };
        Some(SizeTrial { machine_type: rig.into(), ordinary_only: strict, search: climb, input: backlog })
    }
}
