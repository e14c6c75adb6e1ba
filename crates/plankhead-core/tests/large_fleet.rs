//! Four thousand machines: the opening, a takeover and the return of them all. It fails if
//! one machine is left out.

#![allow(clippy::unwrap_used)]

#[allow(dead_code)]
mod before;
#[allow(dead_code)]
mod world;

use world::deployment::FLEET;
use world::{secs, Deployment, Fault, Faults, SimEvent, World};

const MACHINES: u32 = 4_000;
const KIND: Deployment = Deployment {
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
/// Jobs of so many tasks, each of which takes a whole machine.
const TASKS: u32 = 100;

#[test]
fn four_thousand_machines() {
    let mut world = World::with_deployment(KIND, 1, Faults::default());
    // Twice as many tasks as machines: the replays ask for the whole fleet.
    let jobs = (MACHINES * 2 / TASKS) as usize;
    world.plan(jobs, secs(1));
    world.drop_cancellations();
    for job in world.jobs.iter_mut() {
        (job.runtime_s, job.spec.estimated_runtime_s) = (40.0, 40.0);
        let spec = &mut job.spec;
        (spec.tasks, spec.demand.cpus, spec.gang, spec.spread) = (TASKS, 8.0, false, false);
        (spec.zone, spec.single_zone, spec.allows_spot) = (None, false, true);
    }
    // All run when the leader ends: the next one must take up every machine.
    world.schedule_at(secs(55), SimEvent::FaultLeader(Fault::Restart(secs(8))));
    world.run_for(secs(50));
    let running = world.workers.len();
    world.run(secs(600));
    assert!(world.all_jobs_ended(), "jobs are left over");
    println!("{running} machines after 50 s, {} starts, {} machines rented", world.starts, world.machines);
    assert!(running as u32 * 100 >= MACHINES * 90, "{running} machines after 50 s");
    assert_eq!(world.killed_by_release, 0, "machines with tasks were given back");
    // Whatever is not wanted any more goes back, recorded and in as many calls as it takes.
    world.run_for(secs(90));
    assert!(world.workers.len() < 40, "{} machines are left", world.workers.len());
    assert_eq!(world.cloud_effects.stale, 0, "{:?}", world.cloud_effects);
}
