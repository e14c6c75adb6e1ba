//! The replay of the backlog on a trial fleet (the paper, section 3.3).

use crate::easy::{pass, Slot};
use crate::queue::{TeamRoom, Work};
use std::time::Duration;

/// Run times below this count as this in a slowdown.
const SLOWDOWN_FLOOR: Duration = Duration::from_secs(10);
/// Passes of one replay; a longer backlog than this is overload for sure.
const MOST_PASSES: usize = 2_000;

/// A job that is still to arrive in the replay.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub at: Duration,
    pub work: Work,
}

/// The average bounded slowdown of the jobs when they run on these machines.
/// `running` is the number of jobs that run and wait for nothing.
pub fn slowdown(
    now: Duration,
    mut slots: Vec<Slot>,
    mut work: Vec<Work>,
    mut arrivals: Vec<Arrival>,
    mut teams: Vec<TeamRoom>,
    running: usize,
) -> f64 {
    arrivals.sort_by_key(|a| std::cmp::Reverse(a.at));
    let mut from: Vec<Duration> = vec![now; work.len()];
    let mut total: Vec<u32> = work.iter().map(|w| w.pending).collect();
    let mut delay: Vec<f64> = vec![0.0; work.len()];
    let mut at = now;
    for _ in 0..MOST_PASSES {
        while arrivals.last().is_some_and(|a| a.at <= at) {
            if let Some(arrival) = arrivals.pop() {
                from.push(arrival.at);
                total.push(arrival.work.pending);
                delay.push(0.0);
                work.push(arrival.work);
            }
        }
        for start in pass(at, &mut slots, &mut work, &mut teams) {
            delay[start.work] += at.saturating_sub(from[start.work]).as_secs_f64();
        }
        if work.iter().all(|w| w.pending == 0) && arrivals.is_empty() {
            break;
        }
        let coming = slots
            .iter()
            .flat_map(|s| s.running.iter().map(|t| t.end).chain([s.ready]))
            .filter(|t| *t > at)
            .chain(arrivals.last().map(|a| a.at))
            .min();
        let Some(coming) = coming else { break };
        at = coming;
        for slot in &mut slots {
            let mut free = slot.free;
            slot.running.retain(|task| {
                let over = task.end <= at;
                if over {
                    free.add(&task.each);
                    teams[task.team].used.sub(&task.each);
                }
                !over
            });
            slot.free = free;
        }
    }
    let horizon = at;
    let mut sum = running as f64;
    let mut jobs = running;
    for (i, w) in work.iter().enumerate() {
        if total[i] == 0 {
            continue;
        }
        let never = horizon.saturating_sub(from[i]).as_secs_f64() * f64::from(w.pending);
        let mean = (delay[i] + never) / f64::from(total[i]);
        sum += 1.0 + mean / w.estimate.max(SLOWDOWN_FLOOR).as_secs_f64();
        jobs += 1;
    }
    if jobs == 0 {
        1.0
    } else {
        sum / jobs as f64
    }
}
