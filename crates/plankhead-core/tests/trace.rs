//! Digests of the decisions that the nodes make in fixed histories, compared with those in
//! `fixtures/trace-digests.txt`. A refactoring must leave the digests unchanged. A change that alters
//! decisions on purpose records new digests with `UPDATE_TRACE_DIGESTS=1`, and its commit says what
//! differs and why.

#![allow(clippy::unwrap_used)]

#[allow(dead_code)]
mod before;
#[allow(dead_code)]
mod world;

use std::fmt::Write;
use world::cuts::{CutMode, STATE_LINKS, WORKER_LINKS};
use world::deployment::FLEET;
use world::{ms, secs, Deployment, Fault, Faults, SimEvent, Trigger, World, SMALL};

const DIGESTS: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/trace-digests.txt");
const SEEDS: std::ops::Range<u64> = 100..108;

const FENCED: Deployment = Deployment { fencing: true, max_machines: 6, cloud_requests_per_s: 10.0, ..SMALL };
const SHARDED: Deployment =
    Deployment { fencing: true, sharding: true, rotate_shards: Some(ms(2500)), ..SMALL };
const REACHABILITY: Deployment = Deployment { fencing: true, reachability: true, ..SMALL };
const SHARDED_FLEET: Deployment = Deployment { fencing: true, sharding: true, ..FLEET };

/// Returns faults of machines, nodes and links.
fn failures() -> Faults {
    Faults { preemption_notices: 3, ..Faults::mixed() }
}

/// Returns faults in the timing of user requests and messages.
fn timing_faults() -> Faults {
    Faults {
        node_crashes: 4,
        dropped_heartbeats: 1,
        duplicate_heartbeats: 0.05,
        duplicates_for_next_leader: 0.05,
        delayed_commands: 0.05,
        cancel_at_end: 0.1,
        immediate_polls: true,
        invalid_requests: 12,
        cancel_bursts: 2,
        quick_boots: true,
        slow_kv: true,
        ..Faults::default()
    }
}

/// Runs a history and returns the digest of its decisions. `setup` adds its scripted events.
fn digest(
    deployment: Deployment,
    jobs: usize,
    seed: u64,
    faults: Faults,
    setup: impl Fn(&mut World),
) -> String {
    let mut world = World::with_deployment(deployment, seed, faults);
    world.trace.enable();
    world.plan(jobs, secs(90));
    setup(&mut world);
    world.run(secs(400));
    assert!(world.starts > 0, "nothing_ran");
    world.trace.finish()
}

fn cut_leader_links(world: &mut World) {
    for (n, links) in [&STATE_LINKS[..], &WORKER_LINKS].into_iter().enumerate() {
        let at = secs(15 + 30 * n as u64);
        world.schedule_at(at, SimEvent::FaultLeader(Fault::CutLinks(links, CutMode::Stall, secs(15))));
    }
}

fn pause_leaders(world: &mut World) {
    for nth in 1..5 {
        let pause = SimEvent::FaultLeader(Fault::Pause(secs(4)));
        world.on_trigger(Trigger::IntentWritten, 3 * nth, vec![(ms(1), pause)]);
    }
}

/// Returns a line for each history, with its name, seed and digest.
fn digests() -> String {
    let mut lines = String::new();
    let mut add = |name: &str, seed: u64, digest: String| writeln!(lines, "{name} {seed} {digest}").unwrap();
    let upgrade = Faults { upgrade: true, node_crashes: 2, lost_replies: 0.01, ..Faults::default() };
    for seed in SEEDS {
        add("quiet", seed, digest(SMALL, 24, seed, Faults::default(), |_| {}));
        add("failures", seed, digest(SMALL, 24, seed, failures(), |_| {}));
        add("odd times", seed, digest(SMALL, 24, seed, timing_faults(), |_| {}));
        add("upgrade", seed, digest(SMALL, 24, seed, upgrade, |_| {}));
        add("fenced", seed, digest(FENCED, 24, seed, failures(), pause_leaders));
        add("sharded", seed, digest(SHARDED, 24, seed, failures(), |_| {}));
        add("reaching", seed, digest(REACHABILITY, 24, seed, failures(), cut_leader_links));
    }
    let fleet = Faults {
        node_crashes: 2,
        machine_cuts: 1,
        machine_hangs: 1,
        machine_deaths: 1,
        lost_replies: 0.01,
        ..Faults::default()
    };
    add("fleet", 1, digest(FLEET, 60, 1, fleet, |_| {}));
    add("sharded fleet", 1, digest(SHARDED_FLEET, 60, 1, fleet, |_| {}));
    lines
}

#[test]
fn decisions_match_the_recorded_digests() {
    let current = digests();
    if std::env::var_os("UPDATE_TRACE_DIGESTS").is_some() {
        std::fs::write(DIGESTS, &current).unwrap();
    }
    let recorded = std::fs::read_to_string(DIGESTS).unwrap();
    for (recorded, current) in recorded.lines().zip(current.lines()) {
        assert_eq!(recorded, current);
    }
    assert_eq!(recorded.lines().count(), current.lines().count());
}

/// The maximum number of rows per key prefix that are recorded at one time of a history.
const MAX_ROWS_PER_PREFIX: usize = 4;

/// Records the keys of some histories as fixtures for `tests/stored.rs`. It is run with the version whose
/// stored values later versions must read.
#[test]
#[ignore = "records the fixtures of stored values"]
fn record_stored_values() {
    let mut lines = String::new();
    let upgrade = Faults { upgrade: true, ..Faults::default() };
    let all_features =
        Deployment { sharding: true, rotate_shards: Some(ms(2500)), reachability: true, ..FENCED };
    for (name, deployment, faults) in [("upgrade", SMALL, upgrade), ("all", all_features, Faults::default())]
    {
        let mut world = World::with_deployment(deployment, 7, faults);
        world.plan(24, secs(90));
        for job in &mut world.jobs {
            job.runtime_s = 30.0;
        }
        for second in (10..90).step_by(10) {
            world.run_for(secs(10));
            for prefix in ["job/", "over/", "run/", "lead", "target", "node/", "duty/", "shard/", "machines/"]
            {
                let mut rows = world.stored_rows(prefix);
                // Chunks are decoded with the records of their jobs, so all rows of both are kept.
                if !matches!(prefix, "job/" | "run/") {
                    rows.truncate(MAX_ROWS_PER_PREFIX);
                }
                for (key, value, revision) in rows {
                    let history = format!("{name} after {second} s");
                    let row = serde_json::json!({"history": history, "key": key, "value": value, "revision": revision});
                    writeln!(lines, "{row}").unwrap();
                }
            }
        }
    }
    std::fs::write(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/stored.jsonl"), lines).unwrap();
}
