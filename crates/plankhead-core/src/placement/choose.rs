//! Which machine a task, or which machines a gang, should take.

use crate::placement::fair_share::Work;
use crate::placement::gang::{self, GangOpening};
use crate::placement::reservation::Reservation;
use crate::placement::slot::{count_fitting, Slot};
use std::cmp::Ordering;
use std::time::Duration;

/// How well a machine serves a task; the least is the best.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
struct Score {
    /// How long the task would wait for its image.
    fetch_time: Duration,
    /// The machine's price as the work sees it.
    price: f64,
    /// The fullest machine first, so that others can go back.
    free_cpus: f64,
}

/// A machine that could take tasks of a gang now.
struct GangCandidate {
    slot: usize,
    /// How many of the gang's tasks it could take.
    max_tasks: u32,
    score: Score,
}

impl GangCandidate {
    /// As for one task, but the machine that takes the most tasks before the fullest.
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
    /// When the last image would be there.
    last_fetch: Duration,
    machines: usize,
    /// One entry a task.
    slots: Vec<usize>,
}

/// When a busy machine has room for a task.
pub(super) struct Opening {
    pub(super) at: Duration,
    pub(super) slot: usize,
}

/// The machines at one moment of a pass, with the reservation that binds the work.
#[derive(Clone, Copy)]
pub(super) struct Chooser<'a> {
    pub(super) slots: &'a [Slot],
    pub(super) now: Duration,
    pub(super) reservation: Option<&'a Reservation>,
}

impl Chooser<'_> {
    /// The best machine for one task now: the image is there, or comes soonest; then
    /// the cheapest, or the dearest for a task that must not be lost; then the
    /// fullest, so that others can go back. `room` names the machines that
    /// may have some.
    pub(super) fn best_slot(&self, room: &[usize], work: &Work) -> Option<usize> {
        let mut best: Option<(usize, Score)> = None;
        let mut fetch_times = FetchTimes::default();
        for index in room {
            let slot = &self.slots[*index];
            // Most slots have nothing kept on them: arrays don't pay for what gangs need.
            let delays_reservation = || self.is_kept(*index) && self.max_starts(*index, work, 1) == 0;
            if !work.demand.fits(&slot.free) || !slot.suits(work) || delays_reservation() {
                continue;
            }
            let score = Score {
                fetch_time: fetch_times.on(slot, work),
                price: work.effective_price(slot.price, self.now),
                free_cpus: slot.free.cpus,
            };
            if best.as_ref().is_none_or(|(_, least)| score < *least) {
                best = Some((*index, score));
            }
        }
        best.map(|(index, _)| index)
    }

    /// Machines for all tasks of a gang now, one entry a task: in one zone where asked,
    /// and of the zones the one where the last image comes soonest. Within a zone as
    /// [`Self::best_slot`], and as many as possible on a machine: the loss of any one breaks all.
    pub(super) fn gang_slots(&self, room: &[usize], work: &Work) -> Option<Vec<usize>> {
        let candidates = self.gang_candidates(room, work);
        let mut best: Option<GangChoice> = None;
        let zones = gang::zones_to_try(self.slots, candidates.iter().map(|c| c.slot), work);
        for zone in zones {
            let Some(choice) = self.choose_in_zone(&candidates, work, zone) else { continue };
            let rank = |choice: &GangChoice| (choice.last_fetch, choice.machines);
            if best.as_ref().is_none_or(|least| rank(&choice) < rank(least)) {
                best = Some(choice);
            }
        }
        best.map(|choice| choice.slots)
    }

    /// The machines that could take tasks of the gang now, the best first.
    fn gang_candidates(&self, room: &[usize], work: &Work) -> Vec<GangCandidate> {
        let mut candidates = Vec::new();
        for index in room {
            let slot = &self.slots[*index];
            if !slot.suits(work) {
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

    /// The first candidates in the zone, or in all, that take the whole gang.
    fn choose_in_zone(
        &self,
        candidates: &[GangCandidate],
        work: &Work,
        zone: Option<usize>,
    ) -> Option<GangChoice> {
        let mut left = work.clone();
        let mut choice = GangChoice { last_fetch: Duration::ZERO, machines: 0, slots: Vec::new() };
        for candidate in candidates {
            let slot = &self.slots[candidate.slot];
            if zone.is_some_and(|zone| zone != slot.zone) || left.pending == 0 {
                continue;
            }
            let pending_before = left.pending;
            for _ in 0..candidate.max_tasks {
                if left.pending > 0 && left.admits_zone(slot.zone) {
                    left.pending -= 1;
                    left.add_to_zone(slot.zone);
                    choice.slots.push(candidate.slot);
                }
            }
            if left.pending < pending_before {
                choice.machines += 1;
                choice.last_fetch = choice.last_fetch.max(candidate.score.fetch_time);
            }
        }
        (left.pending == 0).then_some(choice)
    }

    /// How many tasks of the work, `max_tasks` at the most, may start on the slot without delaying
    /// the reservation.
    fn max_starts(&self, index: usize, work: &Work, max_tasks: u32) -> u32 {
        let slot = &self.slots[index];
        let fitting = count_fitting(&work.demand, slot.free, max_tasks);
        let Some(reservation) = self.reservation else { return fitting };
        let Some(kept) = reservation.kept_on(index) else { return fitting };
        if fitting == 0 || self.now + slot.fetch_time(work) + work.estimated_runtime <= reservation.at {
            return fitting;
        }
        let mut left = slot.free_at(reservation.at);
        left.sub(kept);
        fitting.min(count_fitting(&work.demand, left, max_tasks))
    }

    /// A busy machine with the image that opens before the fetch on `chosen` would
    /// end, and when. Not one on which room is kept for others: a task that had been kept off
    /// an idle machine waited for just that one, pass after pass, so that neither it nor the
    /// gang that the machine was kept for began for a minute.
    pub(super) fn opening_before_fetch(&self, work: &Work, chosen: usize) -> Option<Opening> {
        let fetch_time = self.slots[chosen].fetch_time(work);
        if fetch_time.is_zero() {
            return None;
        }
        let mut best: Option<Opening> = None;
        for (index, slot) in self.slots.iter().enumerate() {
            if !slot.images.contains(&work.image) || !slot.suits(work) || self.is_kept(index) {
                continue;
            }
            let until = best.as_ref().map_or(self.now + fetch_time, |opening| opening.at);
            if let Some(at) = slot.earliest_fit(&work.demand, self.now, until) {
                best = Some(Opening { at, slot: index });
            }
        }
        best
    }

    /// Busy machines with the image that open for a whole gang in time, and when, where
    /// the fetches on `chosen` would make it late. Tasks overrun their estimates, and a gang needs
    /// several of them to end: one that waited for the sake of a fetch alone, pass after
    /// pass, began after 27 s instead of 7.
    pub(super) fn gang_opening_before_fetch(&self, work: &Work, chosen: &[usize]) -> Option<GangOpening> {
        let fetch_time = chosen.iter().map(|index| self.slots[*index].fetch_time(work)).max()?;
        if self.now + fetch_time <= work.latest_start {
            return None;
        }
        let is_candidate =
            |index: usize| self.slots[index].images.contains(&work.image) && !self.is_kept(index);
        gang::first_opening(self.slots, work, self.now, is_candidate)
            .filter(|opening| opening.at <= work.latest_start)
    }

    /// Whether room on the machine is kept for others.
    fn is_kept(&self, slot: usize) -> bool {
        self.reservation.is_some_and(|reservation| reservation.kept_on(slot).is_some())
    }
}

/// The fetch time of one image on machines that are mostly alike, computed once for
/// neighbours that are.
#[derive(Debug, Default)]
struct FetchTimes {
    last: Option<FetchTime>,
}

#[derive(Debug)]
struct FetchTime {
    fetches_in_progress: u32,
    image_fetch_gb_per_s: f64,
    time: Duration,
}

impl FetchTimes {
    /// How long a task of the work, always the same, would wait for its image on the slot.
    fn on(&mut self, slot: &Slot, work: &Work) -> Duration {
        if slot.has_image(work) {
            return Duration::ZERO;
        }
        let is_alike = |last: &&FetchTime| {
            last.fetches_in_progress == slot.fetches_in_progress
                && last.image_fetch_gb_per_s == slot.image_fetch_gb_per_s
        };
        if let Some(last) = self.last.as_ref().filter(is_alike) {
            return last.time;
        }
        let time = slot.uncached_fetch_time(work);
        self.last = Some(FetchTime {
            fetches_in_progress: slot.fetches_in_progress,
            image_fetch_gb_per_s: slot.image_fetch_gb_per_s,
            time,
        });
        time
    }
}
