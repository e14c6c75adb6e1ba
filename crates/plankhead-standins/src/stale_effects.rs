//! Counts the effects that the cloud carried out for nodes that were no longer the leader.
//!
//! The check reads what the stand-ins recorded, and calls none of the code under test. An
//! effect is a rental that provided machines, or the return of a machine that was rented. It is
//! **stale** if, at the revision of the state service at which the cloud carried it out, its
//! sender did not hold the leader's lease, and no record under `duty/` named the rental or the
//! machine. A record counts only if its writer held the lease when it was written: the key of the
//! record contains the revision at which its writer acquired the lease.

use crate::cloud::{Effect, Subject};
use crate::kv_store::KeyChange;
use serde_json::Value;
use std::collections::BTreeMap;

/// The numbers of effects that the check found.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EffectCounts {
    pub effects: usize,
    /// Effects whose sender did not hold the lease.
    pub by_former_leaders: usize,
    pub stale: usize,
    /// The number of times that the lease was acquired.
    pub terms: usize,
}

/// Checks the effects, in the order in which they were carried out.
pub fn check(history: &[KeyChange], effects: &[Effect]) -> EffectCounts {
    let mut rows: BTreeMap<&str, &Value> = BTreeMap::new();
    let mut term = 0;
    let mut next = history.iter().peekable();
    let mut counts = EffectCounts { effects: effects.len(), ..EffectCounts::default() };
    counts.terms = history.iter().filter(|change| change.key == "lead" && change.value.is_some()).count();
    for effect in effects {
        while let Some(change) = next.next_if(|change| change.revision <= effect.revision) {
            if change.key == "lead" {
                term = change.value.as_ref().map_or(0, |_| change.revision);
            }
            let writer_token = change.key.strip_prefix("duty/").and_then(|rest| rest.split('/').next());
            let valid = writer_token.is_none_or(|token| token.parse() == Ok(term));
            match change.value.as_ref().filter(|_| valid) {
                Some(value) => rows.insert(&change.key, value),
                None => rows.remove(change.key.as_str()),
            };
        }
        let holder = rows.get("lead").and_then(|lease| lease["host"].as_str());
        if holder == Some(effect.sender.as_str()) {
            continue;
        }
        counts.by_former_leaders += 1;
        counts.stale += usize::from(!is_recorded(&rows, &effect.subject));
    }
    counts
}

fn is_recorded(rows: &BTreeMap<&str, &Value>, subject: &Subject) -> bool {
    let pages = rows.iter().filter(|(key, _)| key.starts_with("duty/"));
    let mut duties = pages.flat_map(|(_, page)| page["duties"].as_array().into_iter().flatten());
    duties.any(|duty| match (subject, duty["kind"].as_str()) {
        (Subject::Rental(name), Some("rent")) => duty["name"] == name.as_str(),
        (Subject::Machine(name), Some("return" | "reclaim")) => {
            duty["hosts"].as_array().is_some_and(|hosts| hosts.iter().any(|host| host == name.as_str()))
        }
        _ => false,
    })
}
