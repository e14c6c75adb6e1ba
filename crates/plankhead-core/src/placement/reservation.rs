//! Reservations: room reserved for waiting work, which other work must not delay.

use crate::jobs::job::{Priority, Resources};
use crate::placement::fair_share::{TeamUsage, Work};
use crate::placement::gang;
use crate::placement::slot::Slot;
use std::time::Duration;

/// The time since a job's acceptance after which room is reserved for its tasks before others
/// are placed.
const RESERVE_AFTER: Duration = Duration::from_secs(60);
/// The time since a job's acceptance after which no work may break its reservation, whatever its
/// priority.
const UNBREAKABLE_AFTER: Duration = Duration::from_secs(150);

/// Room reserved on one machine.
#[derive(Debug, Clone)]
struct ReservedRoom {
    slot: usize,
    resources: Resources,
}

/// A reservation for waiting work: for one task on one machine, or for all tasks of a gang on
/// several machines.
#[derive(Debug, Clone)]
pub(super) struct Reservation {
    rooms: Vec<ReservedRoom>,
    /// The time at which the reserved room is free for the work.
    pub(super) at: Duration,
    /// Work of a higher priority than this may break the reservation if it finds no room elsewhere.
    /// `None` if no work may.
    breakable_above: Option<Priority>,
    /// The index of the work that owns the reservation, if that work may still start in this pass.
    owner: Option<usize>,
}

impl Reservation {
    /// Returns the resources reserved on the slot.
    pub(super) fn reserved_on(&self, slot: usize) -> Option<&Resources> {
        self.rooms.iter().find(|room| room.slot == slot).map(|room| &room.resources)
    }

    /// Returns whether this work must not delay the reservation, because it is for other work.
    pub(super) fn applies_to(&self, work_index: usize) -> bool {
        self.owner != Some(work_index)
    }

    /// Returns whether work of this priority may break the reservation if it finds no other room.
    pub(super) fn may_be_broken_by(&self, priority: Priority) -> bool {
        self.breakable_above.is_some_and(|limit| priority > limit)
    }

    /// Reserves room for the work from the first time at which there is enough.
    pub(super) fn first_possible(slots: &[Slot], work: &Work, now: Duration) -> Option<Self> {
        if work.gang {
            Self::for_gang(slots, work, now)
        } else {
            Self::for_task(slots, work, now)
        }
    }

    fn for_task(slots: &[Slot], work: &Work, now: Duration) -> Option<Self> {
        let mut best: Option<(Duration, usize)> = None;
        for (index, slot) in slots.iter().enumerate().filter(|(_, slot)| slot.is_eligible(work)) {
            let until = best.map_or(Duration::MAX, |(at, _)| at);
            if let Some(at) = slot.earliest_fit(&work.demand, now, until) {
                best = Some((at, index));
            }
        }
        best.map(|(at, slot)| Self {
            rooms: vec![ReservedRoom { slot, resources: work.demand }],
            at,
            breakable_above: None,
            owner: None,
        })
    }

    /// Reserves room for a whole gang, in a single zone if required, so that small tasks and other
    /// gangs cannot starve it.
    fn for_gang(slots: &[Slot], work: &Work, now: Duration) -> Option<Self> {
        let opening = gang::first_opening(slots, work, now, |_| true)?;
        let reserve = |tasks: gang::SlotTasks| ReservedRoom {
            slot: tasks.slot,
            resources: work.demand.times(tasks.count),
        };
        let rooms = opening.tasks.into_iter().map(reserve).collect();
        Some(Self { rooms, at: opening.at, breakable_above: None, owner: None })
    }

    /// Reserves room for the work that has waited longest, if any has waited long enough, before the
    /// pass places anything. Otherwise a stream of small tasks would fill every gap before it is
    /// large enough, and if these tasks had a higher priority, the work would never start. Jobs that
    /// have not started any task after [`UNBREAKABLE_AFTER`] come first: when they did not, such a
    /// job started after 302 s in a burst.
    pub(super) fn for_starving_work(
        slots: &[Slot],
        work: &[Work],
        teams: &[TeamUsage],
        now: Duration,
    ) -> Option<Self> {
        let has_waited = |work: &Work, time: Duration| now.saturating_sub(work.accepted_at) > time;
        let is_starved = |work: &Work| {
            work.pending > 0
                && has_waited(work, RESERVE_AFTER)
                && teams[work.team].admits_all(&work.demand, work.min_simultaneous())
        };
        let order =
            |work: &Work| (work.has_started || !has_waited(work, UNBREAKABLE_AFTER), work.accepted_at);
        let starved = work.iter().enumerate().filter(|(_, work)| is_starved(work));
        let (index, first) = starved.min_by_key(|(_, work)| order(work))?;
        let breakable_above = (!has_waited(first, UNBREAKABLE_AFTER)).then_some(first.priority);
        let reservation = Self::first_possible(slots, first, now)?;
        Some(Self { breakable_above, owner: Some(index), ..reservation })
    }
}
