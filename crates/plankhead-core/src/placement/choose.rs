//! Chooses the machine for a task, or the machines for a gang.

use crate::placement::fair_share::Work;
use crate::placement::gang::{self, GangOpening};
use crate::placement::reservation::Reservation;
use crate::placement::slot::{count_fitting, Slot};
use std::cmp::Ordering;
use std::time::Duration;

/// The rank of a machine for a task; the smallest score is the best.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
struct Score {
    /// The time for which the task would wait for its image.
    fetch_time: Duration,
    /// The machine's effective price for the work.
    price: f64,
    /// The machine's free CPUs. The fullest machine is preferred, so that others become empty and
    /// can be returned to the cloud.
    free_cpus: f64,
}

/// A machine on which tasks of a gang could start now.
struct GangCandidate {
    slot: usize,
    /// The number of the gang's tasks that could start on it.
    max_tasks: u32,
    score: Score,
}

impl GangCandidate {
    /// Orders candidates by score, but prefers machines that take more tasks to fuller ones.
    fn compare(&self, other: &Self) -> Ordering {
        let (a, b) = (&self.score, &other.score);
        a.fetch_time
            .cmp(&b.fetch_time)
            .then(a.price.total_cmp(&b.price))
            .then(other.max_tasks.cmp(&self.max_tasks))
            .then(a.free_cpus.total_cmp(&b.free_cpus))
            .then(self.slot.cmp(&other.slot))
    }
}

/// Machines for all tasks of a gang.
struct GangChoice {
    /// The longest image fetch time among the machines.
    max_fetch_time: Duration,
    machines: usize,
    /// The slot of each task.
    slots: Vec<usize>,
}

/// The first time at which a busy machine has room for a task.
pub(super) struct Opening {
    pub(super) at: Duration,
    pub(super) slot: usize,
}

/// The slots in the current state of a pass, with the reservation that the work must not delay.
#[derive(Clone, Copy)]
pub(super) struct Chooser<'a> {
    pub(super) slots: &'a [Slot],
    pub(super) now: Duration,
    pub(super) reservation: Option<&'a Reservation>,
}

impl Chooser<'_> {
    /// Returns the best machine on which one task can start now: the one with the shortest image
    /// fetch time, then the lowest effective price, then the fewest free CPUs, so that other
    /// machines become empty and can be returned. `open_slots` lists the slots that may have room.
    pub(super) fn best_slot(&self, open_slots: &[usize], work: &Work) -> Option<usize> {
        let mut best: Option<(usize, Score)> = None;
        let mut fetch_times = FetchTimeCache::default();
        for index in open_slots {
            let slot = &self.slots[*index];
            // Few slots have reserved room. Only on these must the tasks that may start be counted.
            let delays_reservation = || self.is_reserved(*index) && self.max_starts(*index, work, 1) == 0;
            if !work.demand.fits(&slot.free) || !slot.is_eligible(work) || delays_reservation() {
                continue;
            }
            let score = Score {
                fetch_time: fetch_times.get(slot, work),
                price: work.effective_price(slot.price, self.now),
                free_cpus: slot.free.cpus,
            };
            if best.as_ref().is_none_or(|(_, lowest)| score < *lowest) {
                best = Some((*index, score));
            }
        }
        best.map(|(index, _)| index)
    }

    /// Returns the slot of each task of a gang that can start now. A gang that must be in a single
    /// zone gets the zone whose longest image fetch is the shortest, then the one that needs the
    /// fewest machines. Machines are ranked as in [`Self::best_slot`], but ones that take more tasks
    /// come before fuller ones: the loss of any machine stops the whole gang, so fewer are better.
    pub(super) fn gang_slots(&self, open_slots: &[usize], work: &Work) -> Option<Vec<usize>> {
        let candidates = self.gang_candidates(open_slots, work);
        let mut best: Option<GangChoice> = None;
        let zones = gang::zones_to_try(self.slots, candidates.iter().map(|c| c.slot), work);
        for zone in zones {
            let Some(choice) = self.choose_in_zone(&candidates, work, zone) else { continue };
            let rank = |choice: &GangChoice| (choice.max_fetch_time, choice.machines);
            if best.as_ref().is_none_or(|lowest| rank(&choice) < rank(lowest)) {
                best = Some(choice);
            }
        }
        best.map(|choice| choice.slots)
    }

    /// Returns the machines on which tasks of the gang could start now, the best first.
    fn gang_candidates(&self, open_slots: &[usize], work: &Work) -> Vec<GangCandidate> {
        let mut candidates = Vec::new();
        for index in open_slots {
            let slot = &self.slots[*index];
            if !slot.is_eligible(work) {
                continue;
            }
            let max_tasks = self.max_starts(*index, work, work.pending);
            if max_tasks > 0 {
                let score = Score {
                    fetch_time: slot.fetch_time(work),
                    price: work.effective_price(slot.price, self.now),
                    free_cpus: slot.free.cpus,
                };
                candidates.push(GangCandidate { slot: *index, max_tasks, score });
            }
        }
        candidates.sort_by(GangCandidate::compare);
        candidates
    }

    /// Assigns the gang's tasks to the first candidates in the zone, or in all zones if `None`.
    /// Returns `None` if they do not have room for the whole gang.
    fn choose_in_zone(
        &self,
        candidates: &[GangCandidate],
        work: &Work,
        zone: Option<usize>,
    ) -> Option<GangChoice> {
        let mut remaining = work.clone();
        let mut choice = GangChoice { max_fetch_time: Duration::ZERO, machines: 0, slots: Vec::new() };
        for candidate in candidates {
            let slot = &self.slots[candidate.slot];
            if zone.is_some_and(|zone| zone != slot.zone) || remaining.pending == 0 {
                continue;
            }
            let pending_before = remaining.pending;
            for _ in 0..candidate.max_tasks {
                if remaining.pending > 0 && remaining.admits_zone(slot.zone) {
                    remaining.pending -= 1;
                    remaining.add_to_zone(slot.zone);
                    choice.slots.push(candidate.slot);
                }
            }
            if remaining.pending < pending_before {
                choice.machines += 1;
                choice.max_fetch_time = choice.max_fetch_time.max(candidate.score.fetch_time);
            }
        }
        (remaining.pending == 0).then_some(choice)
    }

    /// Returns how many tasks of the work, up to `max_tasks`, may start on the slot without delaying
    /// the reservation.
    fn max_starts(&self, index: usize, work: &Work, max_tasks: u32) -> u32 {
        let slot = &self.slots[index];
        let fitting = count_fitting(&work.demand, slot.free, max_tasks);
        let Some(reservation) = self.reservation else { return fitting };
        let Some(reserved) = reservation.reserved_on(index) else { return fitting };
        if fitting == 0 || self.now + slot.fetch_time(work) + work.estimated_runtime <= reservation.at {
            return fitting;
        }
        let mut remaining = slot.free_at(reservation.at);
        remaining.sub(reserved);
        fitting.min(count_fitting(&work.demand, remaining, max_tasks))
    }

    /// Returns the busy machine with the image that first has room for a task, and when, if that is
    /// before the image fetch on `chosen` would end. Machines with room reserved for other work are
    /// excluded: otherwise, a task that such a reservation keeps off an idle machine waits for that
    /// same machine in every pass. Neither such a task nor the gang with the reservation started for
    /// a minute.
    pub(super) fn opening_before_fetch(&self, work: &Work, chosen: usize) -> Option<Opening> {
        let fetch_time = self.slots[chosen].fetch_time(work);
        if fetch_time.is_zero() {
            return None;
        }
        let mut best: Option<Opening> = None;
        for (index, slot) in self.slots.iter().enumerate() {
            if !slot.images.contains(&work.image) || !slot.is_eligible(work) || self.is_reserved(index) {
                continue;
            }
            let until = best.as_ref().map_or(self.now + fetch_time, |opening| opening.at);
            if let Some(at) = slot.earliest_fit(&work.demand, self.now, until) {
                best = Some(Opening { at, slot: index });
            }
        }
        best
    }

    /// Returns the busy machines with the image that first have room for the whole gang, and when,
    /// if that is no later than the gang's latest start, but the image fetches on `chosen` would end
    /// after that start.
    /// Otherwise the gang does not wait: tasks overrun their estimates, and a gang needs several of
    /// them to end. A gang that waited in every pass only to avoid a fetch started after 27 s
    /// instead of 7 s.
    pub(super) fn gang_opening_before_fetch(&self, work: &Work, chosen: &[usize]) -> Option<GangOpening> {
        let fetch_time = chosen.iter().map(|index| self.slots[*index].fetch_time(work)).max()?;
        if self.now + fetch_time <= work.latest_start {
            return None;
        }
        let is_candidate =
            |index: usize| self.slots[index].images.contains(&work.image) && !self.is_reserved(index);
        gang::first_opening(self.slots, work, self.now, is_candidate)
            .filter(|opening| opening.at <= work.latest_start)
    }

    /// Returns whether room on the slot is reserved for other work.
    fn is_reserved(&self, slot: usize) -> bool {
        self.reservation.is_some_and(|reservation| reservation.reserved_on(slot).is_some())
    }
}

/// Caches the latest computed fetch time of one image. Consecutive slots are often alike, so their
/// fetch time is computed only once.
#[derive(Debug, Default)]
struct FetchTimeCache {
    last: Option<CachedFetchTime>,
}

#[derive(Debug)]
struct CachedFetchTime {
    fetches_in_progress: u32,
    image_fetch_gb_per_s: f64,
    time: Duration,
}

impl FetchTimeCache {
    /// Returns the time for which a task of the work would wait for its image on the slot. All calls
    /// on one instance must be for the same work.
    fn get(&mut self, slot: &Slot, work: &Work) -> Duration {
        if slot.has_image(work) {
            return Duration::ZERO;
        }
        let is_alike = |last: &&CachedFetchTime| {
            last.fetches_in_progress == slot.fetches_in_progress
                && last.image_fetch_gb_per_s == slot.image_fetch_gb_per_s
        };
        if let Some(last) = self.last.as_ref().filter(is_alike) {
            return last.time;
        }
        let time = slot.uncached_fetch_time(work);
        self.last = Some(CachedFetchTime {
            fetches_in_progress: slot.fetches_in_progress,
            image_fetch_gb_per_s: slot.image_fetch_gb_per_s,
            time,
        });
        time
    }
}
