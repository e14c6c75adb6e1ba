//! Probes of links to the state service that are failing and carry no other calls.

use crate::calls::{CallPurpose, ReachabilityCall};
use crate::effects::EffectSink;
use crate::leadership::election;
use crate::protocol::{Condition, KvChange, KvRequest};
use plankhead_reachability::link::LinkId;
use plankhead_reachability::monitor::Monitor;
use std::time::Duration;

/// The interval at which failing links without other calls are probed. While writes fail, jobs of users
/// are refused, so that no other write would show that the link has recovered.
pub(super) const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// A mod revision that no key ever has. A transaction on the condition of this revision changes nothing, but
/// its reply, a conflict, shows that the link for writes works.
const IMPOSSIBLE_REVISION: u64 = u64::MAX / 2;

/// Probes the links for reads and writes that need it.
pub(super) fn send_probes(monitor: &Monitor, now: Duration, effects: &mut EffectSink) {
    let probe = CallPurpose::Reachability(ReachabilityCall::Probe);
    if monitor.needs_probe(LinkId::KvReads, now) {
        effects.call_kv(probe.clone(), KvRequest::Get { key: election::KEY.into() });
    }
    if monitor.needs_probe(LinkId::KvWrites, now) {
        let conditions = vec![Condition { key: election::KEY.into(), mod_revision: IMPOSSIBLE_REVISION }];
        let changes = vec![KvChange::Delete { key: election::KEY.into() }];
        effects.call_kv(probe, KvRequest::Txn { conditions, changes });
    }
}
