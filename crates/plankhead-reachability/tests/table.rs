//! The table of permissions, cell by cell.

use plankhead_reachability::mode::{Mode, MODES};
use plankhead_reachability::permission::{Action, Permission, PermissionTable, Precondition, ACTIONS};

/// A cell in short: allowed, within a bound, deferred, forbidden.
fn letter(permission: Permission) -> char {
    match permission {
        Permission::Allowed => 'a',
        Permission::Within(Precondition::JobsSynced) => 'j',
        Permission::Within(Precondition::CancellationUnseen) => 'c',
        Permission::Within(Precondition::NoPeerReceivesHeartbeats) => 'p',
        Permission::Deferred(_) => 'd',
        Permission::Forbidden(_) => 'f',
    }
}

/// Whole, state only, workers only, isolated.
const EXPECTED: [(Action, &str); 14] = [
    (Action::Accept, "aaff"),
    (Action::Cancel, "aaff"),
    (Action::AnswerFromMemory, "aaaa"),
    (Action::Place, "jdff"),
    (Action::Start, "jdff"),
    (Action::Kill, "aaaa"),
    (Action::AnswerReports, "aaaa"),
    (Action::KeepLeases, "cccc"),
    (Action::AcknowledgeEnds, "aadd"),
    (Action::Rent, "jjff"),
    (Action::Return, "afff"),
    (Action::ReclaimOverdue, "aaaa"),
    (Action::JudgeSilent, "apff"),
    (Action::Lead, "addd"),
];

#[test]
fn every_cell() {
    let table = PermissionTable::standard();
    assert_eq!(EXPECTED.map(|(action, _)| action), ACTIONS);
    for (action, expected) in EXPECTED {
        let row: String = MODES.iter().map(|mode| letter(table.of(*mode, action))).collect();
        assert_eq!(row, expected, "{action:?}");
    }
}

/// Less sight never allows more.
#[test]
fn no_mode_allows_what_the_whole_one_does_not() {
    let table = PermissionTable::standard();
    let rank = |permission: Permission| match permission {
        Permission::Allowed => 3,
        Permission::Within(_) => 2,
        Permission::Deferred(_) => 1,
        Permission::Forbidden(_) => 0,
    };
    for action in ACTIONS {
        let whole = rank(table.of(Mode::Whole, action));
        for mode in MODES {
            assert!(rank(table.of(mode, action)) <= whole, "{action:?} in {mode:?}");
        }
    }
}

#[test]
fn a_planted_fault_changes_one_cell() {
    let broken = PermissionTable::standard().with(Mode::WorkersOnly, Action::KeepLeases, Permission::Allowed);
    let standard = PermissionTable::standard();
    for mode in MODES {
        for action in ACTIONS {
            let same = broken.of(mode, action) == standard.of(mode, action);
            assert_eq!(same, (mode, action) != (Mode::WorkersOnly, Action::KeepLeases));
        }
    }
}

#[test]
fn modes_have_codes() {
    for mode in MODES {
        assert_eq!(Mode::from_code(mode.code()), Some(mode));
    }
    assert_eq!(Mode::from_code(4), None);
}
