//! Preemption: lesser work is stopped for urgent tasks that would start too late.

use super::Leader;
use crate::effects::EffectSink;
use crate::jobs::job::{JobId, Priority, Resources};
use crate::placement::backfill::Slot;
use crate::placement::fair_share::{TeamUsage, Work};
use crate::protocol::{MachineName, TaskId};
use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::time::Duration;

/// Tasks that one pass stops for others.
const MAX_PREEMPTIONS_PER_PASS: usize = 64;
/// A task that needed more attempts than this is not stopped again.
const MAX_ATTEMPTS_TO_PREEMPT: u64 = 2;

/// What a placement pass has left: the machines with their slots, and the work.
pub(super) struct PassOutcome<'a> {
    pub machines: &'a [MachineName],
    /// The machines' slots, in their order.
    pub slots: &'a [Slot],
    pub work: &'a mut [Work],
    pub teams: &'a mut [TeamUsage],
}

/// How many tasks of a job find no room in time, and in which zone, if it must be in one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Shortage {
    tasks: u32,
    zone: Option<usize>,
}

impl Shortage {
    /// As many tasks of a job as find no room in time; those of a gang that must be in
    /// one zone, in the zone that lacks least.
    fn of(work: &Work, slots: &[Slot], now: Duration) -> Self {
        if !work.gang || !work.single_zone {
            return Self::within(work, slots, None, now);
        }
        let zones: BTreeSet<usize> =
            slots.iter().filter(|slot| work.allows(slot.pool)).map(|slot| slot.zone).collect();
        zones.into_iter().map(|zone| Self::within(work, slots, Some(zone), now)).min().unwrap_or_default()
    }

    fn within(work: &Work, slots: &[Slot], zone: Option<usize>, now: Duration) -> Self {
        let mut tasks = if work.priority >= Priority::Urgent { work.pending } else { 0 };
        let suits = |slot: &&Slot| work.allows(slot.pool) && zone.is_none_or(|zone| zone == slot.zone);
        for slot in slots.iter().filter(suits) {
            if tasks == 0 {
                break;
            }
            tasks -= slot.fits_by(&work.demand, work.latest_start.max(now), tasks);
        }
        Self { tasks, zone }
    }
}

/// A task that may be stopped for a more urgent one.
#[derive(Debug, Clone)]
struct Victim {
    /// The progress that is lost with it.
    ran_for: Duration,
    task: TaskId,
    demand: Resources,
    priority: Priority,
    gang: bool,
}

/// What it costs to make room for one task on a machine; the least comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct PreemptionCost {
    stops_gang: bool,
    progress_lost: Duration,
    slot_index: usize,
    /// How many tasks would be stopped.
    victims: usize,
}

/// The tasks of a machine that may be stopped, the least urgent first, and the
/// room beside them.
#[derive(Debug, Clone, Default)]
struct PreemptionCandidates {
    room: Resources,
    tasks: Vec<Victim>,
}

impl PreemptionCandidates {
    /// The job's tasks are being stopped.
    fn remove_job(&mut self, job: &JobId) {
        let room = &mut self.room;
        self.tasks.retain(|victim| {
            let ends = victim.task.job == *job;
            if ends {
                room.add(&victim.demand);
            }
            !ends
        });
    }

    /// What it costs to make room for one more task here; `None`: it can't be made.
    fn cost(&self, demand: &Resources, priority: Priority, slot_index: usize) -> Option<PreemptionCost> {
        let mut room = self.room;
        let mut cost =
            PreemptionCost { stops_gang: false, progress_lost: Duration::ZERO, slot_index, victims: 0 };
        let mut tasks = self.tasks.iter().take_while(|victim| victim.priority < priority);
        while !demand.fits(&room) {
            let victim = tasks.next()?;
            room.add(&victim.demand);
            cost.stops_gang |= victim.gang;
            cost.progress_lost += victim.ran_for;
            cost.victims += 1;
        }
        Some(cost)
    }
}

/// A task that is to be stopped, and the slot that it is on.
#[derive(Debug)]
struct ChosenVictim {
    slot_index: usize,
    task: TaskId,
}

/// The search for tasks to stop, over one pass's slots.
struct VictimSearch<'a> {
    slots: &'a [Slot],
    teams: &'a mut [TeamUsage],
    /// For each slot.
    candidates: Vec<PreemptionCandidates>,
    /// Tasks chosen so far.
    chosen: usize,
}

impl VictimSearch<'_> {
    /// Chooses what to stop so that so many tasks of a job find room, or as many of them
    /// as can.
    fn make_room(&mut self, work: &mut Work, mut missing: u32) -> Vec<ChosenVictim> {
        let mut chosen = Vec::new();
        let before = work.gang.then(|| self.candidates.clone());
        while missing > 0
            && self.teams[work.team].admits(&work.demand)
            && self.chosen + chosen.len() < MAX_PREEMPTIONS_PER_PASS
        {
            let Some(cost) = self.cheapest(work) else { break };
            self.take_victims(cost, &mut chosen);
            self.candidates[cost.slot_index].room.sub(&work.demand);
            self.teams[work.team].used.add(&work.demand);
            work.add_to_zone(self.slots[cost.slot_index].zone);
            missing -= 1;
        }
        // Room for some of a gang is of no use: nothing is stopped for it then.
        if let Some(before) = before.filter(|_| missing > 0) {
            self.candidates = before;
            return Vec::new();
        }
        self.chosen += chosen.len();
        chosen
    }

    fn cheapest(&self, work: &Work) -> Option<PreemptionCost> {
        let cost = |(slot_index, slot): (usize, &Slot)| {
            let suits = work.allows(slot.pool) && work.admits_zone(slot.zone);
            suits.then(|| self.candidates[slot_index].cost(&work.demand, work.priority, slot_index)).flatten()
        };
        self.slots.iter().enumerate().filter_map(cost).min()
    }

    fn take_victims(&mut self, cost: PreemptionCost, chosen: &mut Vec<ChosenVictim>) {
        let slot_index = cost.slot_index;
        let victims: Vec<Victim> = self.candidates[slot_index].tasks.drain(..cost.victims).collect();
        for victim in victims {
            self.candidates[slot_index].room.add(&victim.demand);
            if victim.gang {
                // The others end with it and make room where they are.
                self.candidates.iter_mut().for_each(|other| other.remove_job(&victim.task.job));
            }
            chosen.push(ChosenVictim { slot_index, task: victim.task });
        }
    }
}

impl Leader {
    /// Stops lesser work for urgent tasks that would start too late otherwise,
    /// the least progressed first. What is stopped comes back to the queue.
    pub(super) fn preempt(&mut self, now: Duration, pass: PassOutcome<'_>, effects: &mut EffectSink) {
        let PassOutcome { machines, slots, work, teams } = pass;
        let shortages: Vec<Shortage> = work.iter().map(|work| Shortage::of(work, slots, now)).collect();
        let mut order: Vec<usize> = (0..work.len()).filter(|i| shortages[*i].tasks > 0).collect();
        if order.is_empty() {
            return;
        }
        for (work, shortage) in work.iter_mut().zip(&shortages) {
            if let Some(zone) = shortage.zone {
                work.add_to_zone(zone);
            }
        }
        order.sort_by_key(|i| (Reverse(work[*i].priority), !work[*i].guaranteed, work[*i].latest_start));
        let candidates = machines
            .iter()
            .zip(slots)
            .map(|(machine, slot)| match slot.ready_at <= now {
                true => self.preemption_candidates(now, machine, slot.free),
                false => PreemptionCandidates::default(),
            })
            .collect();
        let mut search = VictimSearch { slots, teams, candidates, chosen: 0 };
        let mut victims = Vec::new();
        for i in order {
            victims.extend(search.make_room(&mut work[i], shortages[i].tasks));
        }
        self.stop_victims(now, &victims, machines, effects);
    }

    fn stop_victims(
        &mut self,
        now: Duration,
        victims: &[ChosenVictim],
        machines: &[MachineName],
        effects: &mut EffectSink,
    ) {
        let mut to_command: BTreeSet<MachineName> = BTreeSet::new();
        for victim in victims {
            self.job_table.stop(&victim.task);
            to_command.insert(machines[victim.slot_index].clone());
        }
        to_command.append(&mut self.job_table.machines_to_stop);
        for machine in to_command {
            self.send_commands(now, &machine, effects);
        }
    }

    /// What may be stopped on a machine: young tasks below the highest priority,
    /// the least progressed first.
    fn preemption_candidates(
        &self,
        now: Duration,
        machine: &MachineName,
        free: Resources,
    ) -> PreemptionCandidates {
        let mut found = PreemptionCandidates { room: free, tasks: Vec::new() };
        for task in self.job_table.by_machine(machine) {
            let (Some(entry), Some(attempt)) =
                (self.job_table.jobs.get(&task.job), self.job_table.attempt(task))
            else {
                continue;
            };
            let (demand, priority) = (entry.spec.demand, entry.spec.priority);
            if attempt.stop_requested {
                found.room.add(&demand);
                continue;
            }
            let ran_for = attempt.running_since.map_or(Duration::ZERO, |at| now.saturating_sub(at));
            let young = ran_for < self.estimated_runtime(&entry.spec) / 2;
            let often_restarted = attempt.number > MAX_ATTEMPTS_TO_PREEMPT;
            // To stop one task of a gang costs the progress of all, or the time they
            // need to save: they come last.
            let gang = entry.gang.is_some();
            let ran_for = if gang { ran_for * entry.spec.tasks } else { ran_for };
            let reported = attempt.reported_status.is_some();
            if reported && young && !often_restarted && priority < Priority::Critical {
                found.tasks.push(Victim { ran_for, task: task.clone(), demand, priority, gang });
            }
        }
        found.tasks.sort_by_key(|victim| (victim.priority, victim.gang, victim.ran_for));
        found
    }
}
