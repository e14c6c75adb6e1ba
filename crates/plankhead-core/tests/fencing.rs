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

use world::Blow::*;
use world::{ms, secs, Effects, Happening, Kind, Moment, Troubles, World, SMALL};

/// A few machines that come and go, under leaders that record what they ask for.
const FENCED: Kind = Kind { fenced: true, capacity: 6, cloud_rps: 10.0, ..SMALL };
const UNFENCED: Kind = Kind { fenced: false, ..FENCED };
/// Longer than the leader's lease, and than a watch on it.
const PAUSE: u64 = 4_000;

/// Plays a history until every job has come to its end.
fn play(name: &str, kind: Kind, troubles: Troubles, seed: u64, set: impl Fn(&mut World)) -> World {
    let mut world = World::of(kind, seed, troubles);
    world.plan(24, secs(90));
    set(&mut world);
    world.calm += secs(90);
    world.clears = true;
    world.run(secs(1500));
    let left: Vec<_> = world.jobs.iter().filter(|j| !j.done_or_cancelled()).map(|j| &j.id).collect();
    assert!(left.is_empty(), "{name}, seed {seed}: unfinished {left:?}");
    world
}

fn sum(all: &mut Effects, one: Effects) {
    all.all += one.all;
    all.of_former += one.of_former;
    all.stale += one.stale;
    all.compelled += one.compelled;
    all.compelled_stale += one.compelled_stale;
}

/// Pauses at random instants and at chosen ones, each longer than the lease.
fn freezes(world: &mut World, seed: u64) {
    for n in 0..10u64 {
        let at = ms(4_000 + 8_300 * n + 97 * (seed * 7 + n) % 4_000);
        let node = ((seed + n) % 3) as usize;
        world.after(at, Happening::Freeze { node, last: ms(500 + 1_100 * ((seed + n) % 7)) });
    }
    let pause = ms(PAUSE + 800 * (seed % 5));
    for n in 0..5u32 {
        let nth = 1 + (seed as u32 + 2 * n) % 9;
        world.when(Moment::DutySent, nth, vec![(ms(u64::from(n)), Happening::Leader(Freeze(pause)))]);
        world.when(Moment::DutyWritten, nth, vec![(ms(u64::from(n)), Happening::Leader(Freeze(pause)))]);
        world.when(Moment::CloudCalled, nth, vec![(ms(0), Happening::Leader(FreezeHolding(pause)))]);
    }
}

/// The cloud is slow, too: calls are carried out up to 20 s late.
fn slow() -> Troubles {
    Troubles { lost: 0.05, late: 0.3, ..Troubles::default() }
}

/// A thousand pauses, and not one stale effect.
#[test]
fn a_thousand_pauses() {
    let (mut pauses, mut effects) = (0, Effects::default());
    for seed in 0..60 {
        let world = play("pauses", FENCED, slow(), seed, |world| freezes(world, seed));
        assert_eq!(world.effects.stale, 0, "seed {seed}: {:?}", world.effects);
        pauses += world.freezes;
        sum(&mut effects, world.effects);
    }
    assert!(pauses >= 1_000, "{pauses} pauses");
    assert!(effects.of_former > 20, "{effects:?}");
    assert_eq!(effects.compelled, 0, "the state service never failed a leader: {effects:?}");
}

/// The same with the gate open: the check finds stale effects.
#[test]
fn without_the_gate_there_are_stale_effects() {
    let mut effects = Effects::default();
    for seed in 0..20 {
        sum(&mut effects, play("open", UNFENCED, slow(), seed, |world| freezes(world, seed)).effects);
    }
    assert!(effects.stale > 20, "{effects:?}");
}
