//! Machines that hang with tasks of cancelled jobs while no node can lead, or none leads for long. The
//! model checks after every event that no cancelled task is on a machine after `cancel_s`, and counts what
//! the returns of nodes that do not lead take away.

#![allow(clippy::unwrap_used)]

#[allow(dead_code)]
mod before;
#[allow(dead_code)]
mod world;

use world::deployment::FLEET;
use world::Fault::*;
use world::{ms, secs, CloudEffects, Deployment, Faults, SimEvent, World, SMALL};

const FENCED: Deployment = Deployment { fencing: true, ..SMALL };
/// As in `deploy/service.toml`.
const DEPLOYED: Deployment = Deployment { fencing: true, sharding: true, ..SMALL };
const REACHABILITY: Deployment = Deployment { reachability: true, ..DEPLOYED };
const DEPLOYMENTS: [Deployment; 4] = [SMALL, FENCED, DEPLOYED, REACHABILITY];

/// Longer than an outage that a cancellation must survive.
const RUNTIME_S: f64 = 70.0;
const HANG_S: u64 = 70;

/// Plays a history in which running jobs are cancelled and their machines hang, and returns it.
/// `setup` gets the time of the cancellations.
fn play(
    name: &str,
    deployment: Deployment,
    faults: Faults,
    seed: u64,
    setup: impl Fn(&mut World, std::time::Duration),
) -> World {
    let mut world = World::with_deployment(deployment, seed, faults);
    world.plan(24, secs(90));
    for job in world.jobs.iter_mut() {
        (job.runtime_s, job.spec.estimated_runtime_s) = (RUNTIME_S, RUNTIME_S);
        job.spec.tasks = job.spec.tasks.min(4);
    }
    let cancelled_at = secs(30) + ms(137 * seed);
    world.schedule_at(cancelled_at, SimEvent::CancelRunningJobs { count: 12, hang: secs(HANG_S) });
    setup(&mut world, cancelled_at);
    world.run_to_end(name, seed, secs(120));
    if deployment.fencing {
        assert_eq!(world.cloud_effects.stale, 0, "{name}, seed {seed}: {:?}", world.cloud_effects);
    }
    world
}

fn outage(world: &mut World, at: std::time::Duration, duration: std::time::Duration) {
    let until = world.now + at + duration;
    world.schedule_at(at, SimEvent::Outage { until });
}

fn add(total: &mut CloudEffects, one: CloudEffects) {
    total.leaderless += one.leaderless;
    total.leaderless_needless += one.leaderless_needless;
    total.leaderless_lost_attempts += one.leaderless_lost_attempts;
}

/// A cancelled task stayed on a hung machine until the end of an outage, because only a leader returned
/// machines and the leader had ended in the outage (review case 2). Whether and when the leader's process is
/// back makes no difference.
#[test]
fn the_leader_ends_in_an_outage_after_a_cancellation() {
    let mut total = CloudEffects::default();
    for (n, deployment) in DEPLOYMENTS.into_iter().enumerate() {
        for downtime in [ms(100), secs(6), secs(60)] {
            for seed in 0..6 {
                let name = format!("leader ends, deployment {n}, downtime {downtime:?}");
                let world = play(&name, deployment, Faults::default(), seed, |world, at| {
                    outage(world, at + secs(1), SMALL.cancel_within + secs(12));
                    world
                        .schedule_at(at + secs(3) + ms(500 * seed), SimEvent::FaultLeader(Restart(downtime)));
                });
                add(&mut total, world.cloud_effects);
            }
        }
    }
    assert!(total.leaderless > 50, "{total:?}");
    assert_eq!(total.leaderless_needless, 0, "{total:?}");
}

/// The same with only one node left that knows of the cancellation: another one restarts in the outage too.
#[test]
fn one_node_with_knowledge_is_enough() {
    for (n, deployment) in DEPLOYMENTS.into_iter().enumerate() {
        for seed in 0..6 {
            let name = format!("two restarts, deployment {n}");
            play(&name, deployment, Faults::default(), seed, |world, at| {
                outage(world, at + secs(1), SMALL.cancel_within + secs(12));
                world.on_trigger(
                    world::Trigger::Cancelled,
                    1,
                    vec![
                        (secs(3), SimEvent::FaultLeader(Restart(secs(6)))),
                        (secs(12), SimEvent::FaultNode(1, Restart(secs(2)))),
                    ],
                );
            });
        }
    }
}

/// Every node ends three times between a cancellation and its deadline. Each new leader counted the silence
/// of a hung machine from the start of its own term, so none of them ever returned it.
#[test]
fn short_terms_reclaim_a_hung_machine() {
    for (n, deployment) in DEPLOYMENTS.into_iter().enumerate() {
        for seed in 0..6 {
            let name = format!("short terms, deployment {n}");
            play(&name, deployment, Faults::default(), seed, |world, at| {
                for end in [4, 17, 30] {
                    world.schedule_at(at + secs(end), SimEvent::StopAllNodes { duration: secs(6) });
                }
            });
        }
    }
}

/// The state service refuses only the leader when jobs are cancelled, and everybody a second later. The
/// leader, which does not know of the cancellations, then ends or goes on.
#[test]
fn the_leader_is_refused_then_ends_in_an_outage() {
    for (n, deployment) in DEPLOYMENTS.into_iter().enumerate() {
        for seed in 0..6u64 {
            let name = format!("refused leader, deployment {n}");
            play(&name, deployment, Faults::default(), seed, |world, at| {
                world.schedule_at(at - ms(100), SimEvent::FaultLeader(RefuseKv(secs(30))));
                outage(world, at + ms(1_100), SMALL.cancel_within + secs(12));
                if seed % 2 == 0 {
                    world.schedule_at(at + secs(5), SimEvent::FaultLeader(Restart(secs(6))));
                }
            });
        }
    }
}

/// The leader loses the state service and its peers, but not its workers, and then ends, with an outage
/// that has begun meanwhile.
#[test]
fn the_leader_is_cut_off_and_then_ends() {
    for (n, deployment) in DEPLOYMENTS.into_iter().enumerate() {
        for seed in 0..6u64 {
            let name = format!("cut-off leader, deployment {n}");
            play(&name, deployment, Faults::default(), seed, |world, at| {
                world.schedule_at(at + ms(800), SimEvent::FaultLeader(CutFromKvAndPeers(secs(25))));
                outage(world, at + ms(900 + 300 * seed), SMALL.cancel_within + secs(12));
                world.schedule_at(at + secs(8 + seed), SimEvent::FaultLeader(Restart(secs(6))));
            });
        }
    }
}

/// The remaining nodes are paused around the time at which they would return machines, and machines resume
/// earlier. What a node decided before a pause must not take away a machine that works again.
#[test]
fn paused_nodes_return_no_working_machine() {
    let mut total = CloudEffects::default();
    for seed in 0..24u64 {
        let world = play("paused nodes", DEPLOYED, Faults::default(), seed, |world, at| {
            outage(world, at + secs(1), secs(31 + seed % 6));
            world.schedule_at(at + secs(3), SimEvent::FaultLeader(Restart(secs(6))));
            for node in 0..3usize {
                let begins = at + secs(26) + ms(700 * ((seed + node as u64) % 9));
                let duration = ms(3_500 + 900 * ((seed + 2 * node as u64) % 6));
                world.schedule_at(begins, SimEvent::PauseProcess { node, duration });
            }
            // The machines go on within their leases or after them.
            world.schedule_at(at + secs(5 + seed), SimEvent::ResumeMachines);
        });
        add(&mut total, world.cloud_effects);
    }
    assert_eq!(total.leaderless_needless, 0, "{total:?}");
}

/// Requests to the cloud get lost, or are carried out up to 20 s late, when machines may work again and have
/// got other tasks. Attempts are lost then, but no rule is violated.
#[test]
fn late_returns_lose_attempts_at_most() {
    let mut total = CloudEffects::default();
    let faults = Faults { lost_replies: 0.3, late_requests: 0.5, ..Faults::default() };
    for seed in 0..80u64 {
        let world = play("late returns", DEPLOYED, faults, seed, |world, at| {
            outage(world, at + secs(1), secs(33));
            world.schedule_at(at + secs(3), SimEvent::FaultLeader(Restart(secs(6))));
            // Without the cancelled jobs' machines being returned in time, the rule would be violated: they
            // go on shortly before the deadline, when returns may be in flight.
            world.schedule_at(at + secs(33), SimEvent::ResumeMachines);
        });
        add(&mut total, world.cloud_effects);
    }
    println!("late returns: {total:?}");
    assert!(total.leaderless > 20, "{total:?}");
}

/// Dozens of machines hang at once in a large fleet, while the cloud's rate limit is the usual one.
#[test]
fn many_hung_machines_are_reclaimed_in_time() {
    let deployment = Deployment { fencing: true, sharding: true, ..FLEET };
    for seed in 0..2 {
        let mut world = World::with_deployment(deployment, seed, Faults::default());
        world.plan(60, secs(60));
        for job in world.jobs.iter_mut() {
            (job.runtime_s, job.spec.estimated_runtime_s) = (120.0, 120.0);
        }
        let at = secs(50);
        for n in 0..6 {
            let hang = SimEvent::CancelRunningJobs { count: 8, hang: secs(100) };
            world.schedule_at(at + ms(250 * n), hang);
        }
        outage(&mut world, at + secs(3), FLEET.cancel_within + secs(15));
        world.schedule_at(at + secs(5), SimEvent::FaultLeader(Restart(secs(6))));
        world.run_to_end("many machines", seed, secs(150));
        assert!(world.cloud_effects.leaderless >= 10, "{:?}", world.cloud_effects);
        assert_eq!(world.cloud_effects.leaderless_needless, 0, "{:?}", world.cloud_effects);
    }
}
