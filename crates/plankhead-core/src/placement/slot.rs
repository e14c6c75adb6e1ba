//! A machine as a placement pass sees it, and what runs on it.

use crate::jobs::job::Resources;
use crate::placement::fair_share::Work;
use std::time::Duration;

/// The longest time that an image fetch is taken to need, in seconds.
const MAX_FETCH_S: f64 = 3600.0;
/// An overdue task is taken to need one part in so many of its estimated run time more.
const OVERDUE_PARTS: u32 = 5;

/// A machine as a pass sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct Slot {
    /// Its pool, by number in the placement index.
    pub pool: usize,
    /// Its zone, by number in the placement index.
    pub zone: usize,
    /// What the machine costs, by the last price list.
    pub price: f64,
    /// What no task takes.
    pub free: Resources,
    /// From when on it takes tasks.
    pub ready_at: Duration,
    /// In the order of their ends.
    pub running: Vec<Running>,
    /// The images that it holds or fetches, by number in the placement index.
    pub images: Vec<u32>,
    /// The number of images being fetched at present.
    pub fetches_in_progress: u32,
    /// How fast it fetches images; 0 or less: without delay.
    pub image_fetch_gb_per_s: f64,
}

/// A task on a machine, with its estimated end.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Running {
    /// When it should end.
    pub ends_at: Duration,
    /// Once it is overdue, it is taken to need this much more.
    pub grace: Duration,
    /// What it takes of the machine.
    pub demand: Resources,
    /// Its team, by number.
    pub team: usize,
    /// Only room held for a task that waits for the machine's image.
    pub is_reservation: bool,
}

impl Slot {
    /// Adds a task in the order of ends.
    pub fn add_running(&mut self, task: Running) {
        let position = self.running.partition_point(|other| other.ends_at <= task.ends_at);
        self.running.insert(position, task);
        self.free.sub(&task.demand);
    }

    /// Puts off the ends of overdue tasks: the machine at a later time, if nothing has ended
    /// since.
    pub fn extend_overdue(&mut self, now: Duration) {
        if self.running.first().is_some_and(|task| task.ends_at < now + task.grace) {
            for task in &mut self.running {
                task.ends_at = task.ends_at.max(now + task.grace);
            }
            self.running.sort_by_key(|task| task.ends_at);
        }
    }

    /// What is free at a later time if nothing more starts.
    pub(super) fn free_at(&self, at: Duration) -> Resources {
        let mut free = self.free;
        for task in self.running.iter().take_while(|task| task.ends_at <= at) {
            free.add(&task.demand);
        }
        free
    }

    /// The earliest time, before `until`, at which the task would find room.
    pub(super) fn earliest_fit(
        &self,
        demand: &Resources,
        now: Duration,
        until: Duration,
    ) -> Option<Duration> {
        let from = self.ready_at.max(now);
        let mut free = self.free;
        let mut at = from;
        let mut ending = self.running.iter();
        while !demand.fits(&free) {
            let task = ending.next()?;
            free.add(&task.demand);
            at = task.ends_at.max(from);
            if at >= until {
                return None;
            }
        }
        Some(at).filter(|at| *at < until)
    }

    /// How many such tasks, `max_tasks` at the most, will find room by `deadline`.
    pub fn fits_by(&self, demand: &Resources, deadline: Duration, max_tasks: u32) -> u32 {
        if self.ready_at > deadline {
            return 0;
        }
        count_fitting(demand, self.free_at(deadline), max_tasks)
    }

    /// Whether the machine may run the work's tasks, however full it is.
    pub(super) fn suits(&self, work: &Work) -> bool {
        work.allows(self.pool) && work.admits_zone(self.zone)
    }

    /// Whether a task of the work would not wait for its image.
    pub(super) fn has_image(&self, work: &Work) -> bool {
        self.image_fetch_gb_per_s <= 0.0 || self.images.contains(&work.image)
    }

    /// How long a task of the work would wait for its image.
    pub(super) fn fetch_time(&self, work: &Work) -> Duration {
        if self.has_image(work) {
            return Duration::ZERO;
        }
        self.uncached_fetch_time(work)
    }

    /// How long the work's image takes to fetch besides the fetches in progress.
    pub(super) fn uncached_fetch_time(&self, work: &Work) -> Duration {
        let fetches = f64::from(self.fetches_in_progress + 1);
        Duration::from_secs_f64((work.image_gb * fetches / self.image_fetch_gb_per_s).min(MAX_FETCH_S))
    }

    /// Starts a task of the work, which fetches its image first if it has to.
    pub(super) fn start_task(&mut self, now: Duration, work: &Work) {
        let ends_at = now + self.fetch_time(work) + work.estimated_runtime;
        if !self.images.contains(&work.image) {
            self.images.push(work.image);
            self.fetches_in_progress += 1;
        }
        self.add_running(Running::of(work, ends_at, false));
    }

    /// Holds room for a task of the work that waits for this machine's image, from `at` on:
    /// nothing smaller slips in meanwhile.
    pub(super) fn reserve_task(&mut self, at: Duration, work: &Work) {
        self.add_running(Running::of(work, at + work.estimated_runtime, true));
    }
}

impl Running {
    fn of(work: &Work, ends_at: Duration, is_reservation: bool) -> Self {
        Self {
            ends_at,
            grace: work.estimated_runtime / OVERDUE_PARTS,
            demand: work.demand,
            team: work.team,
            is_reservation,
        }
    }
}

/// How many tasks of this demand, `max_tasks` at the most, fit into what is free.
pub(super) fn count_fitting(demand: &Resources, mut free: Resources, max_tasks: u32) -> u32 {
    let mut count = 0;
    while count < max_tasks && demand.fits(&free) {
        free.sub(demand);
        count += 1;
    }
    count
}
