//! Validation of jobs: rejects a job that could never run, whatever machines are rented, because of its
//! team's limits or the available machine types.

use crate::jobs::job::{JobSpec, Resources};
use crate::protocol::{MachineType, UnsatisfiableSpec};
use crate::settings::{Settings, Team};
use std::collections::{BTreeMap, BTreeSet};

/// Tolerances for rounding errors when a demand is compared with a limit.
const TASK_TOLERANCE: f64 = 1e-9;
const GANG_TOLERANCE: f64 = 1e-6;

/// Checks that the team's limits and the machine types allow the job to run at all.
pub(super) fn check_satisfiable(
    spec: &JobSpec,
    settings: &Settings,
    machine_types: &BTreeMap<String, MachineType>,
) -> Result<(), UnsatisfiableSpec> {
    let team = settings.teams.get(&spec.team).ok_or(UnsatisfiableSpec::UnknownTeam)?;
    if exceeds_limit(&spec.demand, team, TASK_TOLERANCE) {
        return Err(UnsatisfiableSpec::TaskOverTeamLimit);
    }
    if spec.gang && exceeds_limit(&spec.demand.times(spec.tasks), team, GANG_TOLERANCE) {
        return Err(UnsatisfiableSpec::GangOverTeamLimit);
    }
    let allowed = |machine_type: &&MachineType| {
        spec.machine_types.as_ref().is_none_or(|names| names.contains(&machine_type.name))
    };
    let candidates: Vec<&MachineType> = machine_types
        .values()
        .filter(allowed)
        .filter(|machine_type| can_hold_task(spec, machine_type))
        .collect();
    // At most half of a spread gang, rounded up, may run in one zone, and all of its tasks run at the
    // same time, so it needs at least two zones.
    let zones: BTreeSet<&String> = candidates.iter().flat_map(|machine_type| &machine_type.zones).collect();
    let confined_to_one_zone = spec.single_zone || spec.zone.is_some() || zones.len() < 2;
    if spec.gang && spec.spread && spec.tasks > 1 && confined_to_one_zone {
        return Err(UnsatisfiableSpec::SpreadInOneZone);
    }
    if candidates.is_empty() {
        return Err(UnsatisfiableSpec::NoMachineTypeFits);
    }
    Ok(())
}

fn exceeds_limit(demand: &Resources, team: &Team, tolerance: f64) -> bool {
    demand.cpus > team.max_cpus + tolerance || demand.gpus > team.max_gpus + tolerance
}

/// Whether the machine type exists in the zone of the job, if it specifies one, and an empty machine of
/// that type has the resources for one task.
fn can_hold_task(spec: &JobSpec, machine_type: &MachineType) -> bool {
    let capacity = Resources { cpus: machine_type.cpus, gpus: machine_type.gpus, ram_gb: machine_type.ram };
    let zone_matches = spec.zone.as_ref().is_none_or(|zone| machine_type.zones.contains(zone));
    spec.demand.fits(&capacity) && zone_matches
}
