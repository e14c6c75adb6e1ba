//! The CPU budget: how much work one step may do on the node's share of a core.
//!
//! What uses the share up in one go holds up everything else until the share has accrued
//! again: 20 ms of a whole core are a second on 2% of one, in which no heartbeat is
//! answered and the leader's lease is not renewed. So passes and replays end early, go
//! on later, and leave time between.

use std::time::Duration;

/// How long a slice of a replay may hold up the rest, on the wall clock.
const MAX_SLICE_TIME: Duration = Duration::from_millis(50);
/// How long the starts of a pass may hold up the rest, on the wall clock.
const MAX_PASS_TIME: Duration = Duration::from_millis(100);
/// What one machine costs one replayed pass, on a whole core, as it showed on simulated machines:
/// 560 passes a second on 313 machines with 2.9% of a core.
const COST_PER_REPLAYED_MACHINE: Duration = Duration::from_nanos(150);
/// What one start costs a pass, on a whole core, measured likewise.
const COST_PER_START: Duration = Duration::from_micros(30);
/// Replayed passes in one slice, whatever the share: 40 passes on 1,940 machines took up to 28 ms
/// of a whole core.
const MAX_PASSES_PER_SLICE: usize = 40;
/// Machines looked at in all passes of one slice, by the same measurement.
const MAX_MACHINES_PER_SLICE: usize = 14_000;
/// Starts of one pass at the most: 5,000 at once on 1,940 machines took 0.13 s of a whole core.
const MAX_STARTS: usize = 1_000;
/// Starts of one pass that even the smallest share allows.
const MIN_STARTS: usize = 16;
/// Time between passes: what changes meanwhile shares one.
const PASS_INTERVAL: Duration = Duration::from_millis(50);
/// Time between searches for tasks to preempt.
const PREEMPTION_INTERVAL: Duration = Duration::from_millis(200);
/// The leader's lease.
const LEADER_LEASE: Duration = Duration::from_millis(1500);
/// The leader's lease on a small share: heartbeats that all come at once may keep it from
/// renewing for a second or two.
const SMALL_SHARE_LEADER_LEASE: Duration = Duration::from_secs(2);
/// Below this share of a core, the leader's lease is longer.
const SMALL_SHARE: f64 = 0.05;
/// The share that a budget assumes at least.
const MIN_SHARE: f64 = 1e-4;
/// The time between the starts of two slices, by the time that a slice takes: a fifth is left for
/// the rest.
const SLICE_INTERVAL_FACTOR: f64 = 1.25;
/// The same in a process that is behind: half is left for the rest. No more, since the fleet
/// follows the backlog by rounds: with two thirds, rounds of 8 s took 47.
const SLICE_INTERVAL_FACTOR_BEHIND: f64 = 2.0;

/// The limits that follow from a processor share.
#[derive(Debug, Clone, Copy)]
pub struct CpuBudget {
    /// The share of a core, from 0 to 1: decisions are made by one thread.
    share: f64,
}

impl CpuBudget {
    /// The budget of a process with this many cores, or this part of one.
    pub fn new(cores: f64) -> Self {
        Self { share: cores.clamp(MIN_SHARE, 1.0) }
    }

    /// How often work of this cost, on a whole core, fits into `time`.
    fn operations_in(&self, time: Duration, cost: Duration) -> usize {
        (time.as_secs_f64() * self.share / cost.as_secs_f64()) as usize
    }

    /// Tasks that one pass starts at the most.
    pub fn max_starts_per_pass(&self) -> usize {
        self.operations_in(MAX_PASS_TIME, COST_PER_START).clamp(MIN_STARTS, MAX_STARTS)
    }

    /// Time between two passes.
    pub fn pass_interval(&self) -> Duration {
        PASS_INTERVAL
    }

    /// Time between two searches for tasks to preempt.
    pub fn preemption_interval(&self) -> Duration {
        PREEMPTION_INTERVAL
    }

    /// The leader's lease: how long its key outlives it.
    pub fn leader_lease(&self) -> Duration {
        if self.share < SMALL_SHARE {
            SMALL_SHARE_LEADER_LEASE
        } else {
            LEADER_LEASE
        }
    }

    /// Passes of one slice of a replay on so many machines.
    pub fn passes_per_slice(&self, machines: usize) -> usize {
        let max_machines =
            self.operations_in(MAX_SLICE_TIME, COST_PER_REPLAYED_MACHINE).min(MAX_MACHINES_PER_SLICE);
        (max_machines / machines.max(1)).clamp(1, MAX_PASSES_PER_SLICE)
    }

    /// Time between the starts of two slices of a replay on so many machines, longer in a process
    /// that is behind with its work.
    pub fn slice_interval(&self, machines: usize, is_behind: bool) -> Duration {
        let replayed_machines = (self.passes_per_slice(machines) * machines) as f64;
        let slice_s = replayed_machines * COST_PER_REPLAYED_MACHINE.as_secs_f64() / self.share;
        let factor = if is_behind { SLICE_INTERVAL_FACTOR_BEHIND } else { SLICE_INTERVAL_FACTOR };
        Duration::from_secs_f64(slice_s).mul_f64(factor)
    }
}
