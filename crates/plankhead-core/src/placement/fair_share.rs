//! Whose turn it is: urgent work before standard, guarantees before borrowing,
//! then a queue per team, served in turn by shares.

use crate::jobs::job::{Priority, Resources};
use std::collections::VecDeque;
use std::time::Duration;

/// A team as the queue sees it during one pass.
#[derive(Debug, Clone, Default)]
pub struct TeamUsage {
    pub guaranteed: Resources,
    pub limit: Resources,
    pub used: Resources,
}

impl TeamUsage {
    /// How much of its share a team holds; the least comes next.
    fn share_ratio(&self) -> f64 {
        let of = |used: f64, share: f64| if used <= 0.0 { 0.0 } else { used / share.max(1e-3) };
        of(self.used.cpus, self.guaranteed.cpus).max(of(self.used.gpus, self.guaranteed.gpus))
    }

    pub fn admits(&self, each: &Resources) -> bool {
        self.admits_all(each, 1)
    }

    /// Whether so many more such tasks stay within the cap.
    pub fn admits_all(&self, each: &Resources, tasks: u32) -> bool {
        let mut used = self.used;
        used.add(&each.times(tasks));
        used.cpus <= self.limit.cpus + 1e-6 && used.gpus <= self.limit.gpus + 1e-6
    }
}

/// One job's pending tasks, as a pass sees them. Names are numbers here, by
/// [`crate::placement::index::PlacementIndex`].
#[derive(Debug, Clone)]
pub struct Work {
    pub team: usize,
    pub priority: Priority,
    pub guaranteed: bool,
    pub accepted_at: Duration,
    /// When it should start or be done at the latest.
    pub latest_start: Duration,
    /// A task that starts by then may be lost and run again in time.
    pub latest_restart: Duration,
    pub demand: Resources,
    pub image: u32,
    pub image_gb: f64,
    /// By pool: whether its machines may run the tasks.
    pub allowed_pools: Vec<bool>,
    pub single_zone: bool,
    /// Tasks of the job allowed in one zone at a time.
    pub max_per_zone: u32,
    pub estimated_runtime: Duration,
    pub pending: u32,
    /// All pending tasks start at once, or none.
    pub gang: bool,
    /// Some task of the job was placed already.
    pub has_started: bool,
    /// Attempts not proven gone, by zone.
    pub attempts_by_zone: Vec<(usize, u32)>,
}

impl Work {
    pub fn allows(&self, pool: usize) -> bool {
        self.allowed_pools.get(pool).copied().unwrap_or(false)
    }

    /// Whether one more task may join the job's tasks in this zone.
    pub fn admits_zone(&self, zone: usize) -> bool {
        if self.single_zone && self.attempts_by_zone.iter().any(|(z, n)| *n > 0 && *z != zone) {
            return false;
        }
        let here = self.attempts_by_zone.iter().find(|(z, _)| *z == zone).map_or(0, |(_, n)| *n);
        here < self.max_per_zone
    }

    /// How many of the pending tasks must start together.
    pub fn min_simultaneous(&self) -> u32 {
        if self.gang {
            self.pending
        } else {
            1
        }
    }

    /// A machine's price as this work sees it: cheap ones may be taken away, so that
    /// a task without time for a second run takes the dearest.
    pub fn effective_price(&self, price: f64, now: Duration) -> f64 {
        if now > self.latest_restart {
            -price
        } else {
            price
        }
    }

    pub fn add_to_zone(&mut self, zone: usize) {
        match self.attempts_by_zone.iter_mut().find(|(z, _)| *z == zone) {
            Some((_, n)) => *n += 1,
            None => self.attempts_by_zone.push((zone, 1)),
        }
    }

    fn tier(&self) -> (std::cmp::Reverse<Priority>, bool) {
        (std::cmp::Reverse(self.priority), !self.guaranteed)
    }
}

/// What an unfinished job still takes of its team's guarantee.
#[derive(Debug, Clone, Copy)]
pub struct QuotaDemand {
    pub team: usize,
    pub accepted_at: Duration,
    pub resources: Resources,
}

/// Which jobs fit into their team's guarantee together with the team's earlier
/// unfinished ones.
pub fn guaranteed(needs: &[QuotaDemand], teams: &[TeamUsage]) -> Vec<bool> {
    let mut order: Vec<usize> = (0..needs.len()).collect();
    order.sort_by_key(|i| needs[*i].accepted_at);
    let mut sums = vec![Resources::default(); teams.len()];
    let mut fit = vec![false; needs.len()];
    for i in order {
        let team = needs[i].team;
        sums[team].add(&needs[i].resources);
        let room = Resources { ram_gb: f64::INFINITY, ..teams[team].guaranteed };
        fit[i] = sums[team].fits(&room);
    }
    fit
}

/// A queue per team, in the order in which its jobs come.
#[derive(Debug)]
pub struct FairShareQueue {
    queues: Vec<VecDeque<usize>>,
}

impl FairShareQueue {
    pub fn new(work: &[Work], teams: usize) -> Self {
        let mut queues = vec![VecDeque::new(); teams];
        let mut order: Vec<usize> = (0..work.len()).filter(|i| work[*i].pending > 0).collect();
        order.sort_by_key(|i| (work[*i].tier(), work[*i].latest_start, work[*i].accepted_at, *i));
        for i in order {
            queues[work[i].team].push_back(i);
        }
        Self { queues }
    }

    /// The work to serve next: the first of a queue, and of these the most
    /// urgent, then the guaranteed, then that of the team that holds the least
    /// of its share.
    pub fn next(&mut self, work: &[Work], teams: &[TeamUsage]) -> Option<usize> {
        let mut best: Option<(usize, f64)> = None;
        for (team, queue) in self.queues.iter_mut().enumerate() {
            while queue.front().is_some_and(|i| work[*i].pending == 0) {
                queue.pop_front();
            }
            let Some(i) = queue.front().copied() else { continue };
            let ratio = teams[team].share_ratio();
            let better = best.is_none_or(|(b, least)| {
                let (x, y) = (&work[i], &work[b]);
                let by_share = x.tier().cmp(&y.tier()).then(ratio.total_cmp(&least));
                by_share
                    .then((x.latest_start, x.accepted_at, i).cmp(&(y.latest_start, y.accepted_at, b)))
                    .is_lt()
            });
            if better {
                best = Some((i, ratio));
            }
        }
        best.map(|(i, _)| i)
    }

    /// Nothing more of this work, which was next, can start in the pass.
    pub fn skip(&mut self, work: &[Work], i: usize) {
        self.queues[work[i].team].pop_front();
    }
}
