//! Tests of the CPU budget: how the limits on one step follow from the share of a core, and that
//! slicing a replay does not change its result.

use plankhead_core::jobs::job::{Priority, Resources};
use plankhead_core::placement::backfill::Slot;
use plankhead_core::placement::fair_share::{TeamUsage, Work};
use plankhead_core::sizing::cpu_budget::CpuBudget;
use plankhead_core::sizing::replay::Replay;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(1_000);

/// A smaller share of a core never allows more work in one step, every share allows some, and even a
/// whole core has an upper limit.
#[test]
fn smaller_shares_allow_less_work_per_step() {
    let shares = [0.001, 0.01, 0.019, 0.029, 0.1, 0.33, 1.0, 8.0];
    for pair in shares.windows(2) {
        let (smaller, larger) = (CpuBudget::new(pair[0]), CpuBudget::new(pair[1]));
        assert!(
            smaller.max_starts_per_pass() >= 1
                && smaller.max_starts_per_pass() <= larger.max_starts_per_pass()
        );
        for machines in [1, 20, 185, 355, 2_000] {
            let (few, many) = (smaller.passes_per_slice(machines), larger.passes_per_slice(machines));
            assert!(few >= 1 && few <= many, "{machines} machines on a share of {}", pair[0]);
            assert!(many * machines <= 14_000 || many == 1);
        }
    }
    assert!(CpuBudget::new(8.0).max_starts_per_pass() <= 1_000);
    assert!(CpuBudget::new(0.019).max_starts_per_pass() <= 100, "starts delay the responses to heartbeats");
}

/// A process that is behind spends a smaller part of its time on replays, but does not stop them.
#[test]
fn replays_slow_down_when_the_process_is_behind() {
    for share in [0.019, 0.33] {
        let budget = CpuBudget::new(share);
        let (usual, behind) = (budget.slice_interval(355, false), budget.slice_interval(355, true));
        assert!(usual < behind && behind <= usual * 4, "{usual:?} {behind:?}");
    }
}

/// On a small share of a core, heartbeats may delay the renewal of the leader's lease by one and a half
/// seconds, so the lease is longer there. On larger shares it is no longer than needed.
#[test]
fn leader_lease_depends_on_the_cpu_share() {
    assert!(CpuBudget::new(0.019).leader_lease() > Duration::from_millis(1500));
    assert_eq!(CpuBudget::new(0.33).leader_lease(), Duration::from_millis(1500));
}

fn work(number: u64) -> Work {
    let cpus = (number % 4 + 1) as f64;
    Work {
        team: 0,
        priority: [Priority::Urgent, Priority::Standard, Priority::Standard][(number % 3) as usize],
        guaranteed: number & 1 == 0,
        accepted_at: NOW - Duration::from_secs(number),
        latest_start: NOW + Duration::from_secs(number * 7 % 50),
        latest_restart: NOW,
        allowed_pools: vec![true],
        max_per_zone: u32::MAX,
        single_zone: false,
        gang: false,
        demand: Resources { cpus, gpus: 0.0, ram_gb: cpus },
        image: (number % 5) as u32,
        image_gb: 1.0,
        estimated_runtime: Duration::from_secs(5 + number % 20),
        pending: (number % 9 + 1) as u32,
        has_started: false,
        attempts_by_zone: Vec::new(),
    }
}

fn slot(number: usize) -> Slot {
    Slot {
        pool: 0,
        zone: 0,
        price: 1.0,
        free: Resources { cpus: 6.0, gpus: 0.0, ram_gb: 6.0 },
        ready_at: NOW,
        running: Vec::new(),
        images: vec![number as u32 % 5],
        fetches_in_progress: 0,
        image_fetch_gb_per_s: 0.5,
    }
}

/// A replay gives the same slowdown for any number of passes per slice.
#[test]
fn slicing_does_not_change_the_result_of_a_replay() {
    let limit = Resources { cpus: 60.0, gpus: 0.0, ram_gb: 1e9 };
    let team = TeamUsage { guaranteed: limit, limit, used: Resources::default() };
    let slowdown = |passes: usize| {
        let slots = (0..12).map(slot).collect();
        let mut replay =
            Replay::new(NOW, slots, (1..60).map(work).collect(), Vec::new(), vec![team.clone()], 3);
        loop {
            if let Some(slowdown) = replay.advance(passes) {
                return slowdown;
            }
        }
    };
    let unsliced = slowdown(usize::MAX);
    assert!(unsliced > 1.5, "{unsliced}");
    for passes in [1, 2, 7, 40] {
        assert_eq!(slowdown(passes), unsliced, "{passes} passes per slice");
    }
}
