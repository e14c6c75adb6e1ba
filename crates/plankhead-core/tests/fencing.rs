//! Leaders that are paused and wake after others have taken over: what the cloud then did
//! for them, counted by the model from what it knows itself.
//!
//! An effect is stale if the lease is not its actor's any more, in the very term in which
//! the actor decided, and no open record in the state service names its subject.

#![allow(clippy::unwrap_used)]

#[allow(dead_code)]
mod before;
#[allow(dead_code)]
mod world;

use world::deployment::FLEET;
use world::Fault::*;
use world::{ms, secs, Clock, CloudEffects, Deployment, Faults, SimEvent, Trigger, World, SMALL, TRUE_CLOCK};

/// A few machines that come and go, under leaders that record what they ask for.
const FENCED: Deployment = Deployment { fencing: true, max_machines: 6, cloud_requests_per_s: 10.0, ..SMALL };
const UNFENCED: Deployment = Deployment { fencing: false, ..FENCED };
/// Longer than the leader's lease, and than a watch on it.
const PAUSE: u64 = 4_000;

/// Plays a history until every job has come to its end.
fn play(name: &str, deployment: Deployment, faults: Faults, seed: u64, set: impl Fn(&mut World)) -> World {
    let mut world = World::with_deployment(deployment, seed, faults);
    world.plan(24, secs(90));
    set(&mut world);
    world.run_to_end(name, seed, secs(90));
    world
}

fn sum(all: &mut CloudEffects, one: CloudEffects) {
    all.all += one.all;
    all.by_former_leaders += one.by_former_leaders;
    all.stale += one.stale;
    all.compelled += one.compelled;
    all.compelled_stale += one.compelled_stale;
}

/// Pauses at random instants and at chosen ones, each longer than the lease.
fn freezes(world: &mut World, seed: u64) {
    for n in 0..10u64 {
        let at = ms(4_000 + 8_300 * n + 97 * (seed * 7 + n) % 4_000);
        let node = ((seed + n) % 3) as usize;
        world.schedule_at(at, SimEvent::PauseProcess { node, duration: ms(500 + 1_100 * ((seed + n) % 7)) });
    }
    let pause = ms(PAUSE + 800 * (seed % 5));
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

/// The cloud is slow, too: calls are carried out up to 20 s late.
fn slow() -> Faults {
    Faults { lost_replies: 0.05, late_requests: 0.3, ..Faults::default() }
}

/// A thousand pauses, and not one stale effect.
#[test]
fn a_thousand_pauses() {
    let (mut pauses, mut effects) = (0, CloudEffects::default());
    for seed in 0..60 {
        let world = play("pauses", FENCED, slow(), seed, |world| freezes(world, seed));
        assert_eq!(world.cloud_effects.stale, 0, "seed {seed}: {:?}", world.cloud_effects);
        pauses += world.pauses;
        sum(&mut effects, world.cloud_effects);
    }
    assert!(pauses >= 1_000, "{pauses} pauses");
    assert!(effects.by_former_leaders > 20, "{effects:?}");
    assert_eq!(effects.compelled, 0, "the state service never failed a leader: {effects:?}");
}

/// The same with the gate open: the check finds stale effects.
#[test]
fn without_the_gate_there_are_stale_effects() {
    let mut effects = CloudEffects::default();
    for seed in 0..20 {
        sum(&mut effects, play("open", UNFENCED, slow(), seed, |world| freezes(world, seed)).cloud_effects);
    }
    assert!(effects.stale > 20, "{effects:?}");
}

/// A holder is paused past its lease around one duty: before its record is sent, while the
/// record is under way, before it hears that it is durable, and between that and the call.
#[test]
fn paused_at_each_step_of_a_duty() {
    let freeze = |blow| move |after| (after, SimEvent::FaultLeader(blow));
    let pause = ms(PAUSE);
    for (moment, after, blow) in [
        (Trigger::IntentSent, ms(0), PauseBeforeSending(pause)),
        (Trigger::IntentSent, ms(1), Pause(pause)),
        (Trigger::IntentWritten, ms(0), Pause(pause)),
        (Trigger::IntentWritten, ms(3), Pause(pause)),
        (Trigger::CloudActionSent, ms(0), PauseBeforeSending(pause)),
        (Trigger::CloudActionSent, ms(1), Pause(pause)),
        (Trigger::CloudActionSent, ms(90), Pause(pause)),
    ] {
        let (mut of_former, mut pauses) = (0, 0);
        for seed in 0..8 {
            let world = play("steps", FENCED, Faults::default(), seed, |world| {
                for nth in 1..=5 {
                    world.on_trigger(moment, nth, vec![freeze(blow)(after)]);
                }
            });
            assert_eq!(world.cloud_effects.stale, 0, "{moment:?}, seed {seed}: {:?}", world.cloud_effects);
            of_former += world.cloud_effects.by_former_leaders;
            pauses += world.pauses;
        }
        assert!(pauses >= 24, "{moment:?}: {pauses} pauses");
        // A call that is under way when its holder is paused is carried out under it.
        let held_back = matches!((moment, blow), (Trigger::CloudActionSent, PauseBeforeSending(_)));
        assert!(!held_back || of_former > 0, "nothing came of calls held back");
    }
}

/// Answers are lost, and writes of records are carried out late, after the takeover.
#[test]
fn records_written_late() {
    let faults = Faults { lost_replies: 0.2, late_requests: 0.7, ..Faults::default() };
    for seed in 0..15 {
        let world = play("late", FENCED, faults, seed, |world| {
            for nth in 1..=6 {
                world.on_trigger(
                    Trigger::IntentSent,
                    nth,
                    vec![(ms(0), SimEvent::FaultLeader(Pause(ms(PAUSE))))],
                );
            }
        });
        assert_eq!(world.cloud_effects.stale, 0, "seed {seed}: {:?}", world.cloud_effects);
    }
}

/// The same process loses the lease and wins it back, since the others are away.
#[test]
fn the_lease_is_won_back_by_the_same_process() {
    for seed in 0..10 {
        let world = play("back", FENCED, Faults::default(), seed, |world| {
            for node in [1, 2] {
                world.schedule_at(ms(300), SimEvent::PauseProcess { node, duration: secs(100) });
            }
            for nth in 1..=4 {
                let blow = if nth % 2 == 0 { Pause(ms(PAUSE)) } else { PauseBeforeSending(ms(PAUSE)) };
                world.on_trigger(Trigger::CloudActionSent, nth, vec![(ms(0), SimEvent::FaultLeader(blow))]);
            }
        });
        assert_eq!(world.cloud_effects.stale, 0, "seed {seed}: {:?}", world.cloud_effects);
        assert!(world.cloud_effects.by_former_leaders > 0, "seed {seed}: {:?}", world.cloud_effects);
    }
}

/// Three leaders in a row, each paused with a record just written: the third finds the
/// records of both.
#[test]
fn three_leaders_leave_their_intentions() {
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
    assert!(inherited >= 20, "{inherited} records were inherited");
}

/// The state service refuses the holder alone, who is paused on top of it, while users
/// call jobs off whose machines hang. What it has returned without a record was forced,
/// and the state service had failed it.
#[test]
fn the_state_service_refuses_the_holder_alone() {
    for seed in 0..12 {
        let world = play("refused", FENCED, Faults::default(), seed, |world| {
            for n in 0..4 {
                let at = secs(12 + 18 * n) + ms(211 * seed);
                world.schedule_at(at, SimEvent::FaultLeader(RefuseKv(secs(12))));
                world.schedule_at(at + ms(700), SimEvent::CancelRunningJobs { count: 6, hang: secs(30) });
                world.schedule_at(at + ms(1_300), SimEvent::FaultLeader(Pause(ms(PAUSE))));
            }
        });
        assert_eq!(world.cloud_effects.stale, 0, "seed {seed}: {:?}", world.cloud_effects);
        assert_eq!(world.cloud_effects.compelled_stale, 0, "seed {seed}: {:?}", world.cloud_effects);
    }
}

/// In an outage a cancelled task on a machine that hangs must go all the same: its return
/// goes without a record, and nobody else leads meanwhile.
#[test]
fn an_outage_compels_returns_without_records() {
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

/// Clocks that run apart by the protocol's bound and far beyond it, and times of day that
/// jump by an hour: no decision about duties depends on them.
#[test]
fn clocks_disagree() {
    let hour = secs(3600);
    for (rates, jumps) in [([1.0005, 0.9995, 1.0], ms(100)), ([1.25, 0.8, 1.0], hour)] {
        for seed in 0..10 {
            let world = play("clocks", FENCED, slow(), seed, |world| {
                world.drop_cancellations();
                for (clock, rate) in world.clocks.iter_mut().zip(rates) {
                    *clock = Clock { rate, jumps };
                }
                freezes(world, seed);
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

/// Fencing is switched on node by node, off again and on again, under load: records that
/// an unfenced leader never looks at wait for the next fenced one.
#[test]
fn switched_on_and_off_and_on() {
    for seed in 0..10 {
        let world = play("rollback", UNFENCED, slow(), seed, |world| {
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
        assert!(world.open_intents() <= 2, "seed {seed}: {} records are left", world.open_intents());
    }
}

/// What is stored but can't be read, or is of another format, is never acted on, never
/// removed, and hurts nobody.
#[test]
fn strange_records_are_left_alone() {
    let returns = r#"{"format":9,"duties":[{"key":"1.1","intended_ms":1,"digest":"00","kind":"return","hosts":["i-000001"]}]}"#;
    let forged = r#"{"format":1,"duties":[{"key":"1.1","intended_ms":1,"digest":"00","kind":"return","hosts":["i-000001"]}]}"#;
    let many = format!(
        r#"{{"format":1,"duties":[{{"key":"1.2","kind":"rent","count":99{}}}]}}"#,
        ",\"x\":0".repeat(50)
    );
    let strange = [
        ("duty/0/0", "[]"),
        ("duty/0/1", returns),
        ("duty/0/2", forged),
        ("duty/0/3", many.as_str()),
        ("duty/none/at-all", "{}"),
        ("duty/99999999999/0", forged),
    ];
    for seed in 0..4 {
        let world = play("strange", FENCED, slow(), seed, |world| {
            strange.iter().for_each(|(key, value)| world.write_key(key, value));
            world.schedule_at(secs(20), SimEvent::FaultLeader(Restart(secs(5))));
        });
        assert_eq!(world.cloud_effects.stale, 0, "seed {seed}: {:?}", world.cloud_effects);
        for (key, _) in &strange {
            assert_eq!(world.count_keys(key), 1, "{key} is gone");
        }
    }
}

/// A fleet's returns and rentals, at the limits of values and transactions that the model
/// asserts (1 KiB, 4 changes), with leaders that end and are paused.
#[test]
fn a_fleet_within_the_limits() {
    let deployment = Deployment { fencing: true, ..FLEET };
    for seed in 0..2 {
        let mut world = World::with_deployment(
            deployment,
            seed,
            Faults { node_crashes: 2, machine_deaths: 1, ..Faults::default() },
        );
        world.plan(60, secs(120));
        for at in [20, 50, 80] {
            world.schedule_at(secs(at), SimEvent::FaultLeader(Pause(ms(PAUSE))));
        }
        world.run(secs(900));
        assert!(world.all_jobs_ended(), "seed {seed}");
        assert_eq!(world.cloud_effects.stale, 0, "seed {seed}: {:?}", world.cloud_effects);
        assert!(world.cloud_effects.all > 100, "seed {seed}: {:?}", world.cloud_effects);
    }
}
