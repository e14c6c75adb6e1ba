//! The state service of the model.

use crate::before;
use plankhead_core::protocol::{CallError, Condition, KeyValue, KvChange, KvReply, KvRequest, WatchEvent};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

#[derive(Debug, Clone)]
struct StoredValue {
    text: String,
    mod_revision: u64,
    lease: Option<u64>,
}

#[derive(Debug, Default)]
pub struct Kv {
    keys: BTreeMap<String, StoredValue>,
    revision: u64,
    log: Vec<(u64, WatchEvent)>,
    /// The time to live and the expiry of each lease.
    leases: HashMap<u64, (Duration, Duration)>,
    last_lease: u64,
    /// Whether some node runs the previous version, which must be able to read all stored values.
    pub mixed_versions: bool,
    /// The limits on the bytes of a value and the changes of a transaction, once they are lowered.
    limits: Option<(usize, usize)>,
}

impl Kv {
    pub fn new(mixed_versions: bool) -> Self {
        Self { mixed_versions, ..Self::default() }
    }

    pub fn revision(&self) -> u64 {
        self.revision
    }

    pub fn count(&self, prefix: &str) -> usize {
        self.keys.keys().filter(|k| k.starts_with(prefix)).count()
    }

    /// Returns the revision of the last change to a key, if the key exists.
    pub fn mod_revision(&self, key: &str) -> Option<u64> {
        self.keys.get(key).map(|v| v.mod_revision)
    }

    pub fn value(&self, key: &str) -> Option<&str> {
        self.keys.get(key).map(|v| v.text.as_str())
    }

    /// Returns the values of the keys with this prefix.
    pub fn values(&self, prefix: &str) -> impl Iterator<Item = &str> {
        let prefix = prefix.to_owned();
        self.keys.iter().filter(move |(key, _)| key.starts_with(&prefix)).map(|(_, v)| v.text.as_str())
    }

    /// Returns the keys with this prefix, with their values and revisions.
    pub fn rows(&self, prefix: &str) -> Vec<(String, String, u64)> {
        let here = self.keys.iter().filter(|(key, _)| key.starts_with(prefix));
        here.map(|(key, v)| (key.clone(), v.text.clone(), v.mod_revision)).collect()
    }

    /// Returns the number of tasks of the job that have a stored placement in this attempt.
    pub fn placed(&self, id: &str, attempt: u64) -> u32 {
        let prefix = format!("run/{id}/");
        let rows = self.keys.iter().filter(|(k, _)| k.starts_with(&prefix));
        let chunks = rows.map(|(_, v)| serde_json::from_str::<before::ChunkText>(&v.text).unwrap());
        let placed = |t: &&(u32, u64, i32)| t.1 == attempt && t.2 >= 0;
        chunks.map(|c| c.t.iter().filter(placed).count() as u32).sum()
    }

    pub fn apply(&mut self, now: Duration, request: KvRequest) -> Result<KvReply, CallError> {
        Ok(match request {
            KvRequest::Get { key } => KvReply::Value(self.keys.get(&key).map(|v| KeyValue {
                key,
                value: v.text.clone(),
                mod_revision: v.mod_revision,
            })),
            KvRequest::List { prefix, after } => {
                let from = after.unwrap_or_default();
                let mut rows: Vec<KeyValue> = self
                    .keys
                    .iter()
                    .filter(|(k, _)| k.starts_with(&prefix) && **k > from)
                    .map(|(k, v)| KeyValue {
                        key: k.clone(),
                        value: v.text.clone(),
                        mod_revision: v.mod_revision,
                    })
                    .collect();
                let truncated = rows.len() > 20;
                rows.truncate(20);
                KvReply::Page { rows, truncated, revision: self.revision }
            }
            KvRequest::Txn { conditions, changes } => return self.txn(conditions, changes),
            KvRequest::GrantLease { ttl } => {
                self.last_lease += 1;
                self.leases.insert(self.last_lease, (ttl, now + ttl));
                KvReply::LeaseGranted { lease: self.last_lease }
            }
            KvRequest::RenewLease { lease } => match self.leases.get_mut(&lease) {
                Some((ttl, until)) => {
                    *until = now + *ttl;
                    KvReply::LeaseRenewed
                }
                None => KvReply::NoSuchLease,
            },
            KvRequest::RevokeLease { lease } => {
                self.revoke(lease);
                KvReply::LeaseRenewed
            }
            KvRequest::Watch { prefix, after, .. } => self.changes(&prefix, after),
        })
    }

    /// Lowers the limits on values and transactions.
    pub fn lower_limits(&mut self) {
        self.limits = Some((1024, 4));
    }

    fn txn(&mut self, conditions: Vec<Condition>, changes: Vec<KvChange>) -> Result<KvReply, CallError> {
        let unknown =
            |c: &KvChange| matches!(c, KvChange::Put { lease: Some(h), .. } if !self.leases.contains_key(h));
        if changes.iter().any(unknown) {
            return Ok(KvReply::NoSuchLease);
        }
        let (value_bytes, txn_ops) = self.limits.unwrap_or((8192, 8));
        let size = |c: &KvChange| if let KvChange::Put { value, .. } = c { value.len() } else { 0 };
        if changes.len() > txn_ops || changes.iter().any(|c| size(c) > value_bytes) {
            panic!("transaction exceeds the limits");
        }
        let mod_revision = |k: &str| self.keys.get(k).map_or(0, |v| v.mod_revision);
        let failed: Vec<String> = conditions
            .iter()
            .filter(|c| mod_revision(&c.key) != c.mod_revision)
            .map(|c| c.key.clone())
            .collect();
        if !failed.is_empty() {
            return Ok(KvReply::Conflict { failed });
        }
        assert!(conditions.len() <= 4 * txn_ops, "transaction exceeds the limits");
        // Without changes, a transaction only compares.
        self.revision += u64::from(!changes.is_empty());
        for change in changes {
            match change {
                KvChange::Put { key, value, lease } => {
                    assert!(
                        !self.mixed_versions || before::reads(&key, &value),
                        "the previous version misreads {key}: {value}"
                    );
                    let row =
                        KeyValue { key: key.clone(), value: value.clone(), mod_revision: self.revision };
                    self.log.push((self.revision, WatchEvent::Put(row)));
                    self.keys.insert(key, StoredValue { text: value, mod_revision: self.revision, lease });
                }
                KvChange::Delete { key } => self.delete_key(key),
            }
        }
        Ok(KvReply::Committed { revision: self.revision })
    }

    fn delete_key(&mut self, key: String) {
        if self.keys.remove(&key).is_some() {
            self.log.push((self.revision, WatchEvent::Delete { key, revision: self.revision }));
        }
    }

    fn revoke(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let held: Vec<String> =
            self.keys.iter().filter(|(_, v)| v.lease == Some(lease)).map(|(k, _)| k.clone()).collect();
        if !held.is_empty() {
            self.revision += 1;
        }
        for key in held {
            self.delete_key(key);
        }
    }

    /// Revokes the expired leases, and returns whether there were any.
    pub fn expire_leases(&mut self, now: Duration) -> bool {
        let over: Vec<u64> =
            self.leases.iter().filter(|(_, (_, until))| *until <= now).map(|(h, _)| *h).collect();
        for lease in &over {
            self.revoke(*lease);
        }
        !over.is_empty()
    }

    /// Restarts the full time of each lease. It is called during outages, in which no lease expires.
    pub fn extend_leases(&mut self, now: Duration) {
        for (ttl, until) in self.leases.values_mut() {
            *until = now + *ttl;
        }
    }

    pub fn has_changes(&self, prefix: &str, after: u64) -> bool {
        self.log.iter().rev().take_while(|(at, _)| *at > after).any(|(_, e)| matches(e, prefix))
    }

    pub fn changes(&self, prefix: &str, after: u64) -> KvReply {
        let events =
            self.log.iter().filter(|(at, e)| *at > after && matches(e, prefix)).map(|(_, e)| e.clone());
        KvReply::Events { revision: self.revision, events: events.collect() }
    }
}

fn matches(event: &WatchEvent, prefix: &str) -> bool {
    match event {
        WatchEvent::Put(row) => row.key.starts_with(prefix),
        WatchEvent::Delete { key, .. } => key.starts_with(prefix),
    }
}
