//! Reservations: room kept for work that waits, which later work must not delay.

use crate::jobs::job::{Priority, Resources};
use crate::placement::fair_share::{TeamUsage, Work};
use crate::placement::gang;
use crate::placement::slot::Slot;
use std::time::Duration;

/// How long a task waits before a machine is kept for it.
const RESERVE_AFTER: Duration = Duration::from_secs(60);
/// How long a task waits before more urgent ones must leave the machine kept for it alone, too.
const UNBREAKABLE_AFTER: Duration = Duration::from_secs(150);

/// Room kept on one machine.
#[derive(Debug, Clone)]
struct KeptRoom {
    slot: usize,
    resources: Resources,
}

/// Room kept for work that waits: for one task on one machine, or for all tasks of
/// a gang on several.
#[derive(Debug, Clone)]
pub(super) struct Reservation {
    kept: Vec<KeptRoom>,
    /// When the work can start.
    pub(super) at: Duration,
    /// More urgent work than this may break it if it finds no room elsewhere.
    breakable_above: Option<Priority>,
    /// The work that it is for, if that may still start in this pass.
    for_work: Option<usize>,
}

impl Reservation {
    /// What is kept on the machine.
    pub(super) fn kept_on(&self, slot: usize) -> Option<&Resources> {
        self.kept.iter().find(|kept| kept.slot == slot).map(|kept| &kept.resources)
    }

    /// Whether this work must leave the room alone: it is for other work.
    pub(super) fn binds(&self, work_index: usize) -> bool {
        self.for_work != Some(work_index)
    }

    /// Whether work of this priority may take the room if it finds none elsewhere.
    pub(super) fn yields_to(&self, priority: Priority) -> bool {
        self.breakable_above.is_some_and(|kept_for| priority > kept_for)
    }

    /// Room for the work from the first moment at which there is enough.
    pub(super) fn first_possible(slots: &[Slot], work: &Work, now: Duration) -> Option<Self> {
        if work.gang {
            Self::for_gang(slots, work, now)
        } else {
            Self::for_task(slots, work, now)
        }
    }

    fn for_task(slots: &[Slot], work: &Work, now: Duration) -> Option<Self> {
        let mut best: Option<(Duration, usize)> = None;
        for (index, slot) in slots.iter().enumerate().filter(|(_, slot)| slot.suits(work)) {
            let until = best.map_or(Duration::MAX, |(at, _)| at);
            if let Some(at) = slot.earliest_fit(&work.demand, now, until) {
                best = Some((at, index));
            }
        }
        best.map(|(at, slot)| Self {
            kept: vec![KeptRoom { slot, resources: work.demand }],
            at,
            breakable_above: None,
            for_work: None,
        })
    }

    /// Room for a whole gang, in one zone where asked: neither small tasks nor other gangs keep
    /// it out for ever.
    fn for_gang(slots: &[Slot], work: &Work, now: Duration) -> Option<Self> {
        let opening = gang::first_opening(slots, work, now, |_| true)?;
        let keep =
            |tasks: gang::SlotTasks| KeptRoom { slot: tasks.slot, resources: work.demand.times(tasks.count) };
        let kept = opening.tasks.into_iter().map(keep).collect();
        Some(Self { kept, at: opening.at, breakable_above: None, for_work: None })
    }

    /// A reservation for the task that has waited longest for room, of jobs that have
    /// not begun after the longer time if there are such (one began after 302 s in a
    /// burst), before anything else starts: small tasks that keep coming would fill every gap
    /// before it is wide enough, the more urgent ones for ever.
    pub(super) fn for_starved(
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
        Some(Self { breakable_above, for_work: Some(index), ..reservation })
    }
}
