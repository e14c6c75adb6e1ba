//! EASY backfilling on machines: the first task that finds no room gets a reservation, and later
//! tasks may start only where they do not delay it.
//!
//! With hundreds of machines and thousands of tasks, a pass must not examine every machine for
//! every job. It keeps a list of the machines with room, and computes when busy machines will have
//! room only for tasks that would have to fetch their image and for reservations.

pub use crate::placement::slot::{RunningTask, Slot};

use crate::jobs::job::Resources;
use crate::placement::choose::Chooser;
use crate::placement::fair_share::{FairShareQueue, TeamUsage, Work};
use crate::placement::reservation::Reservation;
use std::time::Duration;

/// The minimum delay of a task that waits for a machine.
const MIN_WAIT: Duration = Duration::from_millis(1);
/// The number of tasks that one job may start before the next team's turn.
const MAX_TASKS_PER_TURN: u32 = 4;

/// A placement decision for one task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Start {
    /// The index of the task's work in the pass's list.
    pub work_index: usize,
    /// The index of the slot in the pass's list.
    pub slot_index: usize,
    /// When the task starts. If later than the pass, the task waits for the machine, which already
    /// has its image.
    pub at: Duration,
}

/// Runs one pass over the queue, and returns the tasks that start now or wait for a machine.
pub fn pass(now: Duration, slots: &mut [Slot], work: &mut [Work], teams: &mut [TeamUsage]) -> Vec<Start> {
    pass_up_to(now, slots, work, teams, usize::MAX)
}

/// Like [`pass`], but ends once `max_starts` tasks start now. Only a gang that is the first to start
/// may exceed the limit. The tasks are returned in the order in which they were placed.
pub fn pass_up_to(
    now: Duration,
    slots: &mut [Slot],
    work: &mut [Work],
    teams: &mut [TeamUsage],
    max_starts: usize,
) -> Vec<Start> {
    let mut queue = FairShareQueue::new(work, teams.len());
    let mut pass = Pass::new(now, slots, work, teams, max_starts);
    while let Some(index) = queue.next(pass.work, pass.teams) {
        for _ in 0..MAX_TASKS_PER_TURN {
            match pass.serve(index) {
                ServeOutcome::Placed => {}
                ServeOutcome::TurnEnded => break,
                ServeOutcome::Blocked => {
                    queue.skip(pass.work, index);
                    break;
                }
                ServeOutcome::PassEnded => return pass.starts,
            }
        }
    }
    pass.starts
}

/// The result of trying to place a task or a gang.
enum ServeOutcome {
    /// A task was placed, and the turn continues.
    Placed,
    /// The turn is over, because a gang was placed or nothing is pending.
    TurnEnded,
    /// No further task of the work can be placed in this pass.
    Blocked,
    /// The pass is over, because it has reached its limit on starts.
    PassEnded,
}

/// The state of a pass.
struct Pass<'a> {
    now: Duration,
    slots: &'a mut [Slot],
    work: &'a mut [Work],
    teams: &'a mut [TeamUsage],
    max_starts: usize,
    /// The number of tasks that start now, without those that wait for a machine.
    started: usize,
    starts: Vec<Start>,
    /// The smallest amount of each resource that any pending task takes.
    smallest_demand: Resources,
    /// The indices of the slots that have room for the smallest demand.
    open_slots: Vec<usize>,
    /// The largest amount of each resource that was free on any of these slots when the pass began.
    max_free: Resources,
    reservation: Option<Reservation>,
}

impl<'a> Pass<'a> {
    fn new(
        now: Duration,
        slots: &'a mut [Slot],
        work: &'a mut [Work],
        teams: &'a mut [TeamUsage],
        max_starts: usize,
    ) -> Self {
        let smallest_demand = smallest_demand(work);
        let open_slots: Vec<usize> =
            (0..slots.len()).filter(|index| has_room(&slots[*index], now, &smallest_demand)).collect();
        let max_free = max_free(slots, &open_slots);
        let reservation = Reservation::for_starving_work(slots, work, teams, now);
        Self {
            now,
            slots,
            work,
            teams,
            max_starts,
            started: 0,
            starts: Vec::new(),
            smallest_demand,
            open_slots,
            max_free,
            reservation,
        }
    }

    /// Tries to place one task of the work, or all of its tasks if it is a gang.
    fn serve(&mut self, index: usize) -> ServeOutcome {
        if self.started >= self.max_starts {
            return ServeOutcome::PassEnded;
        }
        let work = &self.work[index];
        if work.pending == 0 {
            return ServeOutcome::TurnEnded;
        }
        if !self.teams[work.team].admits_all(&work.demand, work.min_simultaneous()) {
            return ServeOutcome::Blocked;
        }
        if work.gang {
            self.place_gang(index)
        } else {
            self.place_task(index)
        }
    }

    fn place_task(&mut self, index: usize) -> ServeOutcome {
        let work = &self.work[index];
        let candidates = self.candidate_slots(work);
        let chooser = self.chooser(index);
        let without_delay = chooser.best_slot(candidates, work);
        let found =
            without_delay.or_else(|| self.chooser_ignoring_reservation(index)?.best_slot(candidates, work));
        let Some(chosen) = found else { return self.block(index) };
        let used = match chooser.opening_before_fetch(work, chosen) {
            Some(opening) => {
                self.start_later(index, opening.slot, opening.at);
                self.work[index].pending -= 1;
                opening.slot
            }
            None => {
                self.start_now(index, chosen);
                chosen
            }
        };
        if !has_room(&self.slots[used], self.now, &self.smallest_demand) {
            self.open_slots.retain(|slot| *slot != used);
        }
        ServeOutcome::Placed
    }

    fn place_gang(&mut self, index: usize) -> ServeOutcome {
        let work = &self.work[index];
        let candidates = self.candidate_slots(work);
        let chooser = self.chooser(index);
        let without_delay = chooser.gang_slots(candidates, work);
        let found =
            without_delay.or_else(|| self.chooser_ignoring_reservation(index)?.gang_slots(candidates, work));
        let Some(chosen) = found else { return self.block(index) };
        if self.started > 0 && self.started + chosen.len() > self.max_starts {
            return ServeOutcome::PassEnded;
        }
        match chooser.gang_opening_before_fetch(work, &chosen) {
            Some(opening) => {
                for tasks in opening.tasks {
                    for _ in 0..tasks.count {
                        self.start_later(index, tasks.slot, opening.at);
                    }
                }
                self.work[index].pending = 0;
            }
            None => {
                for slot in chosen {
                    self.start_now(index, slot);
                }
            }
        }
        let (slots, now, smallest_demand) = (&*self.slots, self.now, &self.smallest_demand);
        self.open_slots.retain(|slot| has_room(&slots[*slot], now, smallest_demand));
        ServeOutcome::TurnEnded
    }

    /// Returns the slots that may have room for the work. A demand that exceeds `max_free` fits
    /// nowhere, because machines only fill up during a pass. This saves comparing a queue of large
    /// tasks with every small gap.
    fn candidate_slots(&self, work: &Work) -> &[usize] {
        if work.demand.fits(&self.max_free) {
            &self.open_slots
        } else {
            &[]
        }
    }

    /// Returns a chooser for this work, which must not delay a reservation for other work.
    fn chooser(&self, index: usize) -> Chooser<'_> {
        let reservation = self.reservation.as_ref().filter(|reservation| reservation.applies_to(index));
        Chooser { slots: self.slots, now: self.now, reservation }
    }

    /// Returns a chooser that ignores the reservation, if this work may break it.
    fn chooser_ignoring_reservation(&self, index: usize) -> Option<Chooser<'_>> {
        let chooser = self.chooser(index);
        let may_break = chooser.reservation?.may_be_broken_by(self.work[index].priority);
        may_break.then_some(Chooser { reservation: None, ..chooser })
    }

    /// Handles work without room: reserves room for it if the pass has no reservation yet.
    fn block(&mut self, index: usize) -> ServeOutcome {
        if self.reservation.is_none() {
            self.reservation = Reservation::first_possible(self.slots, &self.work[index], self.now);
        }
        ServeOutcome::Blocked
    }

    /// Starts a task of the work on the slot at once.
    fn start_now(&mut self, index: usize, slot: usize) {
        let work = &mut self.work[index];
        self.slots[slot].start_task(self.now, work);
        work.add_to_zone(self.slots[slot].zone);
        self.teams[work.team].used.add(&work.demand);
        work.pending -= 1;
        self.starts.push(Start { work_index: index, slot_index: slot, at: self.now });
        self.started += 1;
    }

    /// Reserves room for a task of the work that waits until `at` for the slot, which has its image.
    fn start_later(&mut self, index: usize, slot: usize, at: Duration) {
        let at = at.max(self.now + MIN_WAIT);
        self.slots[slot].reserve_task(at, &self.work[index]);
        self.starts.push(Start { work_index: index, slot_index: slot, at });
    }
}

/// Returns whether the machine accepts tasks now and has room for the smallest demand.
fn has_room(slot: &Slot, now: Duration, smallest_demand: &Resources) -> bool {
    slot.ready_at <= now && smallest_demand.fits(&slot.free)
}

/// Returns the smallest amount of each resource that any pending task takes.
fn smallest_demand(work: &[Work]) -> Resources {
    let none = Resources { cpus: f64::MAX, gpus: f64::MAX, ram_gb: f64::MAX };
    work.iter().filter(|work| work.pending > 0).fold(none, |smallest, work| Resources {
        cpus: smallest.cpus.min(work.demand.cpus),
        gpus: smallest.gpus.min(work.demand.gpus),
        ram_gb: smallest.ram_gb.min(work.demand.ram_gb),
    })
}

/// Returns the largest amount of each resource that is free on any of these slots.
fn max_free(slots: &[Slot], open_slots: &[usize]) -> Resources {
    open_slots.iter().map(|index| &slots[*index].free).fold(Resources::default(), |largest, free| Resources {
        cpus: largest.cpus.max(free.cpus),
        gpus: largest.gpus.max(free.gpus),
        ram_gb: largest.ram_gb.max(free.ram_gb),
    })
}
