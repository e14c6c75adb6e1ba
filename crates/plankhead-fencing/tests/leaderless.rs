//! Tests of the rule for returns by nodes that do not lead.

#![allow(clippy::unwrap_used)]

use plankhead_fencing::action::{CloudAction, MAX_RETURN_MACHINES};
use plankhead_fencing::gate::{Basis, PermittedAction};
use plankhead_fencing::leaderless::{
    Forbidden, LeaderlessReclaim, MachineEvidence, NodeEvidence, PeerClaims, DEFERRED_RECLAIM_LEAD_TIME,
    RECLAIM_LEAD_TIME,
};
use std::sync::Arc;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(1_000);

fn node() -> NodeEvidence {
    NodeEvidence {
        now: NOW,
        failed_read_sent_at: NOW - Duration::from_millis(20),
        cloud_replied_at: Some(NOW - Duration::from_secs(2)),
        peers: PeerClaims::NoneLeads,
    }
}

fn machine() -> MachineEvidence {
    MachineEvidence {
        deadline: NOW + RECLAIM_LEAD_TIME,
        unanswered_inspections: 2,
        inspected_at: Some(NOW - Duration::from_secs(2)),
    }
}

fn decide(node: NodeEvidence, machine: MachineEvidence) -> Result<LeaderlessReclaim, Forbidden> {
    LeaderlessReclaim::decide(&node, [("i-1".into(), machine)])
}

/// With all evidence at hand, the machine may be returned, and the gate's action says on which basis.
#[test]
fn complete_evidence_permits_a_return() {
    let permitted = PermittedAction::from(decide(node(), machine()).unwrap());
    assert_eq!(permitted.basis(), Basis::Leaderless);
    let CloudAction::Return(returned) = permitted.action() else { panic!("{permitted:?}") };
    assert_eq!(returned.machines, [Arc::<str>::from("i-1")]);
}

/// Each piece of evidence is necessary: without it, the return is forbidden for that reason.
#[test]
fn each_missing_piece_of_evidence_forbids_a_return() {
    let early = MachineEvidence { deadline: NOW + RECLAIM_LEAD_TIME + Duration::from_millis(1), ..machine() };
    assert_eq!(decide(node(), early), Err(Forbidden::NotDue));
    let answered = MachineEvidence { unanswered_inspections: 1, ..machine() };
    assert_eq!(decide(node(), answered), Err(Forbidden::NotInspected));
    let never_inspected = MachineEvidence { inspected_at: None, ..machine() };
    assert_eq!(decide(node(), never_inspected), Err(Forbidden::NotInspected));
    let unreachable = NodeEvidence { cloud_replied_at: None, ..node() };
    assert_eq!(decide(unreachable, machine()), Err(Forbidden::CloudUnreachable));
    let store_answers = NodeEvidence { peers: PeerClaims::StoreReachable, ..node() };
    let late = MachineEvidence { deadline: NOW, ..machine() };
    assert_eq!(decide(store_answers, late), Err(Forbidden::StoreReachable));
}

/// A process that was paused holds evidence that was true before the pause. Time makes it invalid.
#[test]
fn evidence_from_before_a_pause_forbids_a_return() {
    let pause = Duration::from_secs(10);
    let failure = NodeEvidence { failed_read_sent_at: NOW - pause, ..node() };
    assert_eq!(decide(failure, machine()), Err(Forbidden::FailureOutdated));
    let inspection = MachineEvidence { inspected_at: Some(NOW - pause), ..machine() };
    assert_eq!(decide(node(), inspection), Err(Forbidden::NotInspected));
    let cloud = NodeEvidence { cloud_replied_at: Some(NOW - pause), ..node() };
    assert_eq!(decide(cloud, machine()), Err(Forbidden::CloudUnreachable));
}

/// If a peer might lead, its own return comes first.
#[test]
fn a_possible_leader_comes_first() {
    let unclear = NodeEvidence { peers: PeerClaims::Unclear, ..node() };
    assert_eq!(decide(unclear, machine()), Err(Forbidden::NotDue));
    let near = MachineEvidence { deadline: NOW + DEFERRED_RECLAIM_LEAD_TIME, ..machine() };
    assert!(decide(unclear, near).is_ok());
}

/// A return names only the machines that it may take away, at most as many as the cloud accepts.
#[test]
fn a_return_contains_only_permitted_machines() {
    let answered = MachineEvidence { unanswered_inspections: 0, ..machine() };
    let machines = (0..300).map(|n| {
        let evidence = if n % 2 == 0 { machine() } else { answered };
        (format!("i-{n:03}").into(), evidence)
    });
    let reclaim = LeaderlessReclaim::decide(&node(), machines).unwrap();
    assert_eq!(reclaim.machines().len(), MAX_RETURN_MACHINES);
    let is_even = |name: &Arc<str>| name[2..].parse::<u32>().unwrap() % 2 == 0;
    assert!(reclaim.machines().iter().all(is_even));
}
