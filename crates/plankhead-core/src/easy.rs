//! EASY backfilling on machines: the first task that finds no room gets a
//! reservation, and later ones may start only where they do not delay it.

use crate::job::Resources;
use crate::queue::{next, TeamRoom, Work};
use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

/// A machine as a pass sees it.
#[derive(Debug, Clone)]
pub struct Slot {
    pub rig: Arc<str>,
    pub zone: Arc<str>,
    pub spot: bool,
    pub free: Resources,
    /// From when on it takes tasks.
    pub ready: Duration,
    pub running: Vec<Running>,
    pub images: HashSet<Arc<str>>,
    /// Images being fetched at present.
    pub fetching: u32,
    pub pull_gb_per_s: f64,
}

/// A task on a machine, with its estimated end.
#[derive(Debug, Clone, Copy)]
pub struct Running {
    pub end: Duration,
    pub each: Resources,
    pub team: usize,
}

/// A decision: one task of `work` on `slot`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Start {
    pub work: usize,
    pub slot: usize,
}

/// Tasks that one job may start before the next team's turn.
const TURN: u32 = 4;

#[derive(Debug, Clone)]
struct Reservation {
    slot: usize,
    at: Duration,
    each: Resources,
}

impl Slot {
    /// What is free at a later time if nothing more starts.
    fn free_at(&self, at: Duration) -> Resources {
        let mut free = self.free;
        for task in self.running.iter().filter(|t| t.end <= at) {
            free.add(&task.each);
        }
        free
    }

    /// The earliest time at which the task would find room.
    pub fn opens(&self, each: &Resources, now: Duration) -> Option<Duration> {
        let mut free = self.free;
        let from = self.ready.max(now);
        if each.fits(&free) {
            return Some(from);
        }
        let mut ends: BTreeMap<Duration, Resources> = BTreeMap::new();
        for task in &self.running {
            ends.entry(task.end.max(now)).or_default().add(&task.each);
        }
        for (end, held) in ends {
            free.add(&held);
            if each.fits(&free) {
                return Some(end.max(from));
            }
        }
        None
    }

    fn fetch(&self, work: &Work) -> Duration {
        if self.images.contains(&work.image) || self.pull_gb_per_s <= 0.0 {
            return Duration::ZERO;
        }
        let queue = f64::from(self.fetching + 1);
        Duration::from_secs_f64((work.image_gb * queue / self.pull_gb_per_s).min(3600.0))
    }

    /// Holds room for a task that waits for this machine's image. Nothing
    /// smaller slips in meanwhile.
    fn book(&mut self, at: Duration, work: &Work) {
        self.free.sub(&work.each);
        self.running.push(Running { end: at + work.estimate, each: work.each, team: work.team });
    }

    fn take(&mut self, now: Duration, work: &Work) {
        let end = now + self.fetch(work) + work.estimate;
        if self.images.insert(work.image.clone()) {
            self.fetching += 1;
        }
        self.free.sub(&work.each);
        self.running.push(Running { end, each: work.each, team: work.team });
    }
}

fn suits(slot: &Slot, work: &Work) -> bool {
    work.allows(&slot.rig, &slot.zone, slot.spot) && work.zone_admits(&slot.zone)
}

/// Whether the task may start on the slot without delaying the reservation.
fn spares(slot: &Slot, index: usize, work: &Work, now: Duration, held: Option<&Reservation>) -> bool {
    let Some(held) = held.filter(|r| r.slot == index) else { return true };
    if now + slot.fetch(work) + work.estimate <= held.at {
        return true;
    }
    let mut left = slot.free_at(held.at);
    left.sub(&work.each);
    held.each.fits(&left)
}

/// The best machine for one task now: the image is there, or comes soonest;
/// then the fullest, so that others can go back.
fn choose(slots: &[Slot], work: &Work, now: Duration, held: Option<&Reservation>) -> Option<usize> {
    let mut best: Option<(usize, (Duration, f64))> = None;
    for (i, slot) in slots.iter().enumerate() {
        if slot.ready > now || !work.each.fits(&slot.free) || !suits(slot, work) {
            continue;
        }
        if !spares(slot, i, work, now, held) {
            continue;
        }
        let score = (slot.fetch(work), slot.free.cpus);
        if best.as_ref().is_none_or(|(_, b)| score.0 < b.0 || (score.0 == b.0 && score.1 < b.1)) {
            best = Some((i, score));
        }
    }
    best.map(|(i, _)| i)
}

/// A busy machine with the image that opens before the fetch on `slot` would
/// end, and when.
fn sooner(slots: &[Slot], work: &Work, now: Duration, slot: usize) -> Option<(Duration, usize)> {
    let fetched = now + slots[slot].fetch(work);
    let held = |(i, s): (usize, &Slot)| {
        let holds = s.images.contains(&work.image) && suits(s, work);
        holds.then(|| s.opens(&work.each, now)).flatten().map(|at| (at, i))
    };
    slots.iter().enumerate().filter_map(held).min().filter(|(at, _)| *at < fetched)
}

/// One pass over the queue: starts what may start now.
pub fn pass(now: Duration, slots: &mut [Slot], work: &mut [Work], teams: &mut [TeamRoom]) -> Vec<Start> {
    let mut starts = Vec::new();
    let mut open = vec![true; work.len()];
    let mut held: Option<Reservation> = None;
    while let Some(i) = next(work, teams, &open) {
        for _ in 0..TURN {
            if work[i].pending == 0 {
                break;
            }
            if !teams[work[i].team].admits(&work[i].each) {
                open[i] = false;
                break;
            }
            let Some(s) = choose(slots, &work[i], now, held.as_ref()) else {
                open[i] = false;
                if held.is_none() {
                    held = reserve(slots, &work[i], now);
                }
                break;
            };
            if let Some((at, w)) = sooner(slots, &work[i], now, s) {
                slots[w].book(at, &work[i]);
                work[i].pending -= 1;
                continue;
            }
            slots[s].take(now, &work[i]);
            let zone = slots[s].zone.clone();
            work[i].joined(&zone);
            work[i].pending -= 1;
            let each = work[i].each;
            teams[work[i].team].used.add(&each);
            starts.push(Start { work: i, slot: s });
        }
    }
    starts
}

fn reserve(slots: &[Slot], work: &Work, now: Duration) -> Option<Reservation> {
    let opens = |(i, slot): (usize, &Slot)| {
        suits(slot, work).then(|| slot.opens(&work.each, now)).flatten().map(|at| (at, i))
    };
    let (at, slot) = slots.iter().enumerate().filter_map(opens).min()?;
    Some(Reservation { slot, at, each: work.each })
}
