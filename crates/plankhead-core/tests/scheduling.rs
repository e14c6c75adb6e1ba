//! EASY, the queue, the replay and the climb against worked examples and plain
//! versions.

#![allow(clippy::unwrap_used)]

mod plain;

use plankhead_core::jobs::job::{Priority, Resources};
use plankhead_core::placement::backfill::{pass, pass_up_to, RunningTask, Slot, Start};
use plankhead_core::placement::fair_share::{
    jobs_within_guarantee, FairShareQueue, QuotaDemand, TeamUsage, Work,
};
use plankhead_core::sizing::fleet_size_search::FleetSizeSearch;
use plankhead_core::sizing::replay::{Arrival, Replay};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

const NOW: Duration = Duration::from_secs(1000);

fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn cpus(cpus: f64) -> Resources {
    Resources { cpus, gpus: 0.0, ram_gb: 1.0 }
}

fn slot(free: f64, running: &[(u64, f64)]) -> Slot {
    let task = |(end, held): &(u64, f64)| RunningTask {
        ends_at: NOW + secs(*end),
        overdue_extension: Duration::ZERO,
        demand: cpus(*held),
        team: 0,
        is_reservation: false,
    };
    let running = running.iter().map(task);
    Slot {
        pool: 0,
        zone: 0,
        price: 1.0,
        free: Resources { cpus: free, gpus: 0.0, ram_gb: 100.0 },
        ready_at: NOW,
        running: running.collect(),
        images: vec![7],
        fetches_in_progress: 0,
        image_fetch_gb_per_s: 1.0,
    }
}

fn work(each: f64, pending: u32, estimate: u64) -> Work {
    Work {
        team: 0,
        priority: Priority::Standard,
        guaranteed: true,
        accepted_at: NOW,
        latest_start: NOW,
        latest_restart: Duration::MAX,
        demand: cpus(each),
        image: 7,
        image_gb: 10.0,
        allowed_pools: vec![true; 6],
        single_zone: false,
        max_per_zone: u32::MAX,
        estimated_runtime: secs(estimate),
        pending,
        gang: false,
        attempts_by_zone: Vec::new(),
        has_started: false,
    }
}

fn team(guarantee: f64, cap: f64) -> TeamUsage {
    TeamUsage { guaranteed: cpus(guarantee), limit: cpus(cap), used: Resources::default() }
}

/// The head needs 8 CPUs, free in 100 s on the first machine. A short task may
/// use the 4 that are free there until then, a long one may not.
#[test]
fn backfill_does_not_delay_the_head() {
    let slots = || vec![slot(4.0, &[(100, 4.0)])];
    let mut head = work(8.0, 1, 50);
    head.priority = Priority::Urgent;
    let mut both = [head.clone(), work(4.0, 1, 90)];
    let starts = pass(NOW, &mut slots(), &mut both, &mut [team(100.0, 100.0)]);
    assert_eq!(starts, vec![Start { work_index: 1, slot_index: 0, at: NOW }]);
    let mut both = [head, work(4.0, 1, 110)];
    let starts = pass(NOW, &mut slots(), &mut both, &mut [team(100.0, 100.0)]);
    assert_eq!(starts, vec![]);
}

/// An image that is there soon beats a fetch that takes longer.
#[test]
fn waits_for_the_machine_with_the_image() {
    let mut cold = slot(8.0, &[]);
    cold.images.clear();
    let start = |busy: u64| {
        let mut slots = vec![slot(0.0, &[(busy, 8.0)]), cold.clone()];
        pass(NOW, &mut slots, &mut [work(8.0, 1, 30)], &mut [team(100.0, 100.0)])
    };
    assert_eq!(start(5), vec![Start { work_index: 0, slot_index: 0, at: NOW + secs(5) }]);
    assert_eq!(start(15), vec![Start { work_index: 0, slot_index: 1, at: NOW }]);
}

/// A gang goes where it must fetch at once rather than wait for the machine with its
/// image, unless only that one is in time: it had waited for 27 s instead of 7, pass
/// after pass, for tasks that overran their estimates.
#[test]
fn a_gang_waits_for_an_image_only_where_it_would_be_late() {
    let start = |due: u64, busy: u64| {
        let mut cold = slot(8.0, &[]);
        cold.images.clear();
        let mut slots = vec![slot(0.0, &[(busy, 8.0)]), cold];
        let mut gang = work(4.0, 2, 30);
        (gang.gang, gang.latest_start) = (true, NOW + secs(due));
        pass(NOW, &mut slots, &mut [gang], &mut [team(100.0, 100.0)])
    };
    let both = |slot, at| vec![Start { work_index: 0, slot_index: slot, at: NOW + secs(at) }; 2];
    assert_eq!(start(12, 5), both(1, 0), "a fetch of 10 s is in time");
    assert_eq!(start(8, 5), both(0, 5));
    assert_eq!(start(8, 9), both(1, 0), "neither is in time");
}

/// All of a gang or none of it, in one zone where asked; and what waits has room kept
/// for all of it, on several machines, so that no small task slips in.
#[test]
fn a_gang_has_room_for_all_of_it_kept() {
    let slots = || {
        let mut slots = vec![slot(8.0, &[]), slot(4.0, &[(50, 4.0)]), slot(8.0, &[])];
        slots[2].zone = 1;
        slots
    };
    let mut gang = work(8.0, 2, 30);
    (gang.gang, gang.single_zone, gang.priority) = (true, true, Priority::Urgent);
    let pass = |gang: &Work, small: u64| {
        let mut all = [gang.clone(), work(4.0, 1, small)];
        all[1].allowed_pools = vec![true; 6];
        all[1].max_per_zone = 1;
        let mut zoned = slots();
        zoned[2].free = cpus(0.0);
        plankhead_core::placement::backfill::pass(NOW, &mut zoned, &mut all, &mut [team(100.0, 100.0)])
    };
    assert_eq!(pass(&gang, 90), vec![], "it would hold up the gang, which has both machines after 50 s");
    assert_eq!(pass(&gang, 40).len(), 1, "it is gone by then");
    gang.single_zone = false;
    let mut whole = [gang];
    let starts =
        plankhead_core::placement::backfill::pass(NOW, &mut slots(), &mut whole, &mut [team(100.0, 100.0)]);
    assert_eq!(starts.iter().map(|s| s.slot_index).collect::<Vec<_>>(), vec![0, 2]);
}

/// Six machines and eight jobs of every kind.
fn random(seed: u64) -> (Vec<Slot>, Vec<Work>) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut one = |i: usize| {
        let held = [1.0, 2.0, 4.0][rng.random_range(0..3)];
        let mut ends: Vec<(u64, f64)> = (0..3).map(|_| (rng.random_range(1..90), held)).collect();
        ends.sort_by_key(|(end, _)| *end);
        let mut s = slot(rng.random_range(0..9).into(), &ends);
        s.zone = i % 3;
        s.pool = i;
        s.price = [0.4, 1.0][i % 2];
        s.images = (0..4).filter(|_| rng.random_range(0..3) == 0).collect();
        s.fetches_in_progress = rng.random_range(0..2);
        s.ready_at = NOW + secs([0, 0, 0, 7][rng.random_range(0..4)]);
        s
    };
    let slots: Vec<Slot> = (0..6).map(&mut one).collect();
    let mut one = |i: usize| {
        let each = [1.0, 2.0, 4.0][rng.random_range(0..3)];
        let mut w = work(each, rng.random_range(1..9), rng.random_range(1..100));
        w.team = i % 2;
        w.image = rng.random_range(0..4);
        w.guaranteed = rng.random_range(0..2) == 0;
        w.priority = if rng.random_range(0..3) == 0 { Priority::Urgent } else { Priority::Standard };
        w.latest_start = NOW + secs(rng.random_range(0..3) * [9, 1, 1][i % 3]);
        w.accepted_at = NOW - secs(rng.random_range(0..200));
        w.latest_restart = if rng.random_range(0..3) == 0 { NOW - secs(1) } else { NOW };
        w.has_started = rng.random_range(0..2) == 0;
        w.single_zone = i % 4 == 1;
        w.allowed_pools = (0..6).map(|p| ![0, 3, 6].contains(&i) || p % 2 == 1).collect();
        w.gang = rng.random_range(0..3) == 0;
        w.max_per_zone = if i % 4 == 2 { w.pending.div_ceil(2) } else { u32::MAX };
        w
    };
    let jobs = (0..8).map(&mut one).collect();
    (slots, jobs)
}

/// The pass gives what the plain one gives, start by start, and never oversteps
/// a machine, a cap or a placement constraint.
#[test]
fn passes_are_as_plain_and_keep_within_room_caps_and_zones() {
    let (mut all, mut gangs) = (0, 0);
    for seed in 0..2000 {
        let (mut slots, mut jobs) = random(seed);
        let (before, question) = (slots.clone(), jobs.clone());
        let mut teams = [team(8.0, 14.0), team(8.0, 18.0)];
        let (mut s, mut j, mut t) = (slots.clone(), jobs.clone(), teams.clone());
        let plain = plain::pass(NOW, &mut s, &mut j, &mut t);
        let starts = pass(NOW, &mut slots, &mut jobs, &mut teams);
        assert_eq!(starts, plain, "seed {seed}");
        assert_eq!(slots, s, "seed {seed}");
        // One that is cut short starts those whose turn it was first.
        let (mut s, mut j, mut t) = (before.clone(), question.clone(), [team(8.0, 14.0), team(8.0, 18.0)]);
        let some = pass_up_to(NOW, &mut s, &mut j, &mut t, 3);
        let now = |starts: &[Start]| starts.iter().filter(|s| s.at == NOW).count();
        assert_eq!(some[..], plain[..some.len()], "seed {seed}");
        // Unless a gang stands where it would be cut, which starts as a whole.
        let cut = plain.iter().any(|s| question[s.work_index].gang);
        assert!(cut || now(&some) == now(&plain).min(3), "seed {seed}");
        let starts: Vec<Start> = starts.into_iter().filter(|s| s.at == NOW).collect();
        all += starts.len();
        let sum = |keep: &dyn Fn(&Start) -> bool| -> f64 {
            starts.iter().filter(|s| keep(s)).map(|s| question[s.work_index].demand.cpus).sum()
        };
        for (i, slot) in before.iter().enumerate() {
            assert!(sum(&|s| s.slot_index == i) <= slot.free.cpus, "seed {seed}: room");
        }
        for (t, cap) in [14.0, 18.0].into_iter().enumerate() {
            assert!(sum(&|s| question[s.work_index].team == t) <= cap, "seed {seed}: cap");
        }
        for (w, job) in question.iter().enumerate() {
            let here: Vec<&Start> = starts.iter().filter(|s| s.work_index == w).collect();
            assert!(here.len() as u32 <= job.pending);
            let whole = here.is_empty() || here.len() as u32 == job.pending;
            assert!(!job.gang || whole, "seed {seed}: some of a gang");
            gangs += u32::from(job.gang && !here.is_empty());
            let in_zone = |z: usize| here.iter().filter(|s| before[s.slot_index].zone == z).count() as u32;
            let zones: Vec<u32> = (0..3).map(in_zone).collect();
            assert!(
                !job.single_zone || zones.iter().filter(|n| **n > 0).count() <= 1,
                "seed {seed}: one zone"
            );
            assert!(zones.iter().all(|n| *n <= job.max_per_zone), "seed {seed}: scatter");
            assert!(here.iter().all(|s| job.allowed_pools[before[s.slot_index].pool]), "seed {seed}: pool");
        }
    }
    assert!(all > 4000 && gangs > 500, "{all} starts, {gangs} gangs");
}

/// Of machines with the image the cheap one is filled, so that the dear one can go
/// back; but it may be taken away, and what has no time for a second run takes the
/// dear one.
#[test]
fn cheap_machines_take_what_may_be_lost() {
    let start = |again_by| {
        let mut slots = vec![slot(4.0, &[(100, 4.0)]), slot(8.0, &[])];
        slots[1].price = 0.4;
        let mut one = [work(4.0, 1, 10)];
        one[0].latest_restart = again_by;
        pass(NOW, &mut slots, &mut one, &mut [team(100.0, 100.0)])[0].slot_index
    };
    assert_eq!(start(NOW), 1, "although the other is fuller");
    assert_eq!(start(NOW - secs(1)), 0);
}

/// Of two jobs that have waited for minutes, the one that has not begun has the
/// next machine kept, although the other came first.
#[test]
fn who_has_not_begun_comes_first_in_the_end() {
    let first = |begun| {
        let mut slots = vec![slot(8.0, &[])];
        let mut both = [work(8.0, 9, 50), work(8.0, 1, 50)];
        both[0].accepted_at = NOW - secs(300);
        both[1].accepted_at = NOW - secs(200);
        both[0].has_started = begun;
        pass(NOW, &mut slots, &mut both, &mut [team(100.0, 100.0)])[0].work_index
    };
    assert_eq!((first(false), first(true)), (0, 1));
}

/// Urgent before standard whatever the guarantees; then guarantees; then the
/// team that holds the smaller part of its share.
#[test]
fn order_of_turns() {
    let mut urgent = work(1.0, 1, 1);
    urgent.priority = Priority::Urgent;
    urgent.guaranteed = false;
    let mut borrows = work(1.0, 1, 1);
    borrows.guaranteed = false;
    let mut other = work(1.0, 1, 1);
    other.team = 1;
    let mut teams = [team(10.0, 99.0), team(40.0, 99.0)];
    teams[0].used = cpus(5.0);
    teams[1].used = cpus(10.0);
    let all = [borrows, work(1.0, 1, 1), other, urgent];
    let mut turns = FairShareQueue::new(&all, 2);
    let mut served = Vec::new();
    while let Some(i) = turns.next(&all, &teams) {
        turns.skip(&all, i);
        served.push(i);
    }
    assert_eq!(served, vec![3, 2, 1, 0]);
}

/// Of three jobs of 4, 4 and 4 CPUs in a guarantee of 8, the last borrows.
#[test]
fn guarantees_go_by_arrival() {
    let need = |i| QuotaDemand { team: 0, accepted_at: NOW - secs(i), resources: cpus(4.0) };
    let needs: Vec<QuotaDemand> = (0..3).map(need).collect();
    assert_eq!(jobs_within_guarantee(&needs, &[team(8.0, 99.0)]), vec![false, true, true]);
}

/// The climb of the paper, and its steps written out: 4, then ceil((4+32)/2).
/// Only an overload at the limit moves it; a trial that gains nothing ends it.
#[test]
fn climb_halves_the_way_to_the_limit() {
    let climb = |least, slowdown: &dyn Fn(u32) -> f64| {
        let mut climb = FleetSizeSearch::new(least, 32, 48, 1.2);
        let mut trials = Vec::new();
        while climb.size().is_none() {
            trials.push(climb.trial());
            climb.record_slowdown(slowdown(climb.trial()));
        }
        (trials, climb.size().unwrap())
    };
    assert_eq!(climb(4, &|l| if l >= 25 { 1.2 } else { 9.0 - f64::from(l) / 10.0 }), (vec![4, 18, 25], 25));
    assert_eq!(climb(4, &|l| 1.25 + 1.0 / f64::from(l * l)).1, 18, "no gain");
    assert_eq!(climb(4, &|l| 9.0 - f64::from(l) / 4.0), (vec![4, 18, 25, 29, 31, 32], 32));
    assert_eq!(climb(4, &|_| 1.2).1, 4);
    assert_eq!(climb(30, &|l| if l >= 40 { 1.2 } else { 90.0 / f64::from(l) }), (vec![30, 31, 32, 40], 40));
    assert_eq!(climb(40, &|_| 1.4).1, 40, "busy machines are never below the size");
}

/// Portions of any size give the same slowdown.
fn slowdown(mut replay: Replay) -> f64 {
    loop {
        if let Some(slowdown) = replay.advance(1) {
            return slowdown;
        }
    }
}

/// Two tasks of 20 s on one machine: the second waits 20 s, so that the mean
/// delay of the job is 10 s and its slowdown 1 + 10/20. With a third job of one
/// second the floor of 10 s counts: 1 + 40/10.
#[test]
fn replayed_slowdown_by_hand() {
    let replay = |jobs: Vec<Work>, arrivals: Vec<Arrival>| {
        slowdown(Replay::new(NOW, vec![slot(8.0, &[])], jobs, arrivals, vec![team(99.0, 99.0)], 0))
    };
    assert!((replay(vec![work(8.0, 2, 20)], vec![]) - 1.5).abs() < 1e-9);
    let mut last = work(8.0, 1, 1);
    last.latest_start = NOW + secs(1);
    let two = replay(vec![work(8.0, 2, 20), last], vec![]);
    assert!((two - (1.5 + 5.0) / 2.0).abs() < 1e-9, "{two}");
    // A job that comes after 30 s finds the machine busy for 10 s more.
    let late = Arrival { arrives_at: NOW + secs(30), work: work(8.0, 1, 10) };
    let with = replay(vec![work(8.0, 2, 20)], vec![late]);
    assert!((with - (1.5 + 2.0) / 2.0).abs() < 1e-9, "{with}");
}

/// Caps bind in the replay as well, and room comes back when tasks end.
#[test]
fn replay_gives_caps_back() {
    let slots = vec![slot(8.0, &[]), slot(8.0, &[])];
    let s = slowdown(Replay::new(NOW, slots, vec![work(8.0, 2, 20)], vec![], vec![team(99.0, 8.0)], 0));
    assert!((s - 1.5).abs() < 1e-9, "{s}");
}
