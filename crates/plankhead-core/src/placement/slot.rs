//! A machine as seen by a placement pass, with the tasks that run on it.

use crate::jobs::job::Resources;
use crate::placement::fair_share::Work;
use std::time::Duration;

/// The upper limit of an estimated image fetch time, in seconds.
const MAX_FETCH_S: f64 = 3600.0;
/// An overdue task is assumed to run on for its estimated run time divided by this.
const OVERDUE_DIVISOR: u32 = 5;

/// A machine as seen by a pass.
#[derive(Debug, Clone, PartialEq)]
pub struct Slot {
    /// The machine's pool, by number in the placement index.
    pub pool: usize,
    /// The machine's zone, by number in the placement index.
    pub zone: usize,
    /// The machine's price according to the latest price list.
    pub price: f64,
    /// The resources that no task takes.
    pub free: Resources,
    /// The time from which the machine accepts tasks.
    pub ready_at: Duration,
    /// The tasks on the machine, in the order of their estimated ends.
    pub running: Vec<RunningTask>,
    /// The images that the machine has or is fetching, by number in the placement index.
    pub images: Vec<u32>,
    /// The number of images being fetched.
    pub fetches_in_progress: u32,
    /// The rate at which the machine fetches images. At 0 or less, images are fetched instantly.
    pub image_fetch_gb_per_s: f64,
}

/// A task on a machine, with its estimated end.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RunningTask {
    /// The estimated end of the task.
    pub ends_at: Duration,
    /// The remaining run time assumed for the task once it is overdue.
    pub overdue_extension: Duration,
    /// The resources that the task takes.
    pub demand: Resources,
    /// The task's team, by number.
    pub team: usize,
    /// Whether this is only room reserved for a task that waits for the machine.
    pub is_reservation: bool,
}

impl Slot {
    /// Adds a task, keeping the order of ends.
    pub fn add_running(&mut self, task: RunningTask) {
        let position = self.running.partition_point(|other| other.ends_at <= task.ends_at);
        self.running.insert(position, task);
        self.free.sub(&task.demand);
    }

    /// Extends the estimated ends of overdue tasks, so that a slot computed earlier is valid at
    /// `now` if no task has ended since.
    pub fn extend_overdue(&mut self, now: Duration) {
        if self.running.first().is_some_and(|task| task.ends_at < now + task.overdue_extension) {
            for task in &mut self.running {
                task.ends_at = task.ends_at.max(now + task.overdue_extension);
            }
            self.running.sort_by_key(|task| task.ends_at);
        }
    }

    /// Returns the free resources at a later time, if no further task starts.
    pub(super) fn free_at(&self, at: Duration) -> Resources {
        let mut free = self.free;
        for task in self.running.iter().take_while(|task| task.ends_at <= at) {
            free.add(&task.demand);
        }
        free
    }

    /// Returns the earliest time before `until` at which a task of this demand would fit.
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

    /// Returns how many tasks of this demand, up to `max_tasks`, will fit by `deadline`.
    pub fn fits_by(&self, demand: &Resources, deadline: Duration, max_tasks: u32) -> u32 {
        if self.ready_at > deadline {
            return 0;
        }
        count_fitting(demand, self.free_at(deadline), max_tasks)
    }

    /// Returns whether the machine may run the work's tasks, regardless of its free resources.
    pub(super) fn is_eligible(&self, work: &Work) -> bool {
        work.allows(self.pool) && work.admits_zone(self.zone)
    }

    /// Returns whether a task of the work would start without waiting for its image.
    pub(super) fn has_image(&self, work: &Work) -> bool {
        self.image_fetch_gb_per_s <= 0.0 || self.images.contains(&work.image)
    }

    /// Returns the time for which a task of the work would wait for its image.
    pub(super) fn fetch_time(&self, work: &Work) -> Duration {
        if self.has_image(work) {
            return Duration::ZERO;
        }
        self.uncached_fetch_time(work)
    }

    /// Returns the fetch time of the work's image, which shares the bandwidth with the fetches in
    /// progress.
    pub(super) fn uncached_fetch_time(&self, work: &Work) -> Duration {
        let fetches = f64::from(self.fetches_in_progress + 1);
        Duration::from_secs_f64((work.image_gb * fetches / self.image_fetch_gb_per_s).min(MAX_FETCH_S))
    }

    /// Starts a task of the work, which first fetches its image if necessary.
    pub(super) fn start_task(&mut self, now: Duration, work: &Work) {
        let ends_at = now + self.fetch_time(work) + work.estimated_runtime;
        if !self.images.contains(&work.image) {
            self.images.push(work.image);
            self.fetches_in_progress += 1;
        }
        self.add_running(RunningTask::of(work, ends_at, false));
    }

    /// Reserves room for a task of the work that waits until `at` for this machine, which has its
    /// image. The room is taken at once, so that smaller tasks cannot use it in the meantime.
    pub(super) fn reserve_task(&mut self, at: Duration, work: &Work) {
        self.add_running(RunningTask::of(work, at + work.estimated_runtime, true));
    }
}

impl RunningTask {
    fn of(work: &Work, ends_at: Duration, is_reservation: bool) -> Self {
        Self {
            ends_at,
            overdue_extension: work.estimated_runtime / OVERDUE_DIVISOR,
            demand: work.demand,
            team: work.team,
            is_reservation,
        }
    }
}

/// Returns how many tasks of this demand, up to `max_tasks`, fit into the free resources.
pub(super) fn count_fitting(demand: &Resources, mut free: Resources, max_tasks: u32) -> u32 {
    let mut count = 0;
    while count < max_tasks && demand.fits(&free) {
        free.sub(demand);
        count += 1;
    }
    count
}
