//! How much may be done in one go on the processor share that a node has.
//!
//! What uses a share up in one go holds up everything else for as long as it takes to
//! earn it back: 20 ms of a whole core are a second on 2% of one, in which no report is
//! answered and the leader's lease is not renewed. So passes and replays end early, go
//! on later, and leave time between.

use std::time::Duration;

/// How long a portion of a replay, and the starts of a pass, may hold up the rest.
const PORTION: Duration = Duration::from_millis(50);
const PASS: Duration = Duration::from_millis(100);
/// What one machine costs one replayed pass, and one start a pass, on a whole core, as it
/// showed on simulated machines: 560 passes a second on 313 machines with 2.9% of a core.
const REPLAYED_MACHINE: Duration = Duration::from_nanos(150);
const START: Duration = Duration::from_micros(30);
/// Replayed passes in one portion, and machines looked at in all of them: 40 passes on
/// 1,940 machines took up to 28 ms of a whole core.
const MAX_PASSES: usize = 40;
const MAX_REPLAYED: usize = 14_000;
/// Starts of one pass: 5,000 at once on 1,940 machines took 0.13 s of a whole core.
const MAX_STARTS: usize = 1_000;
const MIN_STARTS: usize = 16;
/// Time between passes: what changes meanwhile shares one.
const PASS_PAUSE: Duration = Duration::from_millis(50);
/// Time between looks for tasks to stop.
const PREEMPTION_PAUSE: Duration = Duration::from_millis(200);
/// The lease of a leader, and that of one on a small share: reports that all come
/// at once may keep it from renewing for a second or two.
const LEADER_LEASE: Duration = Duration::from_millis(1500);
const SMALL_LEADER_LEASE: Duration = Duration::from_secs(2);
const SMALL_SHARE: f64 = 0.05;
/// The limits that follow from a processor share.
#[derive(Debug, Clone, Copy)]
pub struct CpuBudget {
    /// The share of a core, at most a whole one: decisions are made by one thread.
    share: f64,
}

impl CpuBudget {
    pub fn new(cpu: f64) -> Self {
        Self { share: cpu.clamp(1e-4, 1.0) }
    }

    /// How often work that takes so long on a whole core fits into `time`.
    fn operations_in(&self, time: Duration, each: Duration) -> usize {
        (time.as_secs_f64() * self.share / each.as_secs_f64()) as usize
    }

    /// Tasks that one pass starts at the most.
    pub fn max_starts_per_pass(&self) -> usize {
        self.operations_in(PASS, START).clamp(MIN_STARTS, MAX_STARTS)
    }

    /// Time between two passes.
    pub fn pass_interval(&self) -> Duration {
        PASS_PAUSE
    }

    /// Time between two looks for tasks to stop for more urgent ones.
    pub fn preemption_interval(&self) -> Duration {
        PREEMPTION_PAUSE
    }

    /// How long the leader's key outlives it.
    pub fn leader_lease(&self) -> Duration {
        if self.share < SMALL_SHARE {
            SMALL_LEADER_LEASE
        } else {
            LEADER_LEASE
        }
    }

    /// Passes of one portion of a replay on so many machines.
    pub fn passes_per_slice(&self, machines: usize) -> usize {
        let most = self.operations_in(PORTION, REPLAYED_MACHINE).min(MAX_REPLAYED);
        (most / machines.max(1)).clamp(1, MAX_PASSES)
    }

    /// Time between the starts of two portions of a replay: a fifth of the time is left
    /// for the rest, and half in a process that is behind. No more, since the fleet follows
    /// the backlog by rounds: with two thirds, rounds of 8 s took 47.
    pub fn slice_interval(&self, machines: usize, behind: bool) -> Duration {
        let looks = (self.passes_per_slice(machines) * machines) as f64;
        let portion = Duration::from_secs_f64(looks * REPLAYED_MACHINE.as_secs_f64() / self.share);
        portion.mul_f64(if behind { 2.0 } else { 1.25 })
    }
}
