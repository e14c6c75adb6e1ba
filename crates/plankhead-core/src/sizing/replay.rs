//! Replay: a simulation of the backlog on a trial fleet (section 3.3 of the paper). It runs in slices, so
//! that the node can do other work in between.

use crate::placement::backfill::{pass, Slot};
use crate::placement::fair_share::{TeamUsage, Work};
use std::cmp::Reverse;
use std::time::Duration;

/// The lower bound of run times in the computation of a bounded slowdown.
const MIN_SLOWDOWN_RUNTIME: Duration = Duration::from_secs(10);
/// The maximum number of passes in one replay; a backlog that takes more is certainly an overload.
const MAX_PASSES: usize = 2_000;
/// The simulated time within which ends of tasks are handled together.
const TIME_RESOLUTION: Duration = Duration::from_millis(200);

/// A job that arrives during a replay.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// When the job arrives, on the node's clock.
    pub arrives_at: Duration,
    /// The job's tasks.
    pub work: Work,
}

/// A simulation of jobs on the machines of a trial fleet, and its state at the current simulated time.
#[derive(Debug)]
pub struct Replay {
    simulated_now: Duration,
    slots: Vec<Slot>,
    work: Vec<Work>,
    /// The jobs that are still to arrive, the next one last.
    arrivals: Vec<Arrival>,
    teams: Vec<TeamUsage>,
    /// For each entry of `work`: when it arrived.
    arrived_at: Vec<Duration>,
    /// For each entry of `work`: the number of its pending tasks on arrival.
    task_counts: Vec<u32>,
    /// For each entry of `work`: the sum of the delays of its started tasks, in seconds.
    total_delays_s: Vec<f64>,
    /// The number of jobs that run without pending tasks; each counts with a slowdown of 1.
    running: usize,
    /// The number of passes so far.
    passes: usize,
}

impl Replay {
    /// Creates a replay that begins at `now` with this pending work on these machines. `running` is the
    /// number of jobs that run without pending tasks.
    pub fn new(
        now: Duration,
        slots: Vec<Slot>,
        work: Vec<Work>,
        mut arrivals: Vec<Arrival>,
        teams: Vec<TeamUsage>,
        running: usize,
    ) -> Self {
        arrivals.sort_by_key(|arrival| Reverse(arrival.arrives_at));
        Self {
            simulated_now: now,
            slots,
            arrived_at: vec![now; work.len()],
            task_counts: work.iter().map(|work| work.pending).collect(),
            total_delays_s: vec![0.0; work.len()],
            work,
            arrivals,
            teams,
            running,
            passes: 0,
        }
    }

    /// Returns the number of machines in the trial fleet.
    pub fn machines(&self) -> usize {
        self.slots.len()
    }

    /// Advances the replay by up to `passes` passes. Returns the average bounded slowdown if the replay has
    /// ended, otherwise `None`.
    pub fn advance(&mut self, passes: usize) -> Option<f64> {
        for _ in 0..passes {
            if !self.step() {
                return Some(self.average_bounded_slowdown());
            }
        }
        None
    }

    /// Runs one pass and advances to the next time at which something changes. Returns false at the end of
    /// the replay.
    fn step(&mut self) -> bool {
        let now = self.simulated_now;
        self.add_arrivals(now);
        for start in pass(now, &mut self.slots, &mut self.work, &mut self.teams) {
            self.total_delays_s[start.work_index] +=
                start.at.saturating_sub(self.arrived_at[start.work_index]).as_secs_f64();
        }
        self.passes += 1;
        let nothing_to_place = self.arrivals.is_empty() && self.work.iter().all(|work| work.pending == 0);
        if nothing_to_place || self.passes >= MAX_PASSES {
            return false;
        }
        let Some(next) = self.next_change(now) else { return false };
        self.simulated_now = next;
        self.end_tasks(next);
        true
    }

    /// Adds the jobs that have arrived by `now` to the pending work.
    fn add_arrivals(&mut self, now: Duration) {
        while let Some(arrival) = self.arrivals.pop_if(|arrival| arrival.arrives_at <= now) {
            self.arrived_at.push(arrival.arrives_at);
            self.task_counts.push(arrival.work.pending);
            self.total_delays_s.push(0.0);
            self.work.push(arrival.work);
        }
    }

    /// Returns the next time at which a task ends, a machine becomes ready or a job arrives.
    fn next_change(&self, now: Duration) -> Option<Duration> {
        let first_ends = self.slots.iter().filter_map(|slot| slot.running.first());
        let ends = first_ends.map(|task| task.ends_at.max(now + TIME_RESOLUTION));
        let ready = self.slots.iter().map(|slot| slot.ready_at).filter(|ready_at| *ready_at > now);
        let arrival = self.arrivals.last().map(|arrival| arrival.arrives_at);
        ends.chain(ready).chain(arrival).min()
    }

    /// Removes the tasks that have ended by `now` from their machines.
    fn end_tasks(&mut self, now: Duration) {
        for slot in &mut self.slots {
            let ended = slot.running.partition_point(|task| task.ends_at <= now);
            for task in slot.running.drain(..ended) {
                slot.free.add(&task.demand);
                if !task.is_reservation {
                    self.teams[task.team].used.sub(&task.demand);
                }
            }
        }
    }

    /// Returns the average over all jobs of 1 + mean delay / run time, where the run time is at least
    /// [`MIN_SLOWDOWN_RUNTIME`]. Tasks that have not started count as delayed until the simulated time.
    fn average_bounded_slowdown(&self) -> f64 {
        let mut sum = self.running as f64;
        let mut jobs = self.running;
        for (index, work) in self.work.iter().enumerate() {
            if self.task_counts[index] == 0 {
                continue;
            }
            let waited_s = self.simulated_now.saturating_sub(self.arrived_at[index]).as_secs_f64();
            let total_delay_s = self.total_delays_s[index] + waited_s * f64::from(work.pending);
            let mean_delay_s = total_delay_s / f64::from(self.task_counts[index]);
            sum += 1.0 + mean_delay_s / work.estimated_runtime.max(MIN_SLOWDOWN_RUNTIME).as_secs_f64();
            jobs += 1;
        }
        if jobs == 0 {
            1.0
        } else {
            sum / jobs as f64
        }
    }
}
