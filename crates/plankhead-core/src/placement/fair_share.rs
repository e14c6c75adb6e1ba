//! Fair share: the order in which a placement pass serves the teams. Work of a higher priority
//! comes first, then work within its team's guaranteed quota, then the team that uses the smallest
//! share of its guaranteed quota.

use crate::jobs::job::{Priority, Resources};
use std::cmp::Reverse;
use std::collections::VecDeque;
use std::time::Duration;

/// The tolerance for rounding errors in sums of decimal amounts.
const QUOTA_TOLERANCE: f64 = 1e-6;
/// The smallest guaranteed amount used to compute a share, so that a team without a guarantee comes
/// after other teams.
const MIN_GUARANTEED: f64 = 1e-3;

/// A team's quota and usage during one pass.
#[derive(Debug, Clone, Default)]
pub struct TeamUsage {
    /// The team's guaranteed resources, which it gets before other teams; memory is not counted.
    pub guaranteed: Resources,
    /// The most resources that the team may use; memory is not counted.
    pub limit: Resources,
    /// The resources taken by the team's attempts.
    pub used: Resources,
}

impl TeamUsage {
    /// Returns the used fraction of the team's guaranteed CPUs or GPUs, whichever is larger. The
    /// team with the smallest fraction is served next.
    fn share_ratio(&self) -> f64 {
        let ratio = |used: f64, guaranteed: f64| {
            if used <= 0.0 {
                0.0
            } else {
                used / guaranteed.max(MIN_GUARANTEED)
            }
        };
        let cpus = ratio(self.used.cpus, self.guaranteed.cpus);
        cpus.max(ratio(self.used.gpus, self.guaranteed.gpus))
    }

    /// Returns whether the team stays within its limit with one more task of this demand.
    pub fn admits(&self, demand: &Resources) -> bool {
        self.admits_all(demand, 1)
    }

    /// Returns whether the team stays within its limit with `tasks` more tasks of this demand.
    pub fn admits_all(&self, demand: &Resources, tasks: u32) -> bool {
        let mut used = self.used;
        used.add(&demand.times(tasks));
        used.cpus <= self.limit.cpus + QUOTA_TOLERANCE && used.gpus <= self.limit.gpus + QUOTA_TOLERANCE
    }
}

/// The pending tasks of one job, as seen by a placement pass. Pools, zones and images are given by
/// their numbers in the [`crate::placement::index::PlacementIndex`].
#[derive(Debug, Clone)]
pub struct Work {
    /// The index of the team in the pass's list.
    pub team: usize,
    /// The job's priority.
    pub priority: Priority,
    /// Whether the job is within its team's guaranteed quota.
    pub guaranteed: bool,
    /// When the job was accepted.
    pub accepted_at: Duration,
    /// The latest time at which a task can start and still meet the job's objective.
    pub latest_start: Duration,
    /// The latest time at which a task can start, be lost, run again and still finish in time.
    pub latest_restart: Duration,
    /// The resources that each task takes.
    pub demand: Resources,
    /// The image that a machine must have before a task can run.
    pub image: u32,
    /// The size of the image in gigabytes.
    pub image_gb: f64,
    /// For each pool, whether its machines may run the tasks.
    pub allowed_pools: Vec<bool>,
    /// Whether all tasks must be in the same zone.
    pub single_zone: bool,
    /// The largest number of the job's tasks allowed in one zone at a time.
    pub max_per_zone: u32,
    /// The estimated run time of a task once it has its image.
    pub estimated_runtime: Duration,
    /// The number of tasks that can be placed.
    pub pending: u32,
    /// Whether the pending tasks must all start at once.
    pub gang: bool,
    /// Whether a task of the job has already been placed.
    pub has_started: bool,
    /// The number of attempts in each zone that are not known to have ended.
    pub attempts_by_zone: Vec<(usize, u32)>,
}

impl Work {
    /// Returns whether machines of the pool may run the tasks.
    pub fn allows(&self, pool: usize) -> bool {
        self.allowed_pools.get(pool).copied().unwrap_or(false)
    }

    /// Returns whether one more task of the job may be placed in the zone.
    pub fn admits_zone(&self, zone: usize) -> bool {
        if self.single_zone && self.attempts_by_zone.iter().any(|(other, count)| *count > 0 && *other != zone)
        {
            return false;
        }
        let in_zone = self.attempts_by_zone.iter().find(|(other, _)| *other == zone);
        in_zone.map_or(0, |(_, count)| *count) < self.max_per_zone
    }

    /// Returns the number of pending tasks that must start together.
    pub fn min_simultaneous(&self) -> u32 {
        if self.gang {
            self.pending
        } else {
            1
        }
    }

    /// Returns the price by which this work ranks a machine; the lowest is the best. Spot instances
    /// are cheap but may be preempted, so once there is no time for a second run the price is
    /// negated and the most expensive machine is the best.
    pub fn effective_price(&self, price: f64, now: Duration) -> f64 {
        if now > self.latest_restart {
            -price
        } else {
            price
        }
    }

    /// Adds one attempt to the count of the zone.
    pub fn add_to_zone(&mut self, zone: usize) {
        match self.attempts_by_zone.iter_mut().find(|(other, _)| *other == zone) {
            Some((_, count)) => *count += 1,
            None => self.attempts_by_zone.push((zone, 1)),
        }
    }

    /// Returns the work's tier, which takes precedence over team shares; the smallest is served
    /// first.
    fn tier(&self) -> Tier {
        Tier { priority: Reverse(self.priority), exceeds_guarantee: !self.guaranteed }
    }
}

/// The rank of work regardless of its team's share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Tier {
    priority: Reverse<Priority>,
    exceeds_guarantee: bool,
}

/// The part of a team's guaranteed quota that an unfinished job takes.
#[derive(Debug, Clone, Copy)]
pub struct QuotaDemand {
    /// The index of the team in the pass's list.
    pub team: usize,
    /// When the job was accepted; earlier jobs take precedence.
    pub accepted_at: Duration,
    /// The total resources of the job's unfinished tasks.
    pub resources: Resources,
}

/// Returns for each job whether it fits into its team's guaranteed quota together with the team's
/// earlier unfinished jobs.
pub fn jobs_within_guarantee(demands: &[QuotaDemand], teams: &[TeamUsage]) -> Vec<bool> {
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by_key(|index| demands[*index].accepted_at);
    let mut sums = vec![Resources::default(); teams.len()];
    let mut is_guaranteed = vec![false; demands.len()];
    for index in order {
        let team = demands[index].team;
        sums[team].add(&demands[index].resources);
        let quota = Resources { ram_gb: f64::INFINITY, ..teams[team].guaranteed };
        is_guaranteed[index] = sums[team].fits(&quota);
    }
    is_guaranteed
}

/// One queue of work per team, each in the order of service.
#[derive(Debug)]
pub struct FairShareQueue {
    queues: Vec<VecDeque<usize>>,
}

impl FairShareQueue {
    /// Creates the queues of all work with pending tasks, for the given number of teams.
    pub fn new(work: &[Work], teams: usize) -> Self {
        let mut queues = vec![VecDeque::new(); teams];
        let mut order: Vec<usize> = (0..work.len()).filter(|index| work[*index].pending > 0).collect();
        order.sort_by_key(|index| {
            let work = &work[*index];
            (work.tier(), work.latest_start, work.accepted_at, *index)
        });
        for index in order {
            queues[work[index].team].push_back(index);
        }
        Self { queues }
    }

    /// Returns the index of the work to serve next. Of the first entries of all queues this is the
    /// one with the highest priority, then the one within its guaranteed quota, then the one whose
    /// team uses the smallest share of its guaranteed quota. Ties are broken by the latest start and
    /// then by the time of acceptance, the earlier first.
    pub fn next(&mut self, work: &[Work], teams: &[TeamUsage]) -> Option<usize> {
        let mut best: Option<(usize, f64)> = None;
        for (team, queue) in self.queues.iter_mut().enumerate() {
            while queue.front().is_some_and(|index| work[*index].pending == 0) {
                queue.pop_front();
            }
            let Some(index) = queue.front().copied() else { continue };
            let ratio = teams[team].share_ratio();
            let is_better = best.is_none_or(|(best_index, best_ratio)| {
                let (work, best_work) = (&work[index], &work[best_index]);
                work.tier()
                    .cmp(&best_work.tier())
                    .then(ratio.total_cmp(&best_ratio))
                    .then(work.latest_start.cmp(&best_work.latest_start))
                    .then(work.accepted_at.cmp(&best_work.accepted_at))
                    .then(index.cmp(&best_index))
                    .is_lt()
            });
            if is_better {
                best = Some((index, ratio));
            }
        }
        best.map(|(index, _)| index)
    }

    /// Removes the work last returned by [`FairShareQueue::next`], because no further task of it
    /// can start in this pass.
    pub fn skip(&mut self, work: &[Work], index: usize) {
        self.queues[work[index].team].pop_front();
    }
}
