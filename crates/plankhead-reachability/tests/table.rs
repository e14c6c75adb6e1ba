//! Tests of every entry of the permission table.

use plankhead_reachability::mode::{Mode, MODES};
use plankhead_reachability::permission::{Action, Permission, PermissionTable, Precondition, ACTIONS};

/// Returns a letter for a permission: `a`llowed, `d`eferred, `f`orbidden, or the precondition's letter.
fn permission_letter(permission: Permission) -> char {
    match permission {
        Permission::Allowed => 'a',
        Permission::AllowedWhile(Precondition::JobsSynced) => 'j',
        Permission::AllowedWhile(Precondition::LeasesExpireInTime) => 'c',
        Permission::AllowedWhile(Precondition::NoPeerReceivesHeartbeats) => 'p',
        Permission::Deferred(_) => 'd',
        Permission::Forbidden(_) => 'f',
    }
}

/// The permissions of each action in the modes whole, state only, workers only and isolated.
const EXPECTED: [(Action, &str); 14] = [
    (Action::Accept, "aaff"),
    (Action::Cancel, "aaff"),
    (Action::AnswerFromMemory, "aaaa"),
    (Action::Place, "jdff"),
    (Action::Start, "jdff"),
    (Action::Kill, "aaaa"),
    (Action::ProcessHeartbeats, "aaaa"),
    (Action::RenewLeases, "cccc"),
    (Action::AcknowledgeEnds, "aadd"),
    (Action::Rent, "jjff"),
    (Action::Return, "afff"),
    (Action::ReclaimOverdue, "aaaa"),
    (Action::RemoveSilent, "apff"),
    (Action::Lead, "addd"),
];

#[test]
fn every_entry_is_as_expected() {
    let table = PermissionTable::standard();
    assert_eq!(EXPECTED.map(|(action, _)| action), ACTIONS);
    for (action, expected) in EXPECTED {
        let row: String = MODES.iter().map(|mode| permission_letter(table.of(*mode, action))).collect();
        assert_eq!(row, expected, "{action:?}");
    }
}

/// A node that does not reach both sides is never allowed more than one that does.
#[test]
fn no_mode_allows_more_than_whole() {
    let table = PermissionTable::standard();
    let rank = |permission: Permission| match permission {
        Permission::Allowed => 3,
        Permission::AllowedWhile(_) => 2,
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
fn with_replaces_exactly_one_entry() {
    let changed =
        PermissionTable::standard().with(Mode::WorkersOnly, Action::RenewLeases, Permission::Allowed);
    let standard = PermissionTable::standard();
    for mode in MODES {
        for action in ACTIONS {
            let same = changed.of(mode, action) == standard.of(mode, action);
            assert_eq!(same, (mode, action) != (Mode::WorkersOnly, Action::RenewLeases));
        }
    }
}

#[test]
fn every_mode_is_found_by_its_code() {
    for mode in MODES {
        assert_eq!(Mode::from_code(mode.code()), Some(mode));
    }
    assert_eq!(Mode::from_code(4), None);
}
