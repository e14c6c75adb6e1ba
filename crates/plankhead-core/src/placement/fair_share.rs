//! Fair share: whose turn it is in a placement pass. Urgent work comes before standard, what is
//! within a team's guaranteed quota before what exceeds it, then the team that holds the least
//! of its quota.

use crate::jobs::job::{Priority, Resources};
use std::cmp::Reverse;
use std::collections::VecDeque;
use std::time::Duration;

/// Room for the rounding errors of sums of decimal amounts.
const EPSILON: f64 = 1e-6;
/// The least guaranteed amount that a share is computed with, so that a team without a
/// guarantee comes after others.
const MIN_GUARANTEED: f64 = 1e-3;

/// A team as the queue sees it during one pass.
#[derive(Debug, Clone, Default)]
pub struct TeamUsage {
    /// What the team gets before others; memory is not counted.
    pub guaranteed: Resources,
    /// The most that it may use; memory is not counted.
    pub limit: Resources,
    /// What its attempts take.
    pub used: Resources,
}

impl TeamUsage {
    /// How much of its guarantee a team uses, of the resource of which that is more; the least
    /// comes next.
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

    /// Whether one more such task stays within the limit.
    pub fn admits(&self, demand: &Resources) -> bool {
        self.admits_all(demand, 1)
    }

    /// Whether so many more such tasks stay within the limit.
    pub fn admits_all(&self, demand: &Resources, tasks: u32) -> bool {
        let mut used = self.used;
        used.add(&demand.times(tasks));
        used.cpus <= self.limit.cpus + EPSILON && used.gpus <= self.limit.gpus + EPSILON
    }
}

/// One job's pending tasks, as a pass sees them. Names are numbers here, by
/// [`crate::placement::index::PlacementIndex`].
#[derive(Debug, Clone)]
pub struct Work {
    /// The team, by its place in the pass's list.
    pub team: usize,
    /// The job's priority.
    pub priority: Priority,
    /// It is within its team's guarantee.
    pub guaranteed: bool,
    /// When the job was accepted.
    pub accepted_at: Duration,
    /// By when a task must start to keep the job's objective.
    pub latest_start: Duration,
    /// A task that starts by then may be lost and run again in time.
    pub latest_restart: Duration,
    /// What each task takes of its machine.
    pub demand: Resources,
    /// The image that a machine must have before a task can start.
    pub image: u32,
    /// The image's size.
    pub image_gb: f64,
    /// By pool: whether its machines may run the tasks.
    pub allowed_pools: Vec<bool>,
    /// All tasks must be in the same zone.
    pub single_zone: bool,
    /// Tasks of the job allowed in one zone at a time.
    pub max_per_zone: u32,
    /// How long a task should run once it has its image.
    pub estimated_runtime: Duration,
    /// Tasks that could be placed.
    pub pending: u32,
    /// All pending tasks start at once, or none.
    pub gang: bool,
    /// Some task of the job was placed already.
    pub has_started: bool,
    /// Attempts not proven over, by zone.
    pub attempts_by_zone: Vec<(usize, u32)>,
}

impl Work {
    /// Whether machines of the pool may run the tasks.
    pub fn allows(&self, pool: usize) -> bool {
        self.allowed_pools.get(pool).copied().unwrap_or(false)
    }

    /// Whether one more task may join the job's tasks in this zone.
    pub fn admits_zone(&self, zone: usize) -> bool {
        if self.single_zone && self.attempts_by_zone.iter().any(|(other, count)| *count > 0 && *other != zone)
        {
            return false;
        }
        let in_zone = self.attempts_by_zone.iter().find(|(other, _)| *other == zone);
        in_zone.map_or(0, |(_, count)| *count) < self.max_per_zone
    }

    /// How many of the pending tasks must start together.
    pub fn min_simultaneous(&self) -> u32 {
        if self.gang {
            self.pending
        } else {
            1
        }
    }

    /// A machine's price as this work sees it: spot instances are the cheap ones and may be taken
    /// away, so that a task without time for a second run takes the dearest.
    pub fn effective_price(&self, price: f64, now: Duration) -> f64 {
        if now > self.latest_restart {
            -price
        } else {
            price
        }
    }

    /// Counts one more attempt in this zone.
    pub fn add_to_zone(&mut self, zone: usize) {
        match self.attempts_by_zone.iter_mut().find(|(other, _)| *other == zone) {
            Some((_, count)) => *count += 1,
            None => self.attempts_by_zone.push((zone, 1)),
        }
    }

    /// What comes before the order by shares; the least is served first.
    fn tier(&self) -> Tier {
        Tier { priority: Reverse(self.priority), exceeds_guarantee: !self.guaranteed }
    }
}

/// The order of work whatever its team.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Tier {
    priority: Reverse<Priority>,
    exceeds_guarantee: bool,
}

/// What an unfinished job still takes of its team's guarantee.
#[derive(Debug, Clone, Copy)]
pub struct QuotaDemand {
    /// The team, by its place in the pass's list.
    pub team: usize,
    /// When the job was accepted: earlier jobs come first.
    pub accepted_at: Duration,
    /// What all its unfinished tasks take together.
    pub resources: Resources,
}

/// Which jobs fit into their team's guarantee together with the team's earlier
/// unfinished ones.
pub fn guaranteed(demands: &[QuotaDemand], teams: &[TeamUsage]) -> Vec<bool> {
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

/// A queue per team, in the order in which its jobs come.
#[derive(Debug)]
pub struct FairShareQueue {
    queues: Vec<VecDeque<usize>>,
}

impl FairShareQueue {
    /// The queues of all work with pending tasks, for so many teams.
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

    /// The index of the work to serve next: the first of a queue, and of these the most
    /// urgent, then the guaranteed, then that of the team that holds the least
    /// of its quota.
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

    /// Nothing more of this work, which was next, can start in the pass.
    pub fn skip(&mut self, work: &[Work], index: usize) {
        self.queues[work[index].team].pop_front();
    }
}
