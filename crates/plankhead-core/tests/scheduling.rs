//! EASY, the queue, the replay and the climb against worked examples and plain
//! versions.

use plankhead_core::easy::{pass, Running, Slot, Start};
use plankhead_core::job::{Resources, Urgency};
use plankhead_core::queue::{mark_guaranteed, next, TeamRoom, Work};
use plankhead_core::replay::{slowdown, Arrival};
use plankhead_core::sizing::climb;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::HashSet;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(1000);

fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn cpus(cpus: f64) -> Resources {
    Resources { cpus, gpus: 0.0, ram: 1.0 }
}

fn slot(free: f64, running: &[(u64, f64)]) -> Slot {
    let running =
        running.iter().map(|(end, held)| Running { end: NOW + secs(*end), each: cpus(*held), team: 0 });
    Slot {
        rig: "r".into(),
        zone: "z".into(),
        spot: false,
        free: Resources { cpus: free, gpus: 0.0, ram: 100.0 },
        ready: NOW,
        running: running.collect(),
        images: HashSet::from(["img".into()]),
        fetching: 0,
        pull_gb_per_s: 1.0,
    }
}

fn work(each: f64, pending: u32, estimate: u64) -> Work {
    Work {
        team: 0,
        urgency: Urgency::Standard,
        guaranteed: true,
        accepted: NOW,
        due: NOW,
        each: cpus(each),
        image: "img".into(),
        image_gb: 10.0,
        rigs: None,
        zone: None,
        one_zone: false,
        zone_most: u32::MAX,
        spot: true,
        estimate: secs(estimate),
        pending,
        zones: Vec::new(),
    }
}

fn team(guarantee: f64, cap: f64) -> TeamRoom {
    TeamRoom { guarantee: cpus(guarantee), cap: cpus(cap), used: Resources::default() }
}

/// The head needs 8 CPUs, free in 100 s on the first machine. A short task may
/// use the 4 that are free there until then, a long one may not.
#[test]
fn backfill_does_not_delay_the_head() {
    let slots = || vec![slot(4.0, &[(100, 4.0)])];
    let mut head = work(8.0, 1, 50);
    head.urgency = Urgency::Urgent;
    let mut both = [head.clone(), work(4.0, 1, 90)];
    let starts = pass(NOW, &mut slots(), &mut both, &mut [team(100.0, 100.0)]);
    assert_eq!(starts, vec![Start { work: 1, slot: 0 }]);
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
    assert_eq!(start(5), vec![]);
    assert_eq!(start(15), vec![Start { work: 0, slot: 1 }]);
}

/// A pass never oversteps a machine, a cap or a placement constraint.
#[test]
fn passes_keep_within_room_caps_and_zones() {
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut slots: Vec<Slot> = (0..6)
            .map(|i| {
                let mut s = slot(rng.random_range(0..9).into(), &[(rng.random_range(1..90), 4.0)]);
                s.zone = ["x", "y", "z"][i % 3].into();
                s.spot = i % 2 == 0;
                s
            })
            .collect();
        let mut jobs: Vec<Work> = (0..8)
            .map(|i| {
                let each = [1.0, 2.0, 4.0][rng.random_range(0..3)];
                let mut w = work(each, rng.random_range(1..9), rng.random_range(1..100));
                w.team = i % 2;
                w.one_zone = i % 4 == 1;
                w.spot = i % 3 != 0;
                w.zone_most = if i % 4 == 2 { w.pending.div_ceil(2) } else { u32::MAX };
                w
            })
            .collect();
        let (before, asked) = (slots.clone(), jobs.clone());
        let mut teams = [team(8.0, 10.0), team(8.0, 12.0)];
        let starts = pass(NOW, &mut slots, &mut jobs, &mut teams);
        let sum = |keep: &dyn Fn(&Start) -> bool| -> f64 {
            starts.iter().filter(|s| keep(s)).map(|s| asked[s.work].each.cpus).sum()
        };
        for (i, slot) in before.iter().enumerate() {
            assert!(sum(&|s| s.slot == i) <= slot.free.cpus, "seed {seed}: room");
        }
        for (t, cap) in [10.0, 12.0].into_iter().enumerate() {
            assert!(sum(&|s| asked[s.work].team == t) <= cap, "seed {seed}: cap");
        }
        for (w, job) in asked.iter().enumerate() {
            let here: Vec<&Start> = starts.iter().filter(|s| s.work == w).collect();
            assert!(here.len() as u32 <= job.pending);
            let in_zone = |z: &str| here.iter().filter(|s| &*before[s.slot].zone == z).count() as u32;
            let zones: Vec<u32> = ["x", "y", "z"].into_iter().map(in_zone).collect();
            assert!(!job.one_zone || zones.iter().filter(|n| **n > 0).count() <= 1, "seed {seed}: one zone");
            assert!(zones.iter().all(|n| *n <= job.zone_most), "seed {seed}: scatter");
            assert!(job.spot || here.iter().all(|s| !before[s.slot].spot), "seed {seed}: spot");
        }
    }
}

/// Urgent before standard whatever the guarantees; then guarantees; then the
/// team that holds the smaller part of its share.
#[test]
fn order_of_turns() {
    let mut urgent = work(1.0, 1, 1);
    urgent.urgency = Urgency::Urgent;
    urgent.guaranteed = false;
    let mut borrows = work(1.0, 1, 1);
    borrows.guaranteed = false;
    let mut other = work(1.0, 1, 1);
    other.team = 1;
    let mut teams = [team(10.0, 99.0), team(40.0, 99.0)];
    teams[0].used = cpus(5.0);
    teams[1].used = cpus(10.0);
    let all = [borrows, work(1.0, 1, 1), other, urgent];
    let mut open = [true; 4];
    let mut turns = Vec::new();
    while let Some(i) = next(&all, &teams, &open) {
        open[i] = false;
        turns.push(i);
    }
    assert_eq!(turns, vec![3, 2, 1, 0]);
}

/// Of three jobs of 4, 4 and 4 CPUs in a guarantee of 8, the last borrows.
#[test]
fn guarantees_go_by_arrival() {
    let mut jobs: Vec<Work> = (0..3).map(|_| work(4.0, 1, 1)).collect();
    for (i, job) in jobs.iter_mut().enumerate() {
        job.accepted = NOW - secs(i as u64);
    }
    mark_guaranteed(&mut jobs, &[cpus(4.0); 3], &[team(8.0, 99.0)]);
    assert_eq!(jobs.iter().map(|j| j.guaranteed).collect::<Vec<_>>(), vec![false, true, true]);
}

/// The climb of the paper, and its steps written out: 4, then ceil((4+32)/2).
#[test]
fn climb_halves_the_way_to_the_limit() {
    let mut trials = Vec::new();
    let size = climb(4, 32, 3.0, |l| {
        trials.push(l);
        if l >= 25 {
            2.9
        } else {
            3.1
        }
    });
    assert_eq!((trials, size), (vec![4, 18, 25], 25));
    assert_eq!(climb(4, 32, 3.0, |_| 9.0), 32);
    assert_eq!(climb(4, 32, 3.0, |_| 3.0), 4);
    assert_eq!(climb(40, 32, 3.0, |_| 9.0), 40, "busy machines are never below the size");
}

/// Two tasks of 20 s on one machine: the second waits 20 s, so that the mean
/// delay of the job is 10 s and its slowdown 1 + 10/20. With a third job of one
/// second the floor of 10 s counts: 1 + 40/10.
#[test]
fn replayed_slowdown_by_hand() {
    let replay = |jobs: Vec<Work>, arrivals: Vec<Arrival>| {
        slowdown(NOW, vec![slot(8.0, &[])], jobs, arrivals, vec![team(99.0, 99.0)], 0)
    };
    assert!((replay(vec![work(8.0, 2, 20)], vec![]) - 1.5).abs() < 1e-9);
    let mut last = work(8.0, 1, 1);
    last.due = NOW + secs(1);
    let two = replay(vec![work(8.0, 2, 20), last], vec![]);
    assert!((two - (1.5 + 5.0) / 2.0).abs() < 1e-9, "{two}");
    // A job that comes after 30 s finds the machine busy for 10 s more.
    let late = Arrival { at: NOW + secs(30), work: work(8.0, 1, 10) };
    let with = replay(vec![work(8.0, 2, 20)], vec![late]);
    assert!((with - (1.5 + 2.0) / 2.0).abs() < 1e-9, "{with}");
}

/// Caps bind in the replay as well, and room comes back when tasks end.
#[test]
fn replay_gives_caps_back() {
    let s = slowdown(
        NOW,
        vec![slot(8.0, &[]), slot(8.0, &[])],
        vec![work(8.0, 2, 20)],
        vec![],
        vec![team(99.0, 8.0)],
        0,
    );
    assert!((s - 1.5).abs() < 1e-9, "{s}");
}
