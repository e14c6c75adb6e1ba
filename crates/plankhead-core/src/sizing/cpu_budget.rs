//! The CPU budget: limits on the work of one step, by the share of a core that the node may use.
//!
//! Work that uses up the share in one go delays everything else until the share has accrued again: 20 ms
//! of CPU time take a second on 2% of a core, during which no heartbeat is answered and the leader's lease
//! is not renewed. Placement passes and replays are therefore cut short, continued later and spaced out.

use std::time::Duration;

/// The wall-clock time for which one slice of a replay may delay other work.
const MAX_SLICE_TIME: Duration = Duration::from_millis(50);
/// The wall-clock time for which the starts of one pass may delay other work.
const MAX_PASS_TIME: Duration = Duration::from_millis(100);
/// The CPU time per machine of one replayed pass: 2.9% of a core replays 560 passes a second on 313
/// machines.
const COST_PER_REPLAYED_MACHINE: Duration = Duration::from_nanos(150);
/// The CPU time per start of a pass.
const COST_PER_START: Duration = Duration::from_micros(30);
/// The maximum number of replayed passes in one slice, on any share of a core: 40 passes on 1,940 machines
/// take up to 28 ms of CPU time.
const MAX_PASSES_PER_SLICE: usize = 40;
/// The maximum number of machines visited in one slice, summed over its passes. At the cost per visit
/// given above, 28 ms for 40 * 1,940 visits, they take up to 5 ms of CPU time.
const MAX_MACHINES_PER_SLICE: usize = 14_000;
/// The maximum number of starts in one pass: 5,000 at once on 1,940 machines take 0.13 s of CPU time.
const MAX_STARTS: usize = 1_000;
/// The number of starts in one pass that even the smallest share allows.
const MIN_STARTS: usize = 16;
/// The interval between placement passes; all changes within it are handled by one pass.
const PASS_INTERVAL: Duration = Duration::from_millis(50);
/// The interval between searches for tasks to preempt.
const PREEMPTION_INTERVAL: Duration = Duration::from_millis(200);
/// The duration of the leader's lease.
const LEADER_LEASE: Duration = Duration::from_millis(1500);
/// The duration of the leader's lease on a small share of a core, where heartbeats that all arrive at once
/// may delay its renewal by a second or two.
const SMALL_SHARE_LEADER_LEASE: Duration = Duration::from_secs(2);
/// The share of a core below which the leader's lease is longer.
const SMALL_SHARE: f64 = 0.05;
/// The smallest share of a core that a budget assumes.
const MIN_SHARE: f64 = 1e-4;
/// The interval between the starts of two slices, as a multiple of the time that a slice takes. A fifth of
/// the interval is left for other work.
const SLICE_INTERVAL_FACTOR: f64 = 1.25;
/// The same factor for a process that is behind with its work; half of the interval is left for other
/// work. Since the fleet follows the backlog only by sizing rounds, these must not take too long: with two
/// thirds left, a round took 47 s instead of 8 s.
const SLICE_INTERVAL_FACTOR_BEHIND: f64 = 2.0;

/// The limits that follow from a share of a core.
#[derive(Debug, Clone, Copy)]
pub struct CpuBudget {
    /// The share of a core, at most 1 since all decisions are made by one thread.
    share: f64,
}

impl CpuBudget {
    /// Creates the budget of a process that may use this many cores, or this fraction of one.
    pub fn new(cores: f64) -> Self {
        Self { share: cores.clamp(MIN_SHARE, 1.0) }
    }

    /// Returns how many operations of this cost in CPU time fit into `time` on this share of a core.
    fn operations_in(&self, time: Duration, cost: Duration) -> usize {
        (time.as_secs_f64() * self.share / cost.as_secs_f64()) as usize
    }

    /// Returns the maximum number of tasks that one pass may start.
    pub fn max_starts_per_pass(&self) -> usize {
        self.operations_in(MAX_PASS_TIME, COST_PER_START).clamp(MIN_STARTS, MAX_STARTS)
    }

    /// Returns the interval between placement passes.
    pub fn pass_interval(&self) -> Duration {
        PASS_INTERVAL
    }

    /// Returns the interval between searches for tasks to preempt.
    pub fn preemption_interval(&self) -> Duration {
        PREEMPTION_INTERVAL
    }

    /// Returns the duration of the leader's lease, for which the leader's key outlives a failed leader.
    pub fn leader_lease(&self) -> Duration {
        if self.share < SMALL_SHARE {
            SMALL_SHARE_LEADER_LEASE
        } else {
            LEADER_LEASE
        }
    }

    /// Returns the number of passes in one slice of a replay on this many machines.
    pub fn passes_per_slice(&self, machines: usize) -> usize {
        let max_machines =
            self.operations_in(MAX_SLICE_TIME, COST_PER_REPLAYED_MACHINE).min(MAX_MACHINES_PER_SLICE);
        (max_machines / machines.max(1)).clamp(1, MAX_PASSES_PER_SLICE)
    }

    /// Returns the interval between the starts of two slices of a replay on this many machines. It is longer
    /// in a process that is behind with its work.
    pub fn slice_interval(&self, machines: usize, is_behind: bool) -> Duration {
        let replayed_machines = (self.passes_per_slice(machines) * machines) as f64;
        let slice_s = replayed_machines * COST_PER_REPLAYED_MACHINE.as_secs_f64() / self.share;
        let factor = if is_behind { SLICE_INTERVAL_FACTOR_BEHIND } else { SLICE_INTERVAL_FACTOR };
        Duration::from_secs_f64(slice_s).mul_f64(factor)
    }
}
