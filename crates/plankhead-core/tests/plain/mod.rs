//! A plain implementation of the EASY backfill pass, which examines every machine for every task.
//! It is slow, and is the reference for the results of the real pass.

use plankhead_core::jobs::job::{Priority, Resources};
use plankhead_core::placement::backfill::{RunningTask, Slot, Start};
use plankhead_core::placement::fair_share::{TeamUsage, Work};
use std::cmp::Reverse;
use std::time::Duration;

const TASKS_PER_TURN: u32 = 4;

struct Reservation {
    /// The slots and the resources that are reserved on each.
    reserved: Vec<(usize, Resources)>,
    /// The start of the reserved time.
    at: Duration,
    /// Work of a higher priority than this may ignore the reservation.
    breakable_above: Option<Priority>,
    /// The index of the work that the reservation does not bind.
    owner: Option<usize>,
}

fn free_at(slot: &Slot, at: Duration) -> Resources {
    let mut free = slot.free;
    for task in slot.running.iter().filter(|t| t.ends_at <= at) {
        free.add(&task.demand);
    }
    free
}

/// Returns the earliest time at which the slot has room for the demand.
fn earliest_fit(slot: &Slot, each: &Resources, now: Duration) -> Option<Duration> {
    let ends = slot.running.iter().map(|t| t.ends_at.max(now));
    let mut moments: Vec<Duration> = ends.chain([now]).collect();
    moments.sort();
    let fits = |at: &Duration| each.fits(&free_at(slot, *at)) || each.fits(&slot.free);
    moments.into_iter().find(fits).map(|at| at.max(slot.ready_at))
}

/// Returns how long the slot takes to fetch the image of the work.
fn fetch_time(slot: &Slot, work: &Work) -> Duration {
    if slot.images.contains(&work.image) {
        return Duration::ZERO;
    }
    Duration::from_secs_f64(
        work.image_gb * f64::from(slot.fetches_in_progress + 1) / slot.image_fetch_gb_per_s,
    )
}

fn is_eligible(slot: &Slot, work: &Work) -> bool {
    work.allows(slot.pool) && work.admits_zone(slot.zone)
}

fn respects_reservation(
    slot: &Slot,
    index: usize,
    work: &Work,
    now: Duration,
    reservation: Option<&Reservation>,
) -> bool {
    respects_reservation_for(slot, index, work, now, reservation, 1)
}

/// Returns whether the slot has room for `n` tasks of the work that do not delay the reservation.
fn respects_reservation_for(
    slot: &Slot,
    index: usize,
    work: &Work,
    now: Duration,
    reservation: Option<&Reservation>,
    n: u32,
) -> bool {
    if !work.demand.times(n).fits(&slot.free) {
        return false;
    }
    let Some(reservation) = reservation else { return true };
    let Some((_, kept)) = reservation.reserved.iter().find(|(s, _)| *s == index) else { return true };
    let mut left = free_at(slot, reservation.at);
    left.sub(&work.demand.times(n));
    now + fetch_time(slot, work) + work.estimated_runtime <= reservation.at || kept.fits(&left)
}

/// Chooses slots for all pending tasks of a gang in one zone, or in all: the slots are taken in the
/// given order, each with as many tasks as it accepts.
fn choose_slots(
    order: &[(usize, u32)],
    slots: &[Slot],
    work: &Work,
    zone: Option<usize>,
) -> Option<Vec<usize>> {
    let mut chosen: Vec<usize> = Vec::new();
    for (slot, max_tasks) in order {
        let here = slots[*slot].zone;
        for _ in 0..*max_tasks {
            let in_zone = chosen.iter().filter(|s| slots[**s].zone == here).count() as u32;
            let fits = zone.is_none_or(|z| z == here) && in_zone < work.max_per_zone;
            if fits && (chosen.len() as u32) < work.pending {
                chosen.push(*slot);
            }
        }
    }
    (chosen.len() as u32 == work.pending).then_some(chosen)
}

fn candidate_zones(work: &Work) -> Vec<Option<usize>> {
    if work.single_zone {
        vec![Some(0), Some(1), Some(2)]
    } else {
        vec![None]
    }
}

/// Returns the best slots on which all pending tasks of the gang can start now.
fn place_gang(
    slots: &[Slot],
    work: &Work,
    now: Duration,
    reservation: Option<&Reservation>,
) -> Option<Vec<usize>> {
    let price = |s: usize| if now > work.latest_restart { -slots[s].price } else { slots[s].price };
    let usable = |s: &usize| slots[*s].ready_at <= now && is_eligible(&slots[*s], work);
    let max_tasks = |s: usize| {
        let fits = |n: &u32| respects_reservation_for(&slots[s], s, work, now, reservation, *n);
        (1..=work.pending).filter(fits).max().unwrap_or(0)
    };
    let mut order: Vec<(usize, u32)> = (0..slots.len()).filter(usable).map(|s| (s, max_tasks(s))).collect();
    order.sort_by(|(a, n), (b, m)| {
        let key =
            |s: usize, n: u32| (fetch_time(&slots[s], work), price(s), -f64::from(n), slots[s].free.cpus, s);
        key(*a, *n).partial_cmp(&key(*b, *m)).unwrap()
    });
    let found = candidate_zones(work).into_iter().filter_map(|zone| choose_slots(&order, slots, work, zone));
    found.min_by_key(|chosen| {
        let last = chosen.iter().map(|s| fetch_time(&slots[*s], work)).max();
        let mut machines = chosen.clone();
        machines.dedup();
        (last, machines.len())
    })
}

/// Returns a reservation for the first time at which all tasks of a gang find room in some zone.
fn reserve_for_gang(
    slots: &[Slot],
    work: &Work,
    now: Duration,
    warm: bool,
    reservation: Option<&Reservation>,
) -> Option<Reservation> {
    let ends = slots
        .iter()
        .flat_map(|s| s.running.iter().map(|t| t.ends_at))
        .chain(slots.iter().map(|s| s.ready_at));
    let mut moments: Vec<Duration> = ends.map(|at| at.max(now)).collect();
    moments.sort();
    for at in moments {
        for zone in candidate_zones(work) {
            let image =
                |s: usize| !warm || slots[s].images.contains(&work.image) && !is_reserved(reservation, s);
            let eligible = |s: &usize| slots[*s].ready_at <= at && is_eligible(&slots[*s], work) && image(*s);
            let max_tasks = |s: usize| {
                let fits = |n: &u32| work.demand.times(*n).fits(&free_at(&slots[s], at));
                (1..=work.pending).filter(fits).max().unwrap_or(0)
            };
            let mut order: Vec<(usize, u32)> =
                (0..slots.len()).filter(eligible).map(|s| (s, max_tasks(s))).collect();
            order.sort_by_key(|(s, n)| (Reverse(*n), *s));
            let Some(chosen) = choose_slots(&order, slots, work, zone) else { continue };
            let mut reserved: Vec<(usize, Resources)> = Vec::new();
            for s in chosen {
                match reserved.iter_mut().find(|(slot, _)| *slot == s) {
                    Some((_, kept)) => kept.add(&work.demand),
                    None => reserved.push((s, work.demand)),
                }
            }
            return Some(Reservation { reserved, at, breakable_above: None, owner: None });
        }
    }
    None
}

/// Returns whether room on the machine is reserved.
fn is_reserved(reservation: Option<&Reservation>, slot: usize) -> bool {
    reservation.is_some_and(|h| h.reserved.iter().any(|(s, _)| *s == slot))
}

fn usage_ratio(team: &TeamUsage) -> f64 {
    team.used.cpus / team.guaranteed.cpus
}

fn next_work(work: &[Work], teams: &[TeamUsage], open: &[bool]) -> Option<usize> {
    let order = |a: &usize, b: &usize| {
        let (x, y) = (&work[*a], &work[*b]);
        let tier = |w: &Work| (Reverse(w.priority), !w.guaranteed);
        let shares = usage_ratio(&teams[x.team]).total_cmp(&usage_ratio(&teams[y.team]));
        tier(x).cmp(&tier(y)).then(shares).then((x.latest_start, x.accepted_at, a).cmp(&(
            y.latest_start,
            y.accepted_at,
            b,
        )))
    };
    (0..work.len()).filter(|i| open[*i] && work[*i].pending > 0).min_by(order)
}

fn start_task(slot: &mut Slot, work: &Work, end: Duration, is_reservation: bool) {
    slot.free.sub(&work.demand);
    slot.running.push(RunningTask {
        ends_at: end,
        overdue_extension: work.estimated_runtime / 5,
        demand: work.demand,
        team: work.team,
        is_reservation,
    });
    slot.running.sort_by_key(|t| t.ends_at);
}

// The whole pass is in one function so that it is easy to compare with the real one.
#[allow(clippy::too_many_lines)]
pub fn pass(now: Duration, slots: &mut [Slot], work: &mut [Work], teams: &mut [TeamUsage]) -> Vec<Start> {
    let mut starts = Vec::new();
    let mut open = vec![true; work.len()];
    let old = |(_, w): &(usize, &Work)| w.pending > 0 && now > w.accepted_at + Duration::from_secs(60);
    let tasks_to_admit = |w: &Work| if w.gang { w.pending } else { 1 };
    let admitted = |(_, w): &(usize, &Work)| teams[w.team].admits_all(&w.demand, tasks_to_admit(w));
    let aged = work.iter().enumerate().filter(old).filter(admitted);
    let mut reservation = aged
        .min_by_key(|(_, w)| {
            (w.has_started || now <= w.accepted_at + Duration::from_secs(150), w.accepted_at)
        })
        .and_then(|(i, w)| {
            let young = now <= w.accepted_at + Duration::from_secs(150);
            let breakable_above = young.then_some(w.priority);
            if w.gang {
                let reservation = reserve_for_gang(slots, w, now, false, None)?;
                return Some(Reservation { breakable_above, owner: Some(i), ..reservation });
            }
            let all = slots.iter().enumerate().filter(|(_, s)| is_eligible(s, w));
            let (at, slot) =
                all.filter_map(|(i, s)| earliest_fit(s, &w.demand, now).map(|at| (at, i))).min()?;
            Some(Reservation { reserved: vec![(slot, w.demand)], at, breakable_above, owner: Some(i) })
        });
    while let Some(i) = next_work(work, teams, &open) {
        for _ in 0..TASKS_PER_TURN {
            if work[i].pending == 0 {
                break;
            }
            if !teams[work[i].team].admits_all(&work[i].demand, tasks_to_admit(&work[i])) {
                open[i] = false;
                break;
            }
            let find = |reservation: Option<&Reservation>| {
                let mut best: Option<(Duration, f64, f64, usize)> = None;
                for (s, slot) in slots.iter().enumerate() {
                    let room = slot.ready_at <= now && work[i].demand.fits(&slot.free);
                    if !room
                        || !is_eligible(slot, &work[i])
                        || !respects_reservation(slot, s, &work[i], now, reservation)
                    {
                        continue;
                    }
                    let price = if now > work[i].latest_restart { -slot.price } else { slot.price };
                    let score = (fetch_time(slot, &work[i]), price, slot.free.cpus, s);
                    if best.is_none_or(|b| score.partial_cmp(&b).unwrap().is_lt()) {
                        best = Some(score);
                    }
                }
                best
            };
            let binding = reservation.as_ref().filter(|h| h.owner != Some(i));
            let may_break = binding.and_then(|h| h.breakable_above).is_some_and(|u| work[i].priority > u);
            if work[i].gang {
                let all = place_gang(slots, &work[i], now, binding);
                let all = all.or_else(|| may_break.then(|| place_gang(slots, &work[i], now, None)).flatten());
                let Some(all) = all else {
                    open[i] = false;
                    reservation = reservation.or_else(|| reserve_for_gang(slots, &work[i], now, false, None));
                    break;
                };
                let cold = all.iter().map(|s| fetch_time(&slots[*s], &work[i])).max().unwrap();
                let late = now + cold > work[i].latest_start;
                let warm = reserve_for_gang(slots, &work[i], now, true, binding)
                    .filter(|h| late && h.at <= work[i].latest_start);
                if let Some(warm) = warm {
                    let at = warm.at.max(now + Duration::from_millis(1));
                    for (s, kept) in warm.reserved {
                        for _ in 0..(kept.cpus / work[i].demand.cpus).round() as u32 {
                            starts.push(Start { work_index: i, slot_index: s, at });
                            start_task(&mut slots[s], &work[i], at + work[i].estimated_runtime, true);
                        }
                    }
                    work[i].pending = 0;
                    break;
                }
                for s in all {
                    let end = now + fetch_time(&slots[s], &work[i]) + work[i].estimated_runtime;
                    start_task(&mut slots[s], &work[i], end, false);
                    if !slots[s].images.contains(&work[i].image) {
                        slots[s].images.push(work[i].image);
                        slots[s].fetches_in_progress += 1;
                    }
                    work[i].add_to_zone(slots[s].zone);
                    let each = work[i].demand;
                    teams[work[i].team].used.add(&each);
                    starts.push(Start { work_index: i, slot_index: s, at: now });
                    work[i].pending -= 1;
                }
                break;
            }
            let best = match find(binding) {
                None if may_break => find(None),
                best => best,
            };
            let all = || slots.iter().enumerate().filter(|(_, s)| is_eligible(s, &work[i]));
            let opening =
                |(s, slot): (usize, &Slot)| earliest_fit(slot, &work[i].demand, now).map(|at| (at, s));
            let Some((cold, _, _, s)) = best else {
                open[i] = false;
                if reservation.is_none() {
                    let first = all().filter_map(opening).min();
                    reservation = first.map(|(at, slot)| Reservation {
                        reserved: vec![(slot, work[i].demand)],
                        at,
                        breakable_above: None,
                        owner: None,
                    });
                }
                break;
            };
            // A task does not wait for a machine that is reserved for others. Both this pass and the
            // real one once had this fault.
            let warm = |(s, slot): &(usize, &Slot)| {
                slot.images.contains(&work[i].image) && !is_reserved(binding, *s)
            };
            let warm = all().filter(warm).filter_map(opening).min();
            work[i].pending -= 1;
            if let Some((at, w)) = warm.filter(|(at, _)| *at < now + cold) {
                let at = at.max(now + Duration::from_millis(1));
                starts.push(Start { work_index: i, slot_index: w, at });
                start_task(&mut slots[w], &work[i], at + work[i].estimated_runtime, true);
                continue;
            }
            let end = now + cold + work[i].estimated_runtime;
            start_task(&mut slots[s], &work[i], end, false);
            if !slots[s].images.contains(&work[i].image) {
                slots[s].images.push(work[i].image);
                slots[s].fetches_in_progress += 1;
            }
            work[i].add_to_zone(slots[s].zone);
            let each = work[i].demand;
            teams[work[i].team].used.add(&each);
            starts.push(Start { work_index: i, slot_index: s, at: now });
        }
    }
    starts
}
