//! The replay of the backlog on a trial fleet (the paper, section 3.3), in
//! portions: the node has other things to do meanwhile.

use crate::placement::backfill::{pass, Slot};
use crate::placement::fair_share::{TeamUsage, Work};
use std::time::Duration;

/// Run times below this count as this in a slowdown.
const SLOWDOWN_FLOOR: Duration = Duration::from_secs(10);
/// Passes of one replay; a longer backlog than this is overload for sure.
const MAX_PASSES: usize = 2_000;
/// What happens within this time is replayed together.
const GRAIN: Duration = Duration::from_millis(200);

/// A job that is still to arrive in the replay.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub arrives_at: Duration,
    pub work: Work,
}

/// Jobs on trial machines, up to some moment.
#[derive(Debug)]
pub struct Replay {
    simulated_now: Duration,
    slots: Vec<Slot>,
    work: Vec<Work>,
    /// The next one last.
    arrivals: Vec<Arrival>,
    teams: Vec<TeamUsage>,
    arrived_at: Vec<Duration>,
    task_counts: Vec<u32>,
    total_delays: Vec<f64>,
    running: usize,
    passes: usize,
}

impl Replay {
    /// `running` is the number of jobs that run and wait for nothing.
    pub fn new(
        now: Duration,
        slots: Vec<Slot>,
        work: Vec<Work>,
        mut arrivals: Vec<Arrival>,
        teams: Vec<TeamUsage>,
        running: usize,
    ) -> Self {
        arrivals.sort_by_key(|a| std::cmp::Reverse(a.arrives_at));
        Self {
            simulated_now: now,
            slots,
            arrived_at: vec![now; work.len()],
            task_counts: work.iter().map(|w| w.pending).collect(),
            total_delays: vec![0.0; work.len()],
            work,
            arrivals,
            teams,
            running,
            passes: 0,
        }
    }

    /// The size of the trial.
    pub fn machines(&self) -> usize {
        self.slots.len()
    }

    /// Goes on for some passes; at the end, the average bounded slowdown.
    pub fn advance(&mut self, passes: usize) -> Option<f64> {
        for _ in 0..passes {
            if !self.step() {
                return Some(self.average_bounded_slowdown());
            }
        }
        None
    }

    /// One pass, and on to the next moment at which something changes.
    fn step(&mut self) -> bool {
        let at = self.simulated_now;
        while let Some(arrival) = self.arrivals.pop_if(|a| a.arrives_at <= at) {
            self.arrived_at.push(arrival.arrives_at);
            self.task_counts.push(arrival.work.pending);
            self.total_delays.push(0.0);
            self.work.push(arrival.work);
        }
        for start in pass(at, &mut self.slots, &mut self.work, &mut self.teams) {
            self.total_delays[start.work_index] +=
                start.at.saturating_sub(self.arrived_at[start.work_index]).as_secs_f64();
        }
        self.passes += 1;
        let idle = self.arrivals.is_empty() && self.work.iter().all(|w| w.pending == 0);
        if idle || self.passes >= MAX_PASSES {
            return false;
        }
        let ends = self.slots.iter().filter_map(|s| s.running.first()).map(|t| t.ends_at.max(at + GRAIN));
        let ready = self.slots.iter().map(|s| s.ready_at).filter(|t| *t > at);
        let Some(next) = ends.chain(ready).chain(self.arrivals.last().map(|a| a.arrives_at)).min() else {
            return false;
        };
        self.simulated_now = next;
        for slot in &mut self.slots {
            let over = slot.running.partition_point(|t| t.ends_at <= next);
            for task in slot.running.drain(..over) {
                slot.free.add(&task.demand);
                if !task.is_reservation {
                    self.teams[task.team].used.sub(&task.demand);
                }
            }
        }
        true
    }

    fn average_bounded_slowdown(&self) -> f64 {
        let mut sum = self.running as f64;
        let mut jobs = self.running;
        for (i, w) in self.work.iter().enumerate() {
            if self.task_counts[i] == 0 {
                continue;
            }
            let never =
                self.simulated_now.saturating_sub(self.arrived_at[i]).as_secs_f64() * f64::from(w.pending);
            let mean = (self.total_delays[i] + never) / f64::from(self.task_counts[i]);
            sum += 1.0 + mean / w.estimated_runtime.max(SLOWDOWN_FLOOR).as_secs_f64();
            jobs += 1;
        }
        if jobs == 0 {
            1.0
        } else {
            sum / jobs as f64
        }
    }
}
