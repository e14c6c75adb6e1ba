//! Replay: the backlog simulated on a trial fleet (the paper, section 3.3), in
//! time slices, since the node has other things to do meanwhile.

use crate::placement::backfill::{pass, Slot};
use crate::placement::fair_share::{TeamUsage, Work};
use std::cmp::Reverse;
use std::time::Duration;

/// Run times below this count as this in a bounded slowdown.
const MIN_SLOWDOWN_RUNTIME: Duration = Duration::from_secs(10);
/// Passes of one replay; a longer backlog than this is overload for sure.
const MAX_PASSES: usize = 2_000;
/// Ends of tasks within this time are replayed together.
const TIME_RESOLUTION: Duration = Duration::from_millis(200);

/// A job that is still to arrive in the replay.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// When it arrives, on the node's clock.
    pub arrives_at: Duration,
    /// Its tasks.
    pub work: Work,
}

/// Jobs on trial machines, up to some simulated moment.
#[derive(Debug)]
pub struct Replay {
    simulated_now: Duration,
    slots: Vec<Slot>,
    work: Vec<Work>,
    /// The next one last.
    arrivals: Vec<Arrival>,
    teams: Vec<TeamUsage>,
    /// Of each work: when it arrived.
    arrived_at: Vec<Duration>,
    /// Of each work: how many tasks it had then.
    task_counts: Vec<u32>,
    /// Of each work: how long its started tasks waited, summed up in seconds.
    total_delays_s: Vec<f64>,
    /// Jobs that run and wait for nothing.
    running: usize,
    passes: usize,
}

impl Replay {
    /// A replay that begins at `now` with this work pending on these machines. `running` is the
    /// number of jobs that run and wait for nothing.
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

    /// The size of the trial fleet.
    pub fn machines(&self) -> usize {
        self.slots.len()
    }

    /// Goes on for some passes; returns the average bounded slowdown at the end of the replay,
    /// None before.
    pub fn advance(&mut self, passes: usize) -> Option<f64> {
        for _ in 0..passes {
            if !self.step() {
                return Some(self.average_bounded_slowdown());
            }
        }
        None
    }

    /// One pass, and on to the next moment at which something changes; false at the end of the
    /// replay.
    fn step(&mut self) -> bool {
        let now = self.simulated_now;
        self.take_arrivals(now);
        for start in pass(now, &mut self.slots, &mut self.work, &mut self.teams) {
            self.total_delays_s[start.work_index] +=
                start.at.saturating_sub(self.arrived_at[start.work_index]).as_secs_f64();
        }
        self.passes += 1;
        let is_idle = self.arrivals.is_empty() && self.work.iter().all(|work| work.pending == 0);
        if is_idle || self.passes >= MAX_PASSES {
            return false;
        }
        let Some(next) = self.next_change(now) else { return false };
        self.simulated_now = next;
        self.end_tasks(next);
        true
    }

    /// Takes in the jobs that have arrived.
    fn take_arrivals(&mut self, now: Duration) {
        while let Some(arrival) = self.arrivals.pop_if(|arrival| arrival.arrives_at <= now) {
            self.arrived_at.push(arrival.arrives_at);
            self.task_counts.push(arrival.work.pending);
            self.total_delays_s.push(0.0);
            self.work.push(arrival.work);
        }
    }

    /// The next moment at which a task ends, a machine is ready or a job arrives.
    fn next_change(&self, now: Duration) -> Option<Duration> {
        let first_ends = self.slots.iter().filter_map(|slot| slot.running.first());
        let ends = first_ends.map(|task| task.ends_at.max(now + TIME_RESOLUTION));
        let ready = self.slots.iter().map(|slot| slot.ready_at).filter(|ready_at| *ready_at > now);
        let arrival = self.arrivals.last().map(|arrival| arrival.arrives_at);
        ends.chain(ready).chain(arrival).min()
    }

    /// Takes the tasks that have ended off their machines.
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

    /// The average over all jobs of 1 + mean delay / run time, with a lower bound for the latter.
    /// Tasks that never started count as delayed up to now.
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
