//! Leaders that are paused and resume after another leader was elected. The model counts from its own
//! knowledge what the cloud then did on their behalf.
//!
//! An effect is stale if its actor no longer holds the lease of the term in which it decided on the call,
//! and no open intent in the state service covers the effect's subject.

#![allow(clippy::unwrap_used)]

#[allow(dead_code)]
mod before;
#[allow(dead_code)]
mod world;

use world::deployment::FLEET;
use world::Fault::*;
use world::{ms, secs, Clock, CloudEffects, Deployment, Faults, SimEvent, Trigger, World, SMALL, TRUE_CLOCK};

/// A few machines that are rented and returned often, by leaders that record intents.
const FENCED: Deployment = Deployment { fencing: true, max_machines: 6, cloud_requests_per_s: 10.0, ..SMALL };
const UNFENCED: Deployment = Deployment { fencing: false, ..FENCED };
/// A pause longer than the leader's lease and than the timeout of a watch on it.
const PAUSE_MS: u64 = 4_000;

/// Plays a history until every job has ended.
fn play(name: &str, deployment: Deployment, faults: Faults, seed: u64, setup: impl Fn(&mut World)) -> World {
    let mut world = World::with_deployment(deployment, seed, faults);
    world.plan(24, secs(90));
    setup(&mut world);
    world.run_to_end(name, seed, secs(90));
    world
}

fn add(total: &mut CloudEffects, one: CloudEffects) {
    total.all += one.all;
    total.by_former_leaders += one.by_former_leaders;
    total.stale += one.stale;
    total.compelled += one.compelled;
    total.compelled_stale += one.compelled_stale;
}

/// Schedules pauses at many times and at chosen moments of cloud actions. The latter are longer than the
/// lease.
fn schedule_pauses(world: &mut World, seed: u64) {
    for n in 0..10u64 {
        let at = ms(4_000 + 8_300 * n + 97 * (seed * 7 + n) % 4_000);
        let node = ((seed + n) % 3) as usize;
        world.schedule_at(at, SimEvent::PauseProcess { node, duration: ms(500 + 1_100 * ((seed + n) % 7)) });
    }
    let pause = ms(PAUSE_MS + 800 * (seed % 5));
    for n in 0..5u32 {
        let nth = 1 + (seed as u32 + 2 * n) % 9;
        world.on_trigger(
            Trigger::IntentSent,
            nth,
            vec![(ms(u64::from(n)), SimEvent::FaultLeader(Pause(pause)))],
        );
        world.on_trigger(
            Trigger::IntentWritten,
            nth,
            vec![(ms(u64::from(n)), SimEvent::FaultLeader(Pause(pause)))],
        );
        world.on_trigger(
            Trigger::CloudActionSent,
            nth,
            vec![(ms(0), SimEvent::FaultLeader(PauseBeforeSending(pause)))],
        );
    }
}

/// Returns faults by which replies are lost, and requests to the state service and the cloud are carried out
/// up to 20 s late.
fn late_requests() -> Faults {
    Faults { lost_replies: 0.05, late_requests: 0.3, ..Faults::default() }
}

/// None of a thousand pauses leads to a stale effect.
#[test]
fn no_stale_effects_after_a_thousand_pauses() {
    let (mut pauses, mut effects) = (0, CloudEffects::default());
    for seed in 0..60 {
        let world = play("pauses", FENCED, late_requests(), seed, |world| schedule_pauses(world, seed));
        assert_eq!(world.cloud_effects.stale, 0, "seed {seed}: {:?}", world.cloud_effects);
        pauses += world.pauses;
        add(&mut effects, world.cloud_effects);
    }
    assert!(pauses >= 1_000, "{pauses} pauses");
    assert!(effects.by_former_leaders > 20, "{effects:?}");
    assert_eq!(
        effects.compelled, 0,
        "no return was to be forced, since the state service never failed: {effects:?}"
    );
}

/// Without fencing, the same histories have stale effects, which shows that the check detects them.
#[test]
fn there_are_stale_effects_without_fencing() {
    let mut effects = CloudEffects::default();
    for seed in 0..20 {
        add(
            &mut effects,
            play("unfenced", UNFENCED, late_requests(), seed, |world| schedule_pauses(world, seed))
                .cloud_effects,
        );
    }
    assert!(effects.stale > 20, "{effects:?}");
}

/// A leader is paused for longer than its lease at each step of a cloud action: before the intent is sent,
/// while it is in flight, before the leader learns that it is stored, and between that and the call.
#[test]
fn leader_paused_at_each_step_of_a_cloud_action() {
    let fault_leader = |fault| move |after| (after, SimEvent::FaultLeader(fault));
    let pause = ms(PAUSE_MS);
    for (trigger, after, fault) in [
        (Trigger::IntentSent, ms(0), PauseBeforeSending(pause)),
        (Trigger::IntentSent, ms(1), Pause(pause)),
        (Trigger::IntentWritten, ms(0), Pause(pause)),
        (Trigger::IntentWritten, ms(3), Pause(pause)),
        (Trigger::CloudActionSent, ms(0), PauseBeforeSending(pause)),
        (Trigger::CloudActionSent, ms(1), Pause(pause)),
        (Trigger::CloudActionSent, ms(90), Pause(pause)),
    ] {
        let (mut by_former_leaders, mut pauses) = (0, 0);
        for seed in 0..8 {
            let world = play("steps", FENCED, Faults::default(), seed, |world| {
                for nth in 1..=5 {
                    world.on_trigger(trigger, nth, vec![fault_leader(fault)(after)]);
                }
            });
            assert_eq!(world.cloud_effects.stale, 0, "{trigger:?}, seed {seed}: {:?}", world.cloud_effects);
            by_former_leaders += world.cloud_effects.by_former_leaders;
            pauses += world.pauses;
        }
        assert!(pauses >= 24, "{trigger:?}: {pauses} pauses");
        // Only a call that the pause holds back is carried out after the lease was lost. Calls in flight
        // at the start of a pause are carried out while the leader still holds the lease.
        let held_back = matches!((trigger, fault), (Trigger::CloudActionSent, PauseBeforeSending(_)));
        assert!(!held_back || by_former_leaders > 0, "no held-back call was carried out");
    }
}

/// Replies are lost, and writes of intents are carried out late, after another leader was elected.
#[test]
fn intents_written_late() {
    let faults = Faults { lost_replies: 0.2, late_requests: 0.7, ..Faults::default() };
    for seed in 0..15 {
        let world = play("late", FENCED, faults, seed, |world| {
            for nth in 1..=6 {
                world.on_trigger(
                    Trigger::IntentSent,
                    nth,
                    vec![(ms(0), SimEvent::FaultLeader(Pause(ms(PAUSE_MS))))],
                );
            }
        });
        assert_eq!(world.cloud_effects.stale, 0, "seed {seed}: {:?}", world.cloud_effects);
    }
}

/// The same process loses the lease and acquires it again, because the other nodes are paused.
#[test]
fn the_same_process_acquires_the_lease_again() {
    for seed in 0..10 {
        let world = play("same process", FENCED, Faults::default(), seed, |world| {
            for node in [1, 2] {
                world.schedule_at(ms(300), SimEvent::PauseProcess { node, duration: secs(100) });
            }
            for nth in 1..=4 {
                let fault = if nth % 2 == 0 { Pause(ms(PAUSE_MS)) } else { PauseBeforeSending(ms(PAUSE_MS)) };
                world.on_trigger(Trigger::CloudActionSent, nth, vec![(ms(0), SimEvent::FaultLeader(fault))]);
            }
        });
        assert_eq!(world.cloud_effects.stale, 0, "seed {seed}: {:?}", world.cloud_effects);
        assert!(world.cloud_effects.by_former_leaders > 0, "seed {seed}: {:?}", world.cloud_effects);
    }
}

/// Three leaders in a row are each paused just after an intent was written, so that the third one finds the
/// intents of the first two.
#[test]
fn intents_of_several_former_leaders_are_inherited() {
    let mut inherited = 0;
    for seed in 0..10 {
        let world = play("three", FENCED, Faults::default(), seed, |world| {
            for nth in 1..=3 {
                world.on_trigger(
                    Trigger::IntentWritten,
                    nth,
                    vec![(ms(0), SimEvent::FaultLeader(Pause(secs(25))))],
                );
            }
        });
        assert_eq!(world.cloud_effects.stale, 0, "seed {seed}: {:?}", world.cloud_effects);
        inherited += world.inherited_intents;
    }
    assert!(inherited >= 20, "{inherited} intents were inherited");
}

/// The state service refuses only the leader, which is also paused, while users cancel jobs on machines that
/// hang. The leader then forces returns without a stored intent. None of them may be stale.
#[test]
fn the_state_service_refuses_only_the_leader() {
    for seed in 0..12 {
        let world = play("refused", FENCED, Faults::default(), seed, |world| {
            for n in 0..4 {
                let at = secs(12 + 18 * n) + ms(211 * seed);
                world.schedule_at(at, SimEvent::FaultLeader(RefuseKv(secs(12))));
                world.schedule_at(at + ms(700), SimEvent::CancelRunningJobs { count: 6, hang: secs(30) });
                world.schedule_at(at + ms(1_300), SimEvent::FaultLeader(Pause(ms(PAUSE_MS))));
            }
        });
        assert_eq!(world.cloud_effects.stale, 0, "seed {seed}: {:?}", world.cloud_effects);
        assert_eq!(world.cloud_effects.compelled_stale, 0, "seed {seed}: {:?}", world.cloud_effects);
    }
}

/// A cancelled task on a hanging machine must end in time during an outage of the state service, too: the
/// machine is returned without a stored intent. No other node can become leader meanwhile.
#[test]
fn an_outage_forces_returns_without_intents() {
    let mut compelled = 0;
    for seed in 0..8 {
        let world = play("outage", FENCED, Faults::default(), seed, |world| {
            for job in world.jobs.iter_mut() {
                (job.runtime_s, job.spec.estimated_runtime_s) = (70.0, 70.0);
                job.spec.tasks = job.spec.tasks.min(4);
            }
            let at = secs(30) + ms(137 * seed);
            world.schedule_at(at, SimEvent::CancelRunningJobs { count: 12, hang: secs(70) });
            let until = world.now + at + SMALL.cancel_within + secs(18);
            world.schedule_at(at + ms(1_400), SimEvent::Outage { until });
        });
        assert_eq!(world.cloud_effects.stale, 0, "seed {seed}: {:?}", world.cloud_effects);
        assert_eq!(world.cloud_effects.compelled_stale, 0, "seed {seed}: {:?}", world.cloud_effects);
        compelled += world.cloud_effects.compelled;
    }
    assert!(compelled > 0, "no return was forced");
}

/// The rates of the nodes' clocks differ by the protocol's bound and by far more, and wall clocks jump by an
/// hour. No decision about intents depends on them.
#[test]
fn clocks_differ() {
    let hour = secs(3600);
    for (rates, jumps) in [([1.0005, 0.9995, 1.0], ms(100)), ([1.25, 0.8, 1.0], hour)] {
        for seed in 0..10 {
            let world = play("clocks", FENCED, late_requests(), seed, |world| {
                world.drop_cancellations();
                for (clock, rate) in world.clocks.iter_mut().zip(rates) {
                    *clock = Clock { rate, jumps };
                }
                schedule_pauses(world, seed);
            });
            assert_eq!(
                world.cloud_effects.stale, 0,
                "rates {rates:?}, seed {seed}: {:?}",
                world.cloud_effects
            );
        }
    }
    assert_eq!(TRUE_CLOCK.rate, 1.0);
}

/// Fencing is enabled node by node, disabled and enabled again under load. An unfenced leader does not read
/// intents, so that open ones wait for the next fenced leader.
#[test]
fn fencing_enabled_disabled_and_enabled_again() {
    for seed in 0..10 {
        let mut world = play("rollback", UNFENCED, late_requests(), seed, |world| {
            for (round, fenced) in [(0, true), (1, false), (2, true)] {
                for node in 0..3 {
                    let at = secs(10 + 28 * round + 6 * node as u64) + ms(97 * seed);
                    world.schedule_at(at, SimEvent::RestartWithFencing { node, fenced });
                }
            }
            world.on_trigger(
                Trigger::IntentWritten,
                2,
                vec![(ms(0), SimEvent::FaultLeader(Pause(secs(20))))],
            );
        });
        assert!(world.fencing.iter().all(|fenced| *fenced));
        // Requests may be carried out up to 20 s late. Until then, the latest intents are rightly open.
        world.run_for(secs(30));
        assert!(world.open_intents() <= 2, "seed {seed}: {} intents are still open", world.open_intents());
    }
}

/// Stored pages of intents that can't be decoded or have another format are neither acted upon nor deleted,
/// and they do not disturb the nodes.
#[test]
fn unreadable_intents_are_left_unchanged() {
    let unknown_format = r#"{"format":9,"duties":[{"key":"1.1","intended_ms":1,"digest":"00","kind":"return","hosts":["i-000001"]}]}"#;
    let wrong_digest = r#"{"format":1,"duties":[{"key":"1.1","intended_ms":1,"digest":"00","kind":"return","hosts":["i-000001"]}]}"#;
    let incomplete = format!(
        r#"{{"format":1,"duties":[{{"key":"1.2","kind":"rent","count":99{}}}]}}"#,
        ",\"x\":0".repeat(50)
    );
    let unreadable = [
        ("duty/0/0", "[]"),
        ("duty/0/1", unknown_format),
        ("duty/0/2", wrong_digest),
        ("duty/0/3", incomplete.as_str()),
        ("duty/none/at-all", "{}"),
        ("duty/99999999999/0", wrong_digest),
    ];
    for seed in 0..4 {
        let world = play("unreadable", FENCED, late_requests(), seed, |world| {
            unreadable.iter().for_each(|(key, value)| world.write_key(key, value));
            world.schedule_at(secs(20), SimEvent::FaultLeader(Restart(secs(5))));
        });
        assert_eq!(world.cloud_effects.stale, 0, "seed {seed}: {:?}", world.cloud_effects);
        for (key, _) in &unreadable {
            assert_eq!(world.count_keys(key), 1, "{key} was deleted");
        }
    }
}

/// The rentals and returns of a large fleet stay within the limits of values and transactions that the model
/// enforces (1 KiB, 4 changes), while leaders crash and are paused.
#[test]
fn a_large_fleet_stays_within_the_limits() {
    let deployment = Deployment { fencing: true, ..FLEET };
    for seed in 0..2 {
        let mut world = World::with_deployment(
            deployment,
            seed,
            Faults { node_crashes: 2, machine_deaths: 1, ..Faults::default() },
        );
        world.plan(60, secs(120));
        for at in [20, 50, 80] {
            world.schedule_at(secs(at), SimEvent::FaultLeader(Pause(ms(PAUSE_MS))));
        }
        world.run(secs(900));
        assert!(world.all_jobs_ended(), "seed {seed}");
        // Sizing rounds return the machines, in some histories only after the last job.
        world.run_for(secs(60));
        assert_eq!(world.cloud_effects.stale, 0, "seed {seed}: {:?}", world.cloud_effects);
        assert!(world.cloud_effects.all > 100, "seed {seed}: {:?}", world.cloud_effects);
    }
}
