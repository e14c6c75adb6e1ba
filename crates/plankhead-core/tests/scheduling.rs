//! Tests of EASY backfill, the fair-share queue, the replay and the fleet size search. They are compared
//! with examples worked out by hand, and backfill passes also with the slow reference in `plain`.

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

/// The job at the head of the queue needs 8 CPUs, which become free after 100 s on the only machine.
/// A short task may use the 4 CPUs that are free until then; a long one may not.
#[test]
fn backfill_does_not_delay_the_head_of_the_queue() {
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

/// A task waits for a busy machine that has its image if the wait is shorter than the image fetch on an
/// idle one.
#[test]
fn a_task_waits_for_a_machine_with_its_image() {
    let mut cold = slot(8.0, &[]);
    cold.images.clear();
    let start = |busy: u64| {
        let mut slots = vec![slot(0.0, &[(busy, 8.0)]), cold.clone()];
        pass(NOW, &mut slots, &mut [work(8.0, 1, 30)], &mut [team(100.0, 100.0)])
    };
    assert_eq!(start(5), vec![Start { work_index: 0, slot_index: 0, at: NOW + secs(5) }]);
    assert_eq!(start(15), vec![Start { work_index: 0, slot_index: 1, at: NOW }]);
}

/// A gang starts at once on a machine without its image rather than wait for the one that has it, unless
/// only the latter is in time. A gang that always waited did so in pass after pass for tasks that
/// overran their estimates: 27 s instead of 7 s.
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
    let both_tasks = |slot, at| vec![Start { work_index: 0, slot_index: slot, at: NOW + secs(at) }; 2];
    assert_eq!(start(12, 5), both_tasks(1, 0), "the image fetch of 10 s is in time");
    assert_eq!(start(8, 5), both_tasks(0, 5));
    assert_eq!(start(8, 9), both_tasks(1, 0), "neither machine is in time");
}

/// Either all tasks of a gang start or none, in a single zone if the job asks for that. A waiting gang
/// has room reserved for all its tasks, on several machines, so that no small task delays it.
#[test]
fn room_is_reserved_for_all_tasks_of_a_gang() {
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
    assert_eq!(pass(&gang, 90), vec![], "the task would delay the gang, which gets both machines after 50 s");
    assert_eq!(pass(&gang, 40).len(), 1, "the task ends before then");
    gang.single_zone = false;
    let mut gang_only = [gang];
    let starts = plankhead_core::placement::backfill::pass(
        NOW,
        &mut slots(),
        &mut gang_only,
        &mut [team(100.0, 100.0)],
    );
    assert_eq!(starts.iter().map(|s| s.slot_index).collect::<Vec<_>>(), vec![0, 2]);
}

/// Returns six machines and eight jobs with random properties.
fn random_input(seed: u64) -> (Vec<Slot>, Vec<Work>) {
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

/// The pass gives the same starts in the same order as the plain one, and never exceeds a machine's
/// room, violates a team's limit or breaks a placement constraint.
#[test]
fn passes_match_the_plain_pass_and_respect_all_limits() {
    let (mut started, mut gang_starts) = (0, 0);
    for seed in 0..2000 {
        let (mut slots, mut jobs) = random_input(seed);
        let (slots_before, jobs_before) = (slots.clone(), jobs.clone());
        let mut teams = [team(8.0, 14.0), team(8.0, 18.0)];
        let (mut s, mut j, mut t) = (slots.clone(), jobs.clone(), teams.clone());
        let plain = plain::pass(NOW, &mut s, &mut j, &mut t);
        let starts = pass(NOW, &mut slots, &mut jobs, &mut teams);
        assert_eq!(starts, plain, "seed {seed}");
        assert_eq!(slots, s, "seed {seed}");
        // A pass with a limited number of starts makes the same first starts.
        let (mut s, mut j, mut t) =
            (slots_before.clone(), jobs_before.clone(), [team(8.0, 14.0), team(8.0, 18.0)]);
        let limited = pass_up_to(NOW, &mut s, &mut j, &mut t, 3);
        let count_now = |starts: &[Start]| starts.iter().filter(|s| s.at == NOW).count();
        assert_eq!(limited[..], plain[..limited.len()], "seed {seed}");
        // The number of starts may differ from the limit if there is a gang, whose tasks start together.
        let has_gang = plain.iter().any(|s| jobs_before[s.work_index].gang);
        assert!(has_gang || count_now(&limited) == count_now(&plain).min(3), "seed {seed}");
        let starts: Vec<Start> = starts.into_iter().filter(|s| s.at == NOW).collect();
        started += starts.len();
        let sum = |keep: &dyn Fn(&Start) -> bool| -> f64 {
            starts.iter().filter(|s| keep(s)).map(|s| jobs_before[s.work_index].demand.cpus).sum()
        };
        for (i, slot) in slots_before.iter().enumerate() {
            assert!(
                sum(&|s| s.slot_index == i) <= slot.free.cpus,
                "seed {seed}: a machine has too little room"
            );
        }
        for (t, cap) in [14.0, 18.0].into_iter().enumerate() {
            assert!(
                sum(&|s| jobs_before[s.work_index].team == t) <= cap,
                "seed {seed}: a team exceeds its limit"
            );
        }
        for (w, job) in jobs_before.iter().enumerate() {
            let here: Vec<&Start> = starts.iter().filter(|s| s.work_index == w).collect();
            assert!(here.len() as u32 <= job.pending);
            let all_or_none = here.is_empty() || here.len() as u32 == job.pending;
            assert!(!job.gang || all_or_none, "seed {seed}: a part of a gang starts");
            gang_starts += u32::from(job.gang && !here.is_empty());
            let in_zone =
                |z: usize| here.iter().filter(|s| slots_before[s.slot_index].zone == z).count() as u32;
            let zones: Vec<u32> = (0..3).map(in_zone).collect();
            assert!(
                !job.single_zone || zones.iter().filter(|n| **n > 0).count() <= 1,
                "seed {seed}: a job has several zones instead of one"
            );
            assert!(
                zones.iter().all(|n| *n <= job.max_per_zone),
                "seed {seed}: a zone has too many tasks of a job"
            );
            assert!(
                here.iter().all(|s| job.allowed_pools[slots_before[s.slot_index].pool]),
                "seed {seed}: a pool is not allowed"
            );
        }
    }
    assert!(started > 4000 && gang_starts > 500, "{started} starts, {gang_starts} gangs");
}

/// Of two machines with the image, the cheap one is filled first, so that the expensive one can be
/// returned. Since the cloud may take the cheap one away, a task without time for a restart goes to the
/// expensive one.
#[test]
fn tasks_that_can_restart_go_to_cheap_machines() {
    let start = |latest_restart| {
        let mut slots = vec![slot(4.0, &[(100, 4.0)]), slot(8.0, &[])];
        slots[1].price = 0.4;
        let mut one = [work(4.0, 1, 10)];
        one[0].latest_restart = latest_restart;
        pass(NOW, &mut slots, &mut one, &mut [team(100.0, 100.0)])[0].slot_index
    };
    assert_eq!(start(NOW), 1, "the cheap machine, although the other has less room left");
    assert_eq!(start(NOW - secs(1)), 0);
}

/// Of two jobs that have waited for minutes, the one that has not started any task gets the next machine,
/// although the other was accepted earlier.
#[test]
fn long_waiting_jobs_without_a_start_come_first() {
    let first = |has_started| {
        let mut slots = vec![slot(8.0, &[])];
        let mut both = [work(8.0, 9, 50), work(8.0, 1, 50)];
        both[0].accepted_at = NOW - secs(300);
        both[1].accepted_at = NOW - secs(200);
        both[0].has_started = has_started;
        pass(NOW, &mut slots, &mut both, &mut [team(100.0, 100.0)])[0].work_index
    };
    assert_eq!((first(false), first(true)), (0, 1));
}

/// Urgent work comes before standard work regardless of guarantees. Within a priority, work within its
/// team's guarantee comes first, and then the team that uses the smaller part of its guarantee.
#[test]
fn fair_share_queue_order() {
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
    let mut queue = FairShareQueue::new(&all, 2);
    let mut served = Vec::new();
    while let Some(i) = queue.next(&all, &teams) {
        queue.skip(&all, i);
        served.push(i);
    }
    assert_eq!(served, vec![3, 2, 1, 0]);
}

/// Three jobs need 4 CPUs each and the guarantee is 8 CPUs: the job that was accepted last is beyond it.
#[test]
fn guarantees_are_used_in_order_of_acceptance() {
    let need = |i| QuotaDemand { team: 0, accepted_at: NOW - secs(i), resources: cpus(4.0) };
    let needs: Vec<QuotaDemand> = (0..3).map(need).collect();
    assert_eq!(jobs_within_guarantee(&needs, &[team(8.0, 99.0)]), vec![false, true, true]);
}

/// The search of the paper (section 3.3) tries the minimum size and then halves the distance to the limit:
/// 4, ceil((4+32)/2) and so on. It exceeds the limit only on overload, and ends when a trial brings no
/// improvement.
#[test]
fn fleet_size_search_halves_the_distance_to_the_limit() {
    let search = |min_size, slowdown: &dyn Fn(u32) -> f64| {
        let mut search = FleetSizeSearch::new(min_size, 32, 48, 1.2);
        let mut trials = Vec::new();
        while search.size().is_none() {
            trials.push(search.trial());
            search.record_slowdown(slowdown(search.trial()));
        }
        (trials, search.size().unwrap())
    };
    assert_eq!(search(4, &|l| if l >= 25 { 1.2 } else { 9.0 - f64::from(l) / 10.0 }), (vec![4, 18, 25], 25));
    assert_eq!(search(4, &|l| 1.25 + 1.0 / f64::from(l * l)).1, 18, "no improvement");
    assert_eq!(search(4, &|l| 9.0 - f64::from(l) / 4.0), (vec![4, 18, 25, 29, 31, 32], 32));
    assert_eq!(search(4, &|_| 1.2).1, 4);
    assert_eq!(search(30, &|l| if l >= 40 { 1.2 } else { 90.0 / f64::from(l) }), (vec![30, 31, 32, 40], 40));
    assert_eq!(search(40, &|_| 1.4).1, 40, "the size is at least the number of busy machines");
}

/// Runs the replay with one pass per slice, and returns the slowdown.
fn slowdown(mut replay: Replay) -> f64 {
    loop {
        if let Some(slowdown) = replay.advance(1) {
            return slowdown;
        }
    }
}

/// A job has two tasks of 20 s on one machine. The second task waits 20 s, so that the mean delay of the
/// job is 10 s and its slowdown 1 + 10/20. For another job of 1 s, which waits 40 s, the minimum run
/// time of 10 s counts: its slowdown is 1 + 40/10.
#[test]
fn replayed_slowdown_matches_a_hand_calculation() {
    let replay = |jobs: Vec<Work>, arrivals: Vec<Arrival>| {
        slowdown(Replay::new(NOW, vec![slot(8.0, &[])], jobs, arrivals, vec![team(99.0, 99.0)], 0))
    };
    assert!((replay(vec![work(8.0, 2, 20)], vec![]) - 1.5).abs() < 1e-9);
    let mut last = work(8.0, 1, 1);
    last.latest_start = NOW + secs(1);
    let two = replay(vec![work(8.0, 2, 20), last], vec![]);
    assert!((two - (1.5 + 5.0) / 2.0).abs() < 1e-9, "{two}");
    // A job that arrives after 30 s finds the machine busy for another 10 s.
    let late = Arrival { arrives_at: NOW + secs(30), work: work(8.0, 1, 10) };
    let with = replay(vec![work(8.0, 2, 20)], vec![late]);
    assert!((with - (1.5 + 2.0) / 2.0).abs() < 1e-9, "{with}");
}

/// The replay respects team limits, and a task that ends frees its part of the limit.
#[test]
fn replay_frees_team_limits_when_tasks_end() {
    let slots = vec![slot(8.0, &[]), slot(8.0, &[])];
    let s = slowdown(Replay::new(NOW, slots, vec![work(8.0, 2, 20)], vec![], vec![team(99.0, 8.0)], 0));
    assert!((s - 1.5).abs() < 1e-9, "{s}");
}
