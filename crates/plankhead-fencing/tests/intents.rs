//! Duties, their records and the gate, taken by hand and against a plain model of the
//! state service that loses answers.

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

fn instance_return(hosts: &[&str], cause: ReturnReason) -> CloudAction {
    CloudAction::Return(InstanceReturn {
        machines: hosts.iter().map(|host| Arc::from(*host)).collect(),
        reason: cause,
    })
}

fn key(text: &str) -> IdempotencyKey {
    IdempotencyKey::new(text)
}

/// Writes what is due; the outcome is given.
fn write(log: &mut IntentLog, outcome: WriteOutcome) -> (Vec<IntentPageWrite>, Vec<IdempotencyKey>) {
    let changes = log.begin_write(4, true).unwrap_or_default();
    (changes, log.end_write(outcome))
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
fn every_field_counts_in_the_digest() {
    let different = [
        rental("r", 1),
        rental("r", 2),
        rental("rg", 1),
        instance_return(&["a"], ReturnReason::Surplus),
        instance_return(&["a"], ReturnReason::Reclaim),
        instance_return(&["a", "b"], ReturnReason::Surplus),
        instance_return(&["ab"], ReturnReason::Surplus),
        instance_return(&["b", "a"], ReturnReason::Surplus),
    ];
    let digests: BTreeSet<String> = different.iter().map(|action| action.digest().to_string()).collect();
    assert_eq!(digests.len(), different.len());
    // Stored ones must be read by later versions.
    assert_eq!(rental("r", 1).digest().to_string().len(), 32);
}

#[test]
fn nothing_is_issued_before_its_record_is_durable() {
    let mut log = IntentLog::new(41, LIMITS);
    assert_eq!(log.intend(key("r"), rental("r", 3), 5), Ok(IntentAdmission::New));
    assert_eq!(log.issue(&key("r")).unwrap_err(), IssueError::NotDurable(key("r")));
    let changes = log.begin_write(4, false).unwrap();
    assert_eq!(changes[0].page.key(), "duty/41/0");
    assert_eq!(changes[0].expected, 0);
    // Under way is not durable, nor is a write that failed or got no answer.
    for outcome in [WriteOutcome::Busy, WriteOutcome::Refused, WriteOutcome::Conflict, WriteOutcome::Unknown]
    {
        assert_eq!(log.issue(&key("r")).unwrap_err(), IssueError::NotDurable(key("r")));
        assert_eq!(log.end_write(outcome), Vec::new());
        for page in log.uncertain_pages() {
            assert_eq!(log.begin_write(4, true), None, "written while in doubt");
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
fn the_gate_wants_a_proof_of_this_holder_and_this_action() {
    let durable = |token| {
        let mut log = IntentLog::new(token, LIMITS);
        log.intend(key("r"), rental("r", 3), 5).unwrap();
        write(&mut log, WriteOutcome::Committed { revision: 9 });
        log.issue(&key("r")).unwrap().1
    };
    let mut gate = FencingGate::fenced(41);
    assert_eq!(gate.permit(rental("r", 3), None), Err(GateError::NoProof));
    let other = gate.permit(rental("r", 3), Some(durable(40))).unwrap_err();
    assert_eq!(other, GateError::OtherToken { key: key("r"), given: 40, own: 41 });
    let changed = gate.permit(rental("r", 4), Some(durable(41))).unwrap_err();
    assert_eq!(changed, GateError::OtherAction { key: key("r") });
    assert_eq!(gate.counts().refused, 3);
    assert_eq!(FencingGate::unfenced(41).permit(rental("r", 3), None).unwrap().basis(), Basis::Unfenced);
}

#[test]
fn a_key_is_for_one_action_for_ever() {
    let mut log = IntentLog::new(41, LIMITS);
    log.intend(key("r"), rental("r", 3), 5).unwrap();
    assert_eq!(log.intend(key("r"), rental("r", 3), 9), Ok(IntentAdmission::Repeat));
    let reused = IntentError::KeyReused { key: key("r") };
    assert_eq!(log.intend(key("r"), rental("r", 4), 9), Err(reused.clone()));
    write(&mut log, WriteOutcome::Committed { revision: 9 });
    log.issue(&key("r")).unwrap();
    log.confirm(&key("r")).unwrap();
    assert_eq!(log.intend(key("r"), rental("r", 4), 9), Err(reused));
    assert_eq!(log.intend(key("r"), rental("r", 3), 9), Ok(IntentAdmission::Repeat));
    assert!(log.intent(&key("r")).is_none(), "an intent that is over began again");
    assert!(log.next_key() != log.next_key());
}

#[test]
fn records_of_what_is_over_go() {
    let mut log = IntentLog::new(41, LIMITS);
    for name in ["a", "b"] {
        log.intend(key(name), rental(name, 1), 5).unwrap();
    }
    write(&mut log, WriteOutcome::Committed { revision: 9 });
    for name in ["a", "b"] {
        log.issue(&key(name)).unwrap();
    }
    log.confirm(&key("a")).unwrap();
    assert!(log.needs_compaction() && !log.has_unrecorded());
    let (changes, _) = write(&mut log, WriteOutcome::Committed { revision: 10 });
    assert_eq!(
        (changes[0].expected, changes[0].value.as_ref().unwrap().contains("\"key\":\"a\"")),
        (9, false)
    );
    log.confirm(&key("b")).unwrap();
    let (changes, _) = write(&mut log, WriteOutcome::Committed { revision: 11 });
    assert_eq!(changes, vec![IntentPageWrite { page: changes[0].page, expected: 10, value: None }]);
    assert!(!log.needs_compaction());
    assert_eq!(log.summary().pages, 0);
}

#[test]
fn the_next_holder_finishes_what_was_open() {
    let mut old = IntentLog::new(41, LIMITS);
    old.intend(key("r"), rental("r", 3), 5).unwrap();
    old.intend(key("b"), instance_return(&["i-1", "i-2"], ReturnReason::Reclaim), 6).unwrap();
    let (changes, _) = write(&mut old, WriteOutcome::Committed { revision: 9 });
    let (stored, value) = (changes[0].page.key(), changes[0].value.clone().unwrap());

    let mut new = IntentLog::new(60, LIMITS);
    assert_eq!(new.load_former_page(&stored, &value, 9), Vec::new());
    let adopted: Vec<&Intent> = new.adopted().collect();
    assert_eq!(adopted.len(), 2);
    assert!(adopted.iter().all(|intent| intent.token == 41 && intent.state() == IntentState::Adopted));
    assert!(!new.needs_compaction(), "open intents of a former holder were to be removed");
    for name in ["r", "b"] {
        let (action, proof) = new.issue(&key(name)).unwrap();
        assert!(FencingGate::fenced(60).permit(action, Some(proof)).is_ok());
        assert_eq!(new.begin_write(4, true), None);
        new.confirm(&key(name)).unwrap();
    }
    let (changes, _) = write(&mut new, WriteOutcome::Committed { revision: 70 });
    assert_eq!(changes[0].page, PageId { token: 41, number: 0 });
    assert_eq!((changes[0].expected, &changes[0].value), (9, &None));

    // Read once more, since reading failed halfway: nothing is there twice.
    let mut again = IntentLog::new(60, LIMITS);
    for _ in 0..2 {
        again.discard_former_pages();
        assert_eq!(again.load_former_page(&stored, &value, 9), Vec::new());
    }
    assert_eq!(again.adopted().count(), 2);
    // A page of a later holder: this one leads no more.
    let later = IntentLog::new(40, LIMITS).load_former_page(&stored, &value, 9);
    assert_eq!(later, vec![RecordError::LaterToken { key: stored }]);
}

#[test]
fn only_a_failed_record_compels_and_only_for_reclaims() {
    let mut log = IntentLog::new(41, LIMITS);
    log.intend(key("reclaim"), instance_return(&["i-1"], ReturnReason::Reclaim), 5).unwrap();
    log.intend(key("surplus"), instance_return(&["i-2"], ReturnReason::Surplus), 5).unwrap();
    assert!(!log.allow_unrecorded_issue(&key("reclaim")), "without an attempt to record it");
    write(&mut log, WriteOutcome::Busy);
    assert!(!log.allow_unrecorded_issue(&key("reclaim")), "the state service is only busy");
    write(&mut log, WriteOutcome::Refused);
    log.clear_recording_failures();
    assert!(!log.allow_unrecorded_issue(&key("reclaim")), "by a failure that is long past");
    write(&mut log, WriteOutcome::Refused);
    assert!(log.allow_unrecorded_issue(&key("reclaim")) && !log.allow_unrecorded_issue(&key("surplus")));
    let (action, proof) = log.issue(&key("reclaim")).unwrap();
    assert_eq!(FencingGate::fenced(41).permit(action, Some(proof)).unwrap().basis(), Basis::Compelled);
}

#[test]
fn records_keep_to_the_limits() {
    let mut log = IntentLog::new(41, LIMITS);
    let names: Vec<String> = (0..100).map(|n| format!("i-{n:06}")).collect();
    let hosts: Vec<Arc<str>> = names.iter().map(|name| Arc::from(name.as_str())).collect();
    let fits = log.return_within_limits(&hosts, ReturnReason::Surplus);
    assert!(fits.machines.len() > 50 && fits.machines.len() < 100, "{}", fits.machines.len());
    log.intend(key("1"), CloudAction::Return(fits), 5).unwrap();
    let whole = CloudAction::Return(InstanceReturn { machines: hosts, reason: ReturnReason::Surplus });
    assert!(matches!(log.intend(key("2"), whole, 5), Err(IntentError::TooLarge { .. })));
    for n in 0..40 {
        log.intend(key(&format!("r{n}")), rental(&format!("r{n}"), 1), 5).unwrap();
    }
    let mut durable = 0;
    for revision in 1.. {
        let (changes, now) = write(&mut log, WriteOutcome::Committed { revision });
        if changes.is_empty() {
            break;
        }
        durable += now.len();
        assert!(changes.len() <= LIMITS.changes);
        assert!(changes.iter().all(|c| c.value.as_ref().unwrap().len() <= LIMITS.value_bytes));
    }
    assert_eq!(durable, 41);
}

#[test]
fn what_cannot_be_read_is_told_and_kept() {
    let good = Intent::intended(key("1.1"), 1, rental("r", 3), 5);
    let page = record::encode([&good].into_iter());
    let longest = "x".repeat(201);
    let broken = [
        page.replace("\"count\":3", "\"count\":4"),
        page.replace("\"count\":3", "\"count\":0"),
        page.replace("\"count\":3", "\"count\":51"),
        page.replace("\"kind\":\"rent\"", "\"kind\":\"scrap\""),
        page.replace("\"key\":\"1.1\"", "\"key\":\"\""),
        page.replace("\"zone\":\"a\"", &format!("\"zone\":\"{longest}\"")),
        page.replace("\"format\":1", "\"format\":2"),
        page.replace("]}", ""),
        "7".into(),
    ];
    for text in &broken {
        let mut log = IntentLog::new(41, LIMITS);
        assert_eq!(log.load_former_page("duty/1/0", text, 9).len(), 1, "{text}");
        assert_eq!(log.adopted().count(), 0, "{text}");
        assert_eq!(log.begin_write(4, true), None, "{text} was to be removed");
    }
    let mut log = IntentLog::new(41, LIMITS);
    for name in ["duty/1", "duty/x/0", "duty/1/0/0", "duty/01/0", "duty/-1/0", "other/1/0"] {
        assert_eq!(log.load_former_page(name, &page, 9), vec![RecordError::Key { key: name.into() }]);
    }
    // The same intent in two pages: the first counts.
    assert_eq!(log.load_former_page("duty/1/0", &page, 9), Vec::new());
    assert!(matches!(&log.load_former_page("duty/2/0", &page, 9)[..], [RecordError::ReusedKey { .. }]));
    assert_eq!(log.adopted().count(), 1);
    // Fields of later versions are passed over.
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

/// The state service of the model: pages with their revisions.
#[derive(Default)]
struct Store {
    pages: BTreeMap<String, (String, u64)>,
    revision: u64,
}

impl Store {
    fn revision_of(&self, page: &PageId) -> u64 {
        self.pages.get(&page.key()).map_or(0, |(_, revision)| *revision)
    }

    fn apply(&mut self, changes: &[IntentPageWrite]) -> WriteOutcome {
        if changes.iter().any(|change| self.revision_of(&change.page) != change.expected) {
            return WriteOutcome::Conflict;
        }
        self.revision += 1;
        for IntentPageWrite { page, value, .. } in changes {
            match value {
                Some(value) => drop(self.pages.insert(page.key(), (value.clone(), self.revision))),
                None => drop(self.pages.remove(&page.key())),
            }
        }
        WriteOutcome::Committed { revision: self.revision }
    }

    fn names(&self, intent: &IdempotencyKey) -> bool {
        self.pages.values().any(|(value, _)| value.contains(&format!("\"key\":\"{intent}\"")))
    }
}

/// Holder after holder over one store that refuses, loses answers and carries writes out
/// late: whatever is issued stands in the store at that moment, until it is confirmed. The
/// last one, whose answers arrive, finishes everything: what a late write of an earlier
/// holder left is its successor's.
#[test]
fn whatever_is_issued_is_in_the_store() {
    let (mut issued, mut adopted) = (0, 0);
    for seed in 0..60 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut store = Store::default();
        for holder in 1..=5u64 {
            let token = holder * 100;
            let mut log = IntentLog::new(token, LIMITS);
            let mut late: Vec<Vec<IntentPageWrite>> = Vec::new();
            for (stored, (value, revision)) in &store.pages {
                assert_eq!(log.load_former_page(stored, value, *revision), Vec::new());
            }
            adopted += log.adopted().count();
            let last = holder == 5;
            for step in 0..if last { 400 } else { rng.random_range(5..60) } {
                if !(last && step > 200) && rng.random_range(0..3) == 0 {
                    let next = log.next_key();
                    log.intend(next.clone(), rental(&next.to_string(), 1), 5).unwrap();
                }
                for page in log.uncertain_pages() {
                    log.page_revision_read(page, store.revision_of(&page));
                }
                if let Some(changes) = log.begin_write(rng.random_range(1..5), rng.random_range(0..4) == 0) {
                    let outcome = match rng.random_range(0..if last { 4 } else { 5 }) {
                        3 => WriteOutcome::Refused,
                        4 if rng.random_range(0..2) == 0 => {
                            late.push(changes);
                            WriteOutcome::Unknown
                        }
                        4 => {
                            store.apply(&changes);
                            WriteOutcome::Unknown
                        }
                        _ => store.apply(&changes),
                    };
                    log.end_write(outcome);
                }
                if rng.random_range(0..8) == 0 {
                    late.pop().map(|changes| store.apply(&changes));
                }
                let open: Vec<IdempotencyKey> = log.open_intents().map(|intent| intent.key.clone()).collect();
                for intent in open {
                    if log.issue(&intent).is_ok() {
                        issued += 1;
                        assert!(store.names(&intent), "seed {seed}: {intent} is issued without a record");
                        if rng.random_range(0..2) == 0 {
                            log.confirm(&intent).unwrap();
                        }
                    }
                }
            }
            if last {
                assert_eq!(log.open_intents().count(), 0, "seed {seed}");
                while let Some(changes) = log.begin_write(4, true) {
                    let outcome = store.apply(&changes);
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
