//! What may be done in one go on a small share of a core, and that portions change
//! nothing of what a replay finds.

use plankhead_core::jobs::job::{Priority, Resources};
use plankhead_core::placement::backfill::Slot;
use plankhead_core::placement::fair_share::{TeamUsage, Work};
use plankhead_core::sizing::cpu_budget::CpuBudget;
use plankhead_core::sizing::replay::Replay;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(1_000);

/// Less of a core never allows more, every share allows something, and what a whole core
/// may do in one go is bounded.
#[test]
fn smaller_shares_do_less_in_one_go() {
    let shares = [0.001, 0.01, 0.019, 0.029, 0.1, 0.33, 1.0, 8.0];
    for pair in shares.windows(2) {
        let (less, more) = (CpuBudget::new(pair[0]), CpuBudget::new(pair[1]));
        assert!(less.max_starts_per_pass() >= 1 && less.max_starts_per_pass() <= more.max_starts_per_pass());
        for machines in [1, 20, 185, 355, 2_000] {
            let (few, many) = (less.passes_per_slice(machines), more.passes_per_slice(machines));
            assert!(few >= 1 && few <= many, "{machines} machines on {}", pair[0]);
            assert!(many * machines <= 14_000 || many == 1);
        }
    }
    assert!(CpuBudget::new(8.0).max_starts_per_pass() <= 1_000);
    assert!(CpuBudget::new(0.019).max_starts_per_pass() <= 100, "starts hold up the answers to reports");
}

/// A process that is behind replays less of the time, but goes on.
#[test]
fn replays_give_way_when_the_process_is_behind() {
    for share in [0.019, 0.33] {
        let portions = CpuBudget::new(share);
        let (usual, behind) = (portions.slice_interval(355, false), portions.slice_interval(355, true));
        assert!(usual < behind && behind <= usual * 4, "{usual:?} {behind:?}");
    }
}

/// The leader's key outlives a pause of one and a half seconds where reports may cause
/// one, and no longer than needed elsewhere.
#[test]
fn the_leaders_lease_follows_the_share() {
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

/// A replay finds the same however small its portions are.
#[test]
fn portions_change_nothing_of_a_replay() {
    let most = Resources { cpus: 60.0, gpus: 0.0, ram_gb: 1e9 };
    let team = TeamUsage { guaranteed: most, limit: most, used: Resources::default() };
    let slowdown = |passes: usize| {
        let slots = (0..12).map(slot).collect();
        let mut replay =
            Replay::new(NOW, slots, (1..60).map(work).collect(), Vec::new(), vec![team.clone()], 3);
        loop {
            if let Some(found) = replay.advance(passes) {
                return found;
            }
        }
    };
    let whole = slowdown(usize::MAX);
    assert!(whole > 1.5, "{whole}");
    for passes in [1, 2, 7, 40] {
        assert_eq!(slowdown(passes), whole, "{passes} passes at a time");
    }
}
