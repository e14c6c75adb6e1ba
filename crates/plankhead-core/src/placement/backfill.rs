//! EASY backfilling on machines: the first task that finds no room gets a
//! reservation, and later ones may start only where they do not delay it.
//!
//! With hundreds of machines and thousands of tasks, a pass must not look at
//! every machine for every job: it keeps the machines with room apart, and asks
//! when a busy one opens only for a task that would have to fetch its image.

use crate::jobs::job::{Priority, Resources};
use crate::placement::fair_share::{FairShareQueue, TeamUsage, Work};
use std::time::Duration;

/// A machine as a pass sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct Slot {
    pub pool: usize,
    pub zone: usize,
    /// What the machine costs, by the last price list.
    pub price: f64,
    pub free: Resources,
    /// From when on it takes tasks.
    pub ready_at: Duration,
    /// In the order of their ends.
    pub running: Vec<Running>,
    pub images: Vec<u32>,
    /// Images being fetched at present.
    pub fetches_in_progress: u32,
    pub image_fetch_gb_per_s: f64,
}

/// A task on a machine, with its estimated end.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Running {
    pub ends_at: Duration,
    /// Once it is overdue, it is taken to need this much more.
    pub grace: Duration,
    pub demand: Resources,
    pub team: usize,
    /// Only room held for a task that waits for the machine's image.
    pub is_reservation: bool,
}

/// A decision: one task of `work` on `slot`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Start {
    pub work_index: usize,
    pub slot_index: usize,
    /// Later than the pass: the task waits for the machine, which has its image.
    pub at: Duration,
}

/// A task that waits for a machine does so for this long at least.
const SOON: Duration = Duration::from_millis(1);
/// A task that has waited this long has a machine kept for it, and after the
/// longer time more urgent ones must leave it alone, too.
const AGED: Duration = Duration::from_secs(60);
const STRICT: Duration = Duration::from_secs(150);
/// Tasks that one job may start before the next team's turn.
const TURN: u32 = 4;

/// Room kept for work that waits: for one task on one machine, or for all tasks of
/// a gang on several.
#[derive(Debug, Clone)]
struct Reservation {
    /// What is kept, by slot.
    kept: Vec<(usize, Resources)>,
    at: Duration,
    /// More urgent work may break it if it finds no room elsewhere.
    yields_to: Option<Priority>,
    /// The work that it is for, if that may still start in this pass.
    for_work: Option<usize>,
}

impl Reservation {
    fn on(&self, slot: usize) -> Option<&Resources> {
        self.kept.iter().find(|(s, _)| *s == slot).map(|(_, kept)| kept)
    }
}

impl Slot {
    /// Adds a task in the order of ends.
    pub fn add_running(&mut self, task: Running) {
        let at = self.running.partition_point(|t| t.ends_at <= task.ends_at);
        self.running.insert(at, task);
        self.free.sub(&task.demand);
    }

    /// The machine at a later time, if nothing has ended since.
    pub fn extend_overdue(&mut self, now: Duration) {
        if self.running.first().is_some_and(|t| t.ends_at < now + t.grace) {
            for task in &mut self.running {
                task.ends_at = task.ends_at.max(now + task.grace);
            }
            self.running.sort_by_key(|t| t.ends_at);
        }
    }

    /// What is free at a later time if nothing more starts.
    fn free_at(&self, at: Duration) -> Resources {
        let mut free = self.free;
        for task in self.running.iter().take_while(|t| t.ends_at <= at) {
            free.add(&task.demand);
        }
        free
    }

    /// The earliest time, before `until`, at which the task would find room.
    fn earliest_fit(&self, each: &Resources, now: Duration, until: Duration) -> Option<Duration> {
        let from = self.ready_at.max(now);
        let mut free = self.free;
        let mut at = from;
        let mut coming = self.running.iter();
        while !each.fits(&free) {
            let task = coming.next()?;
            free.add(&task.demand);
            at = task.ends_at.max(from);
            if at >= until {
                return None;
            }
        }
        Some(at).filter(|at| *at < until)
    }

    /// How many such tasks, `most` at the most, will find room by then.
    pub fn fits_by(&self, each: &Resources, due: Duration, most: u32) -> u32 {
        if self.ready_at > due {
            return 0;
        }
        let mut free = self.free_at(due);
        let mut count = 0;
        while count < most && each.fits(&free) {
            free.sub(each);
            count += 1;
        }
        count
    }

    fn fetch_time(&self, work: &Work) -> Duration {
        if self.has_image(work) {
            return Duration::ZERO;
        }
        self.fetch_time_behind(self.fetches_in_progress, work)
    }

    fn has_image(&self, work: &Work) -> bool {
        self.image_fetch_gb_per_s <= 0.0 || self.images.contains(&work.image)
    }

    /// How long a fetch takes while so many others are under way.
    fn fetch_time_behind(&self, others: u32, work: &Work) -> Duration {
        let queue = f64::from(others + 1);
        Duration::from_secs_f64((work.image_gb * queue / self.image_fetch_gb_per_s).min(3600.0))
    }

    fn start_task(&mut self, now: Duration, work: &Work) {
        let end = now + self.fetch_time(work) + work.estimated_runtime;
        if !self.images.contains(&work.image) {
            self.images.push(work.image);
            self.fetches_in_progress += 1;
        }
        self.add_running(Running::of(work, end, false));
    }
}

impl Running {
    fn of(work: &Work, end: Duration, booked: bool) -> Self {
        Self {
            ends_at: end,
            grace: work.estimated_runtime / 5,
            demand: work.demand,
            team: work.team,
            is_reservation: booked,
        }
    }
}

fn suits(slot: &Slot, work: &Work) -> bool {
    work.allows(slot.pool) && work.admits_zone(slot.zone)
}

/// How many such tasks, `most` at the most, may start on the slot without delaying
/// the reservation.
fn spares(
    slot: &Slot,
    index: usize,
    work: &Work,
    now: Duration,
    held: Option<&Reservation>,
    most: u32,
) -> u32 {
    let room = |mut free: Resources| {
        let mut count = 0;
        while count < most && work.demand.fits(&free) {
            free.sub(&work.demand);
            count += 1;
        }
        count
    };
    let here = room(slot.free);
    let Some((held, kept)) = held.and_then(|r| Some((r, r.on(index)?))) else { return here };
    if here == 0 || now + slot.fetch_time(work) + work.estimated_runtime <= held.at {
        return here;
    }
    let mut left = slot.free_at(held.at);
    left.sub(kept);
    here.min(room(left))
}

/// The fetch time of one image on machines that are mostly alike, computed once for
/// neighbours that are.
#[derive(Debug, Default)]
struct FetchTimes {
    last: Option<(u32, f64, Duration)>,
}

impl FetchTimes {
    fn on(&mut self, slot: &Slot, work: &Work) -> Duration {
        if slot.has_image(work) {
            return Duration::ZERO;
        }
        match self.last {
            Some((others, rate, time))
                if others == slot.fetches_in_progress && rate == slot.image_fetch_gb_per_s =>
            {
                time
            }
            _ => {
                let time = slot.fetch_time_behind(slot.fetches_in_progress, work);
                self.last = Some((slot.fetches_in_progress, slot.image_fetch_gb_per_s, time));
                time
            }
        }
    }
}

/// The best machine for one task now: the image is there, or comes soonest; then
/// the cheapest, or the dearest for a task that must not be lost; then the
/// fullest, so that others can go back. `room` names the machines that
/// may have some.
fn choose(
    slots: &[Slot],
    room: &[usize],
    work: &Work,
    now: Duration,
    held: Option<&Reservation>,
) -> Option<usize> {
    let mut best: Option<(usize, (Duration, f64, f64))> = None;
    let mut fetches = FetchTimes::default();
    for i in room {
        let slot = &slots[*i];
        // Most slots have nothing kept on them: arrays don't pay for what gangs need.
        let kept = held.filter(|r| r.on(*i).is_some());
        let hinders = || kept.is_some() && spares(slot, *i, work, now, kept, 1) == 0;
        if !work.demand.fits(&slot.free) || !suits(slot, work) || hinders() {
            continue;
        }
        let score = (fetches.on(slot, work), work.effective_price(slot.price, now), slot.free.cpus);
        if best.as_ref().is_none_or(|(_, b)| score < *b) {
            best = Some((*i, score));
        }
    }
    best.map(|(i, _)| i)
}

/// Machines for all tasks of a gang now, one entry a task: in one zone where asked,
/// and of the zones the one where the last image comes soonest. Within a zone as
/// [`choose`], and as many as possible on a machine: the loss of any one breaks all.
fn choose_all(
    slots: &[Slot],
    room: &[usize],
    work: &Work,
    now: Duration,
    held: Option<&Reservation>,
) -> Option<Vec<usize>> {
    let mut fits = Vec::new();
    for i in room {
        let slot = &slots[*i];
        if !suits(slot, work) {
            continue;
        }
        let count = spares(slot, *i, work, now, held, work.pending);
        if count > 0 {
            let score = (slot.fetch_time(work), work.effective_price(slot.price, now), slot.free.cpus);
            fits.push((*i, count, score));
        }
    }
    let by = |a: &(usize, u32, (Duration, f64, f64)), b: &(usize, u32, (Duration, f64, f64))| {
        let ((ai, ac, (af, ap, ar)), (bi, bc, (bf, bp, br))) = (a, b);
        af.cmp(bf).then(ap.total_cmp(bp)).then(bc.cmp(ac)).then(ar.total_cmp(br)).then(ai.cmp(bi))
    };
    fits.sort_by(by);
    let mut best: Option<((Duration, usize), Vec<usize>)> = None;
    for zone in zones(slots, fits.iter().map(|(i, ..)| *i), work) {
        let mut left = work.clone();
        let (mut chosen, mut used, mut last) = (Vec::new(), 0, Duration::ZERO);
        for (i, count, (fetch, ..)) in &fits {
            let slot = &slots[*i];
            if zone.is_some_and(|z| z != slot.zone) || left.pending == 0 {
                continue;
            }
            let before = left.pending;
            for _ in 0..*count {
                if left.pending > 0 && left.admits_zone(slot.zone) {
                    left.pending -= 1;
                    left.add_to_zone(slot.zone);
                    chosen.push(*i);
                }
            }
            if left.pending < before {
                (used, last) = (used + 1, last.max(*fetch));
            }
        }
        if left.pending == 0 && best.as_ref().is_none_or(|(b, _)| (last, used) < *b) {
            best = Some(((last, used), chosen));
        }
    }
    best.map(|(_, chosen)| chosen)
}

/// The zones to try a gang in, one by one, or all at once.
fn zones(slots: &[Slot], of: impl Iterator<Item = usize>, work: &Work) -> Vec<Option<usize>> {
    if !work.single_zone {
        return vec![None];
    }
    let zones: std::collections::BTreeSet<usize> = of.map(|i| slots[i].zone).collect();
    zones.into_iter().map(Some).collect()
}

/// A busy machine with the image that opens before the fetch on `slot` would
/// end, and when. Not one on which room is kept for others: a task that had been kept off
/// an idle machine waited for just that one, pass after pass, so that neither it nor the
/// gang that the machine was kept for began for a minute.
fn sooner(
    slots: &[Slot],
    work: &Work,
    now: Duration,
    slot: usize,
    held: Option<&Reservation>,
) -> Option<(Duration, usize)> {
    let fetch = slots[slot].fetch_time(work);
    let mut best: Option<(Duration, usize)> = None;
    if fetch.is_zero() {
        return best;
    }
    for (i, s) in slots.iter().enumerate() {
        if !s.images.contains(&work.image) || !suits(s, work) || is_kept(held, i) {
            continue;
        }
        let until = best.map_or(now + fetch, |(at, _)| at);
        if let Some(at) = s.earliest_fit(&work.demand, now, until) {
            best = Some((at, i));
        }
    }
    best
}

/// Busy machines with the image that open for a whole gang in time, and when, where
/// the fetches would make it late. Tasks overrun their estimates, and a gang needs
/// several of them to end: one that waited for the sake of a fetch alone, pass after
/// pass, began after 27 s instead of 7.
fn sooner_all(
    slots: &[Slot],
    work: &Work,
    now: Duration,
    all: &[usize],
    held: Option<&Reservation>,
) -> Option<(Duration, Vec<(usize, u32)>)> {
    let fetch = all.iter().map(|s| slots[*s].fetch_time(work)).max()?;
    if now + fetch <= work.latest_start {
        return None;
    }
    let such = |i: usize| slots[i].images.contains(&work.image) && !is_kept(held, i);
    opens_all(slots, work, now, such).filter(|(at, _)| *at <= work.latest_start)
}

/// Whether room on the machine is kept for others.
fn is_kept(held: Option<&Reservation>, slot: usize) -> bool {
    held.is_some_and(|r| r.on(slot).is_some())
}

/// The least that any pending task takes of each resource.
fn least(work: &[Work]) -> Resources {
    let all = Resources { cpus: f64::MAX, gpus: f64::MAX, ram_gb: f64::MAX };
    work.iter().filter(|w| w.pending > 0).fold(all, |least, w| Resources {
        cpus: least.cpus.min(w.demand.cpus),
        gpus: least.gpus.min(w.demand.gpus),
        ram_gb: least.ram_gb.min(w.demand.ram_gb),
    })
}

/// The most that is free of each resource on any of these machines. What does not fit
/// into that fits nowhere, and machines only fill up in a pass: a queue of wide tasks
/// is not compared with every small gap.
fn widest(slots: &[Slot], room: &[usize]) -> Resources {
    room.iter().map(|i| &slots[*i].free).fold(Resources::default(), |widest, free| Resources {
        cpus: widest.cpus.max(free.cpus),
        gpus: widest.gpus.max(free.gpus),
        ram_gb: widest.ram_gb.max(free.ram_gb),
    })
}

/// One pass over the queue: what may start now, and what waits for a machine.
pub fn pass(now: Duration, slots: &mut [Slot], work: &mut [Work], teams: &mut [TeamUsage]) -> Vec<Start> {
    pass_up_to(now, slots, work, teams, usize::MAX)
}

/// A pass that ends after `most` starts now, those whose turn it was first.
pub fn pass_up_to(
    now: Duration,
    slots: &mut [Slot],
    work: &mut [Work],
    teams: &mut [TeamUsage],
    most: usize,
) -> Vec<Start> {
    let mut starts = Vec::new();
    let mut begun = 0;
    let mut turns = FairShareQueue::new(work, teams.len());
    let least = least(work);
    let takes = |slot: &Slot| slot.ready_at <= now && least.fits(&slot.free);
    let mut room: Vec<usize> = (0..slots.len()).filter(|i| takes(&slots[*i])).collect();
    let widest = widest(slots, &room);
    let mut held = starved(slots, work, teams, now);
    while let Some(i) = turns.next(work, teams) {
        for _ in 0..TURN {
            if begun >= most {
                return starts;
            }
            if work[i].pending == 0 {
                break;
            }
            let many = work[i].min_simultaneous();
            if !teams[work[i].team].admits_all(&work[i].demand, many) {
                turns.skip(work, i);
                break;
            }
            let fitting: &[usize] = if work[i].demand.fits(&widest) { &room } else { &[] };
            let binding = held.as_ref().filter(|h| h.for_work != Some(i));
            let breaks = binding.is_some_and(|h| h.yields_to.is_some_and(|u| work[i].priority > u));
            if work[i].gang {
                let all = choose_all(slots, fitting, &work[i], now, binding);
                let all = match all {
                    None if breaks => choose_all(slots, fitting, &work[i], now, None),
                    all => all,
                };
                let Some(all) = all else {
                    turns.skip(work, i);
                    if held.is_none() {
                        held = reserve(slots, &work[i], now);
                    }
                    break;
                };
                if begun > 0 && begun + all.len() > most {
                    return starts;
                }
                match sooner_all(slots, &work[i], now, &all, binding) {
                    Some((at, holds)) => {
                        let at = at.max(now + SOON);
                        for s in holds.into_iter().flat_map(|(s, many)| (0..many).map(move |_| s)) {
                            starts.push(Start { work_index: i, slot_index: s, at });
                            slots[s].add_running(Running::of(&work[i], at + work[i].estimated_runtime, true));
                        }
                        work[i].pending = 0;
                    }
                    None => {
                        for s in &all {
                            start(now, slots, &mut work[i], teams, *s);
                            starts.push(Start { work_index: i, slot_index: *s, at: now });
                        }
                        begun += all.len();
                    }
                }
                room.retain(|r| takes(&slots[*r]));
                break;
            }
            let elsewhere = choose(slots, fitting, &work[i], now, binding);
            let found =
                elsewhere.or_else(|| if breaks { choose(slots, fitting, &work[i], now, None) } else { None });
            let Some(s) = found else {
                turns.skip(work, i);
                if held.is_none() {
                    held = reserve(slots, &work[i], now);
                }
                break;
            };
            let booked = sooner(slots, &work[i], now, s, binding);
            let used = match booked {
                // Room held for a task that waits for this machine's image:
                // nothing smaller slips in meanwhile.
                Some((at, w)) => {
                    let at = at.max(now + SOON);
                    starts.push(Start { work_index: i, slot_index: w, at });
                    let end = at + work[i].estimated_runtime;
                    slots[w].add_running(Running::of(&work[i], end, true));
                    work[i].pending -= 1;
                    w
                }
                None => {
                    start(now, slots, &mut work[i], teams, s);
                    starts.push(Start { work_index: i, slot_index: s, at: now });
                    begun += 1;
                    s
                }
            };
            if !takes(&slots[used]) {
                room.retain(|r| *r != used);
            }
        }
    }
    starts
}

fn start(now: Duration, slots: &mut [Slot], work: &mut Work, teams: &mut [TeamUsage], slot: usize) {
    slots[slot].start_task(now, work);
    work.add_to_zone(slots[slot].zone);
    teams[work.team].used.add(&work.demand);
    work.pending -= 1;
}

/// A reservation for the task that has waited longest for room, of jobs that have
/// not begun after the longer time if there are such (one began after 302 s in a
/// burst), before anything else starts: small tasks that keep coming would fill every gap before it is
/// wide enough, the more urgent ones for ever.
fn starved(slots: &[Slot], work: &[Work], teams: &[TeamUsage], now: Duration) -> Option<Reservation> {
    let old = |w: &Work| now.saturating_sub(w.accepted_at) > STRICT;
    let order = |w: &Work| (w.has_started || !old(w), w.accepted_at);
    let waits = |w: &Work| {
        let aged = w.pending > 0 && now.saturating_sub(w.accepted_at) > AGED;
        aged && teams[w.team].admits_all(&w.demand, w.min_simultaneous())
    };
    let (i, first) = work.iter().enumerate().filter(|(_, w)| waits(w)).min_by_key(|(_, w)| order(w))?;
    let yields = if old(first) { None } else { Some(first.priority) };
    reserve(slots, first, now).map(|held| Reservation { yields_to: yields, for_work: Some(i), ..held })
}

fn reserve(slots: &[Slot], work: &Work, now: Duration) -> Option<Reservation> {
    if work.gang {
        return reserve_all(slots, work, now);
    }
    let mut best: Option<(Duration, usize)> = None;
    for (i, slot) in slots.iter().enumerate().filter(|(_, s)| suits(s, work)) {
        let until = best.map_or(Duration::MAX, |(at, _)| at);
        if let Some(at) = slot.earliest_fit(&work.demand, now, until) {
            best = Some((at, i));
        }
    }
    best.map(|(at, slot)| Reservation {
        kept: vec![(slot, work.demand)],
        at,
        yields_to: None,
        for_work: None,
    })
}

/// Room for a whole gang from the first moment at which there is enough, in one zone
/// where asked: neither small tasks nor other gangs keep it out for ever.
fn reserve_all(slots: &[Slot], work: &Work, now: Duration) -> Option<Reservation> {
    let (at, holds) = opens_all(slots, work, now, |_| true)?;
    let holds = holds.into_iter().map(|(i, many)| (i, work.demand.times(many))).collect();
    Some(Reservation { kept: holds, at, yields_to: None, for_work: None })
}

/// The first moment at which there is room for a whole gang on such machines, and
/// how many of its tasks each of them takes.
fn opens_all(
    slots: &[Slot],
    work: &Work,
    now: Duration,
    such: impl Fn(usize) -> bool,
) -> Option<(Duration, Vec<(usize, u32)>)> {
    let fit = |i: &usize| suits(&slots[*i], work) && such(*i);
    let mut best: Option<(Duration, Vec<(usize, u32)>)> = None;
    for zone in zones(slots, (0..slots.len()).filter(fit), work) {
        let here: Vec<usize> =
            (0..slots.len()).filter(fit).filter(|i| zone.is_none_or(|z| slots[*i].zone == z)).collect();
        let ends = here.iter().flat_map(|i| slots[*i].running.iter().map(|t| t.ends_at));
        let ready = here.iter().map(|i| slots[*i].ready_at);
        let mut moments: Vec<Duration> = ends.chain(ready).map(|at| at.max(now)).collect();
        moments.sort();
        moments.dedup();
        let enough = |at: Duration| holds_all(slots, &here, work, at).is_some();
        let first = moments.partition_point(|at| !enough(*at));
        let Some(at) = moments.get(first).copied() else { continue };
        if best.as_ref().is_none_or(|(b, _)| at < *b) {
            best = holds_all(slots, &here, work, at).map(|holds| (at, holds));
        }
    }
    best
}

/// How many tasks of the gang each of these machines would take at that time, the
/// roomiest first.
fn holds_all(slots: &[Slot], here: &[usize], work: &Work, at: Duration) -> Option<Vec<(usize, u32)>> {
    let mut left = work.clone();
    let most = left.pending;
    let mut order: Vec<(u32, usize)> = here
        .iter()
        .map(|i| (slots[*i].fits_by(&work.demand, at, most), *i))
        .filter(|(n, _)| *n > 0)
        .collect();
    order.sort_by_key(|(n, i)| (std::cmp::Reverse(*n), *i));
    let mut holds = Vec::new();
    for (many, i) in order {
        let mut count = 0;
        while count < many && left.pending > 0 && left.admits_zone(slots[i].zone) {
            left.pending -= 1;
            left.add_to_zone(slots[i].zone);
            count += 1;
        }
        if count > 0 {
            holds.push((i, count));
        }
    }
    (left.pending == 0).then_some(holds)
}
