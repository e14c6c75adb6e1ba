//! Tests of intents, their records and the fencing gate: single cases, and random runs against a
//! model of the state service that loses replies.

#![allow(clippy::unwrap_used)]

use plankhead_fencing::action::{CloudAction, InstanceReturn, Rental, ReturnReason};
use plankhead_fencing::errors::{IntentError, IssueError};
use plankhead_fencing::gate::{Basis, FencingGate, GateError};
use plankhead_fencing::intent::{IdempotencyKey, Intent, IntentState};
use plankhead_fencing::intent_log::{IntentAdmission, IntentLog};
use plankhead_fencing::page_writes::{IntentPageWrite, StoreLimits, WriteOutcome};
use plankhead_fencing::record::{self, PageId, RecordError};
use plankhead_fencing::token::{StaleToken, TokenGuard};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

const LIMITS: StoreLimits = StoreLimits { value_bytes: 1024, changes: 4, transaction_bytes: 16 * 1024 };

fn rental(name: &str, count: u32) -> CloudAction {
    let (machine_type, zone) = ("g8".into(), "a".into());
    CloudAction::Rent(Rental { name: name.into(), machine_type, zone, spot: true, count })
}

fn instance_return(machines: &[&str], reason: ReturnReason) -> CloudAction {
    CloudAction::Return(InstanceReturn {
        machines: machines.iter().map(|machine| Arc::from(*machine)).collect(),
        reason,
    })
}

fn key(text: &str) -> IdempotencyKey {
    IdempotencyKey::new(text)
}

/// Begins the write of all due pages and ends it with the given outcome. Returns the writes and the
/// intents that they made durable.
fn write_pages(log: &mut IntentLog, outcome: WriteOutcome) -> (Vec<IntentPageWrite>, Vec<IdempotencyKey>) {
    let writes = log.begin_write(4, true).unwrap_or_default();
    (writes, log.end_write(outcome))
}

#[test]
fn only_the_listed_transitions_are_allowed() {
    use IntentState::*;
    let all = [Intended, Recorded, Adopted, Issued, Confirmed, Abandoned];
    let allowed = [
        (Intended, Recorded),
        (Intended, Issued),
        (Intended, Abandoned),
        (Recorded, Issued),
        (Recorded, Abandoned),
        (Adopted, Issued),
        (Adopted, Abandoned),
        (Issued, Issued),
        (Issued, Confirmed),
        (Issued, Abandoned),
    ];
    for from in all {
        for to in all {
            assert_eq!(from.can_transition_to(to), allowed.contains(&(from, to)), "{from:?} to {to:?}");
        }
    }
    let mut intent = Intent::intended(key("k"), 7, rental("r", 1), 0);
    assert!(intent.transition_to(Confirmed).is_err());
    assert_eq!(intent.state(), Intended);
}

#[test]
fn different_actions_have_different_digests() {
    let actions = [
        rental("r", 1),
        rental("r", 2),
        rental("rg", 1),
        instance_return(&["a"], ReturnReason::Surplus),
        instance_return(&["a"], ReturnReason::Reclaim),
        instance_return(&["a", "b"], ReturnReason::Surplus),
        instance_return(&["ab"], ReturnReason::Surplus),
        instance_return(&["b", "a"], ReturnReason::Surplus),
    ];
    let digests: BTreeSet<String> = actions.iter().map(|action| action.digest().to_string()).collect();
    assert_eq!(digests.len(), actions.len());
    // Stored digests have 32 hexadecimal digits, and later versions must be able to read them.
    assert_eq!(rental("r", 1).digest().to_string().len(), 32);
}

#[test]
fn no_intent_is_issued_before_its_record_is_durable() {
    let mut log = IntentLog::new(41, LIMITS);
    assert_eq!(log.intend(key("r"), rental("r", 3), 5), Ok(IntentAdmission::New));
    assert_eq!(log.issue(&key("r")).unwrap_err(), IssueError::NotDurable(key("r")));
    let writes = log.begin_write(4, false).unwrap();
    assert_eq!(writes[0].page.key(), "duty/41/0");
    assert_eq!(writes[0].expected, 0);
    // An intent is not durable while its write is in flight, has failed or got no reply.
    for outcome in [WriteOutcome::Busy, WriteOutcome::Refused, WriteOutcome::Conflict, WriteOutcome::Unknown]
    {
        assert_eq!(log.issue(&key("r")).unwrap_err(), IssueError::NotDurable(key("r")));
        assert_eq!(log.end_write(outcome), Vec::new());
        for page in log.uncertain_pages() {
            assert_eq!(log.begin_write(4, true), None, "a page of unknown revision was written");
            log.page_revision_read(page, 0);
        }
        assert!(log.begin_write(4, false).is_some(), "{outcome:?}");
    }
    assert_eq!(log.end_write(WriteOutcome::Committed { revision: 50 }), vec![key("r")]);
    let (action, proof) = log.issue(&key("r")).unwrap();
    let mut gate = FencingGate::fenced(41);
    let permitted = gate.permit(action, Some(proof)).unwrap();
    assert_eq!(permitted.basis(), Basis::Recorded { revision: 50 });
    assert_eq!(gate.counts().recorded, 1);
}

#[test]
fn the_gate_requires_a_proof_for_its_token_and_the_action() {
    let proof_under = |token| {
        let mut log = IntentLog::new(token, LIMITS);
        log.intend(key("r"), rental("r", 3), 5).unwrap();
        write_pages(&mut log, WriteOutcome::Committed { revision: 9 });
        log.issue(&key("r")).unwrap().1
    };
    let mut gate = FencingGate::fenced(41);
    assert_eq!(gate.permit(rental("r", 3), None), Err(GateError::NoProof));
    let other = gate.permit(rental("r", 3), Some(proof_under(40))).unwrap_err();
    assert_eq!(other, GateError::OtherToken { key: key("r"), given: 40, own: 41 });
    let changed = gate.permit(rental("r", 4), Some(proof_under(41))).unwrap_err();
    assert_eq!(changed, GateError::OtherAction { key: key("r") });
    assert_eq!(gate.counts().refused, 3);
    assert_eq!(FencingGate::unfenced(41).permit(rental("r", 3), None).unwrap().basis(), Basis::Unfenced);
}

#[test]
fn a_key_is_never_reused_for_another_action() {
    let mut log = IntentLog::new(41, LIMITS);
    log.intend(key("r"), rental("r", 3), 5).unwrap();
    assert_eq!(log.intend(key("r"), rental("r", 3), 9), Ok(IntentAdmission::Repeat));
    let reused = IntentError::KeyReused { key: key("r") };
    assert_eq!(log.intend(key("r"), rental("r", 4), 9), Err(reused.clone()));
    write_pages(&mut log, WriteOutcome::Committed { revision: 9 });
    log.issue(&key("r")).unwrap();
    log.confirm(&key("r")).unwrap();
    assert_eq!(log.intend(key("r"), rental("r", 4), 9), Err(reused));
    assert_eq!(log.intend(key("r"), rental("r", 3), 9), Ok(IntentAdmission::Repeat));
    assert!(log.intent(&key("r")).is_none(), "an ended intent was opened again");
    assert!(log.next_key() != log.next_key());
}

#[test]
fn records_of_ended_intents_are_removed() {
    let mut log = IntentLog::new(41, LIMITS);
    for name in ["a", "b"] {
        log.intend(key(name), rental(name, 1), 5).unwrap();
    }
    write_pages(&mut log, WriteOutcome::Committed { revision: 9 });
    for name in ["a", "b"] {
        log.issue(&key(name)).unwrap();
    }
    log.confirm(&key("a")).unwrap();
    assert!(log.needs_compaction() && !log.has_unrecorded());
    let (writes, _) = write_pages(&mut log, WriteOutcome::Committed { revision: 10 });
    assert_eq!((writes[0].expected, writes[0].value.as_ref().unwrap().contains("\"key\":\"a\"")), (9, false));
    log.confirm(&key("b")).unwrap();
    let (writes, _) = write_pages(&mut log, WriteOutcome::Committed { revision: 11 });
    assert_eq!(writes, vec![IntentPageWrite { page: writes[0].page, expected: 10, value: None }]);
    assert!(!log.needs_compaction());
    assert_eq!(log.summary().pages, 0);
}

#[test]
fn the_next_leader_adopts_and_ends_open_intents() {
    let mut former = IntentLog::new(41, LIMITS);
    former.intend(key("r"), rental("r", 3), 5).unwrap();
    former.intend(key("b"), instance_return(&["i-1", "i-2"], ReturnReason::Reclaim), 6).unwrap();
    let (writes, _) = write_pages(&mut former, WriteOutcome::Committed { revision: 9 });
    let (stored, value) = (writes[0].page.key(), writes[0].value.clone().unwrap());

    let mut current = IntentLog::new(60, LIMITS);
    assert_eq!(current.load_former_page(&stored, &value, 9), Vec::new());
    let adopted: Vec<&Intent> = current.adopted().collect();
    assert_eq!(adopted.len(), 2);
    assert!(adopted.iter().all(|intent| intent.token == 41 && intent.state() == IntentState::Adopted));
    assert!(!current.needs_compaction(), "open intents of a former leader would be removed");
    for name in ["r", "b"] {
        let (action, proof) = current.issue(&key(name)).unwrap();
        assert!(FencingGate::fenced(60).permit(action, Some(proof)).is_ok());
        assert_eq!(current.begin_write(4, true), None);
        current.confirm(&key(name)).unwrap();
    }
    let (writes, _) = write_pages(&mut current, WriteOutcome::Committed { revision: 70 });
    assert_eq!(writes[0].page, PageId { token: 41, number: 0 });
    assert_eq!((writes[0].expected, &writes[0].value), (9, &None));

    // A second load after an incomplete first one does not duplicate intents.
    let mut reloaded = IntentLog::new(60, LIMITS);
    for _ in 0..2 {
        reloaded.discard_former_pages();
        assert_eq!(reloaded.load_former_page(&stored, &value, 9), Vec::new());
    }
    assert_eq!(reloaded.adopted().count(), 2);
    // A page of a later leader is refused: the reader's term has ended.
    let later = IntentLog::new(40, LIMITS).load_former_page(&stored, &value, 9);
    assert_eq!(later, vec![RecordError::LaterToken { key: stored }]);
}

#[test]
fn only_reclaims_may_be_issued_without_a_record_after_a_failed_write() {
    let mut log = IntentLog::new(41, LIMITS);
    log.intend(key("reclaim"), instance_return(&["i-1"], ReturnReason::Reclaim), 5).unwrap();
    log.intend(key("surplus"), instance_return(&["i-2"], ReturnReason::Surplus), 5).unwrap();
    assert!(!log.allow_unrecorded_issue(&key("reclaim")), "permitted without an attempt to record it");
    write_pages(&mut log, WriteOutcome::Busy);
    assert!(!log.allow_unrecorded_issue(&key("reclaim")), "permitted while the state service was only busy");
    write_pages(&mut log, WriteOutcome::Refused);
    log.clear_recording_failures();
    assert!(!log.allow_unrecorded_issue(&key("reclaim")), "permitted by a failure that was cleared");
    write_pages(&mut log, WriteOutcome::Refused);
    assert!(log.allow_unrecorded_issue(&key("reclaim")) && !log.allow_unrecorded_issue(&key("surplus")));
    let (action, proof) = log.issue(&key("reclaim")).unwrap();
    assert_eq!(FencingGate::fenced(41).permit(action, Some(proof)).unwrap().basis(), Basis::Compelled);
}

#[test]
fn page_writes_stay_within_the_store_limits() {
    let mut log = IntentLog::new(41, LIMITS);
    let names: Vec<String> = (0..100).map(|n| format!("i-{n:06}")).collect();
    let machines: Vec<Arc<str>> = names.iter().map(|name| Arc::from(name.as_str())).collect();
    let fitting = log.return_within_limits(&machines, ReturnReason::Surplus);
    assert!(fitting.machines.len() > 50 && fitting.machines.len() < 100, "{}", fitting.machines.len());
    log.intend(key("1"), CloudAction::Return(fitting), 5).unwrap();
    let all = CloudAction::Return(InstanceReturn { machines, reason: ReturnReason::Surplus });
    assert!(matches!(log.intend(key("2"), all, 5), Err(IntentError::TooLarge { .. })));
    for n in 0..40 {
        log.intend(key(&format!("r{n}")), rental(&format!("r{n}"), 1), 5).unwrap();
    }
    let mut recorded_count = 0;
    for revision in 1.. {
        let (writes, recorded) = write_pages(&mut log, WriteOutcome::Committed { revision });
        if writes.is_empty() {
            break;
        }
        recorded_count += recorded.len();
        assert!(writes.len() <= LIMITS.changes);
        assert!(writes.iter().all(|write| write.value.as_ref().unwrap().len() <= LIMITS.value_bytes));
    }
    assert_eq!(recorded_count, 41);
}

#[test]
fn unreadable_records_are_reported_and_kept() {
    let intent = Intent::intended(key("1.1"), 1, rental("r", 3), 5);
    let page = record::encode([&intent].into_iter());
    let too_long = "x".repeat(201);
    let invalid_pages = [
        page.replace("\"count\":3", "\"count\":4"),
        page.replace("\"count\":3", "\"count\":0"),
        page.replace("\"count\":3", "\"count\":51"),
        page.replace("\"kind\":\"rent\"", "\"kind\":\"scrap\""),
        page.replace("\"key\":\"1.1\"", "\"key\":\"\""),
        page.replace("\"zone\":\"a\"", &format!("\"zone\":\"{too_long}\"")),
        page.replace("\"format\":1", "\"format\":2"),
        page.replace("]}", ""),
        "7".into(),
    ];
    for text in &invalid_pages {
        let mut log = IntentLog::new(41, LIMITS);
        assert_eq!(log.load_former_page("duty/1/0", text, 9).len(), 1, "{text}");
        assert_eq!(log.adopted().count(), 0, "{text}");
        assert_eq!(log.begin_write(4, true), None, "{text} would be removed");
    }
    let mut log = IntentLog::new(41, LIMITS);
    for name in ["duty/1", "duty/x/0", "duty/1/0/0", "duty/01/0", "duty/-1/0", "other/1/0"] {
        assert_eq!(log.load_former_page(name, &page, 9), vec![RecordError::Key { key: name.into() }]);
    }
    // If two pages hold the same intent, the first one read counts.
    assert_eq!(log.load_former_page("duty/1/0", &page, 9), Vec::new());
    assert!(matches!(&log.load_former_page("duty/2/0", &page, 9)[..], [RecordError::ReusedKey { .. }]));
    assert_eq!(log.adopted().count(), 1);
    // Fields that later versions added are ignored.
    let later = page.replace("\"format\":1", "\"format\":1,\"more\":{}");
    assert_eq!(
        record::decode("duty/1/0", &later),
        (vec![Intent::adopted(key("1.1"), 1, rental("r", 3), 5)], vec![])
    );
}

#[test]
fn a_lower_token_is_refused_and_counted() {
    let mut guard = TokenGuard::default();
    assert_eq!(guard.admit(41), Ok(()));
    assert_eq!(guard.admit(41), Ok(()));
    guard.observe(50);
    assert_eq!(guard.admit(41), Err(StaleToken { given: 41, highest: 50 }));
    guard.observe(3);
    assert_eq!((guard.highest(), guard.refused()), (50, 1));
    assert_eq!(guard.admit(51), Ok(()));
}

/// A token that a worker reports may be a later one of the current term.
#[test]
fn a_reported_token_counts_unless_the_term_was_in_force_then() {
    let mut guard = TokenGuard::default();
    assert_eq!(guard.admit(41), Ok(()));
    guard.report(60);
    assert_eq!(guard.admit(41), Err(StaleToken { given: 41, highest: 60 }));
    guard.record_term(59);
    assert_eq!(guard.highest(), 60);
    guard.record_term(60);
    assert_eq!((guard.highest(), guard.admit(41)), (41, Ok(())));
    guard.report(61);
    assert_eq!(guard.highest(), 61);
}

/// A model of the state service, which holds pages with their revisions.
#[derive(Default)]
struct Store {
    pages: BTreeMap<String, (String, u64)>,
    revision: u64,
}

impl Store {
    fn revision_of(&self, page: &PageId) -> u64 {
        self.pages.get(&page.key()).map_or(0, |(_, revision)| *revision)
    }

    fn apply(&mut self, writes: &[IntentPageWrite]) -> WriteOutcome {
        if writes.iter().any(|write| self.revision_of(&write.page) != write.expected) {
            return WriteOutcome::Conflict;
        }
        self.revision += 1;
        for IntentPageWrite { page, value, .. } in writes {
            match value {
                Some(value) => drop(self.pages.insert(page.key(), (value.clone(), self.revision))),
                None => drop(self.pages.remove(&page.key())),
            }
        }
        WriteOutcome::Committed { revision: self.revision }
    }

    fn contains_intent(&self, intent: &IdempotencyKey) -> bool {
        self.pages.values().any(|(value, _)| value.contains(&format!("\"key\":\"{intent}\"")))
    }
}

/// Five leaders in sequence use one store that refuses writes, loses replies and carries out writes
/// late. The store must hold an intent whenever it is issued, until it is confirmed. The last leader,
/// whose replies all arrive, must end all intents and remove all pages, including those that a late
/// write of an earlier leader left.
#[test]
fn every_issued_intent_is_in_the_store() {
    let (mut issued, mut adopted) = (0, 0);
    for seed in 0..60 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut store = Store::default();
        for leader in 1..=5u64 {
            let token = leader * 100;
            let mut log = IntentLog::new(token, LIMITS);
            let mut delayed: Vec<Vec<IntentPageWrite>> = Vec::new();
            for (stored, (value, revision)) in &store.pages {
                assert_eq!(log.load_former_page(stored, value, *revision), Vec::new());
            }
            adopted += log.adopted().count();
            let is_last = leader == 5;
            for step in 0..if is_last { 400 } else { rng.random_range(5..60) } {
                if !(is_last && step > 200) && rng.random_range(0..3) == 0 {
                    let next = log.next_key();
                    log.intend(next.clone(), rental(&next.to_string(), 1), 5).unwrap();
                }
                for page in log.uncertain_pages() {
                    log.page_revision_read(page, store.revision_of(&page));
                }
                if let Some(writes) = log.begin_write(rng.random_range(1..5), rng.random_range(0..4) == 0) {
                    let outcome = match rng.random_range(0..if is_last { 4 } else { 5 }) {
                        3 => WriteOutcome::Refused,
                        4 if rng.random_range(0..2) == 0 => {
                            delayed.push(writes);
                            WriteOutcome::Unknown
                        }
                        4 => {
                            store.apply(&writes);
                            WriteOutcome::Unknown
                        }
                        _ => store.apply(&writes),
                    };
                    log.end_write(outcome);
                }
                if rng.random_range(0..8) == 0 {
                    delayed.pop().map(|writes| store.apply(&writes));
                }
                let open: Vec<IdempotencyKey> = log.open_intents().map(|intent| intent.key.clone()).collect();
                for intent in open {
                    if log.issue(&intent).is_ok() {
                        issued += 1;
                        assert!(
                            store.contains_intent(&intent),
                            "seed {seed}: {intent} was issued without a record"
                        );
                        if rng.random_range(0..2) == 0 {
                            log.confirm(&intent).unwrap();
                        }
                    }
                }
            }
            if is_last {
                assert_eq!(log.open_intents().count(), 0, "seed {seed}");
                while let Some(writes) = log.begin_write(4, true) {
                    let outcome = store.apply(&writes);
                    log.end_write(outcome);
                    for page in log.uncertain_pages() {
                        log.page_revision_read(page, store.revision_of(&page));
                    }
                }
            }
        }
        assert!(store.pages.is_empty(), "seed {seed}: {:?}", store.pages);
    }
    assert!(issued > 1_000 && adopted > 200, "{issued} issued, {adopted} adopted");
}
