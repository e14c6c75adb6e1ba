//! Finds when and where there will be room for a whole gang.

use crate::placement::fair_share::Work;
use crate::placement::slot::Slot;
use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::time::Duration;

/// A number of tasks of a gang on one machine.
pub(super) struct SlotTasks {
    pub(super) slot: usize,
    pub(super) count: u32,
}

/// The first time at which there is room for a whole gang.
pub(super) struct GangOpening {
    pub(super) at: Duration,
    /// The tasks that each machine takes at that time.
    pub(super) tasks: Vec<SlotTasks>,
}

/// Returns the zones in which to try the gang, one after the other; a `None` entry stands for all
/// zones together.
pub(super) fn zones_to_try(
    slots: &[Slot],
    candidates: impl Iterator<Item = usize>,
    work: &Work,
) -> Vec<Option<usize>> {
    if !work.single_zone {
        return vec![None];
    }
    let zones: BTreeSet<usize> = candidates.map(|index| slots[index].zone).collect();
    zones.into_iter().map(Some).collect()
}

/// Returns the first time at which there is room for a whole gang on machines for which
/// `is_candidate` holds, if nothing else starts until then.
pub(super) fn first_opening(
    slots: &[Slot],
    work: &Work,
    now: Duration,
    is_candidate: impl Fn(usize) -> bool,
) -> Option<GangOpening> {
    let may_serve = |index: &usize| slots[*index].is_eligible(work) && is_candidate(*index);
    let mut best: Option<GangOpening> = None;
    for zone in zones_to_try(slots, (0..slots.len()).filter(may_serve), work) {
        let in_zone = |index: &usize| zone.is_none_or(|zone| slots[*index].zone == zone);
        let candidates: Vec<usize> = (0..slots.len()).filter(may_serve).filter(in_zone).collect();
        let times = capacity_change_times(slots, &candidates, now);
        let is_enough = |at: Duration| assign_tasks(slots, &candidates, work, at).is_some();
        let first = times.partition_point(|at| !is_enough(*at));
        let Some(at) = times.get(first).copied() else { continue };
        if best.as_ref().is_none_or(|opening| at < opening.at) {
            best = assign_tasks(slots, &candidates, work, at).map(|tasks| GangOpening { at, tasks });
        }
    }
    best
}

/// Returns the times at which one of these machines becomes ready or a task on it ends, in order.
fn capacity_change_times(slots: &[Slot], candidates: &[usize], now: Duration) -> Vec<Duration> {
    let ends = candidates.iter().flat_map(|index| slots[*index].running.iter().map(|task| task.ends_at));
    let ready = candidates.iter().map(|index| slots[*index].ready_at);
    let mut times: Vec<Duration> = ends.chain(ready).map(|at| at.max(now)).collect();
    times.sort();
    times.dedup();
    times
}

/// Assigns all tasks of the gang to these machines as they will be at `at`, the machines with the
/// most room first. Returns `None` if there is not enough room.
fn assign_tasks(slots: &[Slot], candidates: &[usize], work: &Work, at: Duration) -> Option<Vec<SlotTasks>> {
    let mut remaining = work.clone();
    let max_tasks = remaining.pending;
    let mut order: Vec<SlotTasks> = candidates
        .iter()
        .map(|slot| SlotTasks { slot: *slot, count: slots[*slot].fits_by(&work.demand, at, max_tasks) })
        .filter(|fitting| fitting.count > 0)
        .collect();
    order.sort_by_key(|fitting| (Reverse(fitting.count), fitting.slot));
    let mut assigned = Vec::new();
    for fitting in order {
        let zone = slots[fitting.slot].zone;
        let mut count = 0;
        while count < fitting.count && remaining.pending > 0 && remaining.admits_zone(zone) {
            remaining.pending -= 1;
            remaining.add_to_zone(zone);
            count += 1;
        }
        if count > 0 {
            assigned.push(SlotTasks { slot: fitting.slot, count });
        }
    }
    (remaining.pending == 0).then_some(assigned)
}
