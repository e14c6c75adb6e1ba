//! A fleet of 4,000 machines: scale-out, a change of the leader, and the return of idle machines. The
//! test fails if a new leader releases a machine that runs tasks, or if machines are not returned.

#![allow(clippy::unwrap_used)]

#[allow(dead_code)]
mod before;
#[allow(dead_code)]
mod world;

use world::deployment::FLEET;
use world::{secs, Deployment, Fault, Faults, SimEvent, World};

const MACHINES: u32 = 4_000;
const LARGE_FLEET: Deployment = Deployment {
    fencing: true,
    machines_per_pool: MACHINES / 4,
    max_machines: MACHINES,
    cpu_limit: 80_000.0,
    kv_changes_per_s: 200.0,
    cloud_requests_per_s: 40.0,
    inventory_page: 500,
    check_interval: secs(1),
    ..FLEET
};
/// The number of tasks of each job. Each task needs a whole machine.
const TASKS_PER_JOB: u32 = 100;

#[test]
fn fleet_of_4000_machines() {
    let mut world = World::with_deployment(LARGE_FLEET, 1, Faults::default());
    // There are twice as many tasks as machines, so that the replays request the whole fleet.
    let jobs = (MACHINES * 2 / TASKS_PER_JOB) as usize;
    world.plan(jobs, secs(1));
    world.drop_cancellations();
    for job in world.jobs.iter_mut() {
        (job.runtime_s, job.spec.estimated_runtime_s) = (40.0, 40.0);
        let spec = &mut job.spec;
        (spec.tasks, spec.demand.cpus, spec.gang, spec.spread) = (TASKS_PER_JOB, 8.0, false, false);
        (spec.zone, spec.single_zone, spec.allows_spot) = (None, false, true);
    }
    // All machines run tasks when the leader crashes; the next leader must keep every one of them.
    world.schedule_at(secs(55), SimEvent::FaultLeader(Fault::Restart(secs(8))));
    world.run_for(secs(50));
    let running = world.workers.len();
    world.run(secs(600));
    assert!(world.all_jobs_ended(), "unfinished jobs");
    println!("{running} machines after 50 s, {} starts, {} machines rented", world.starts, world.machines);
    assert!(running as u32 * 100 >= MACHINES * 90, "{running} machines after 50 s");
    assert_eq!(world.killed_by_release, 0, "machines that ran tasks were released");
    // Machines that are no longer needed are returned with recorded intents, over several calls.
    world.run_for(secs(90));
    assert!(world.workers.len() < 40, "{} machines remain", world.workers.len());
    assert_eq!(world.cloud_effects.stale, 0, "{:?}", world.cloud_effects);
}
