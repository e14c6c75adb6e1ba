//! An in-memory state service with transactions, leases that expire, and watches.

use crate::request_counts::{RequestCounts, RequestKind};
use hyper::body::Incoming;
use hyper::{Method, Request};
use plankhead::http::{self, Reply};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::Notify;

const MAX_CONNECTIONS: usize = 1_000;
/// The maximum number of keys that one list request returns.
const MAX_ROWS: usize = 1_000;
/// The interval of the check for expired leases.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(50);

#[derive(Debug)]
struct StoredValue {
    value: Value,
    revision: u64,
    lease: Option<u64>,
}

#[derive(Debug)]
struct Lease {
    time_to_live: Duration,
    expires_at: Instant,
}

/// A change of a key, with the event that watches receive.
#[derive(Debug)]
struct StoredChange {
    revision: u64,
    key: String,
    event: Value,
    at: Instant,
}

/// A change of a key. `value` is `None` if the key was deleted.
#[derive(Debug, Clone)]
pub struct KeyChange {
    pub revision: u64,
    pub key: String,
    pub value: Option<Value>,
    pub at: Instant,
}

/// The keys with their history, and the leases.
#[derive(Debug, Default)]
struct Keys {
    rows: BTreeMap<String, StoredValue>,
    history: Vec<StoredChange>,
    revision: u64,
    leases: BTreeMap<u64, Lease>,
}

/// The state service.
#[derive(Debug, Default)]
pub struct KvStore {
    keys: Mutex<Keys>,
    changed: Notify,
}

/// Starts the service and returns its address.
pub async fn start(counts: Arc<RequestCounts>) -> std::io::Result<(SocketAddr, Arc<KvStore>)> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let state = Arc::new(KvStore::default());
    let expiring = state.clone();
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(EXPIRY_INTERVAL).await;
            expiring.expire(Instant::now());
        }
    });
    let serving = state.clone();
    let handle = move |request| handle_request(serving.clone(), counts.clone(), request);
    tokio::spawn(http::serve(listener, MAX_CONNECTIONS, handle));
    Ok((address, state))
}

async fn handle_request(
    state: Arc<KvStore>,
    counts: Arc<RequestCounts>,
    request: Request<Incoming>,
) -> Reply {
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    let query = request.uri().query().unwrap_or_default().to_owned();
    let body = match http::read_body(request, http::MAX_REQUEST).await {
        Ok(body) => serde_json::from_slice(&body).unwrap_or(Value::Null),
        Err(reply) => return reply,
    };
    let parts: Vec<&str> = path.splitn(3, '/').skip(1).collect();
    let (status, body) = match (method, parts.as_slice()) {
        (Method::GET, ["kv"]) => {
            counts.add(RequestKind::StateRead);
            state.list(&query)
        }
        (Method::GET, ["kv", key]) => {
            counts.add(RequestKind::StateRead);
            state.get(key)
        }
        (Method::GET, ["follow"]) => {
            counts.add(RequestKind::StateWatch);
            state.watch(&query).await
        }
        (Method::POST, ["txn"]) => {
            counts.add(RequestKind::StateTransaction);
            state.transaction(&body)
        }
        (method, ["grants", rest @ ..]) => {
            counts.add(RequestKind::StateLease);
            state.lease(&method, rest, &body)
        }
        _ => (400, json!({})),
    };
    Reply { status, body: body.to_string().into_bytes(), retry_after: None }
}

fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}

fn numeric_parameter(query: &str, name: &str) -> u64 {
    parameter(query, name).and_then(|text| text.parse().ok()).unwrap_or_default()
}

impl KvStore {
    fn keys(&self) -> std::sync::MutexGuard<'_, Keys> {
        self.keys.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn revision(&self) -> u64 {
        self.keys().revision
    }

    /// Returns the host that holds the leader's lease.
    pub fn lease_holder(&self) -> Option<String> {
        let keys = self.keys();
        Some(keys.rows.get("lead")?.value["host"].as_str()?.to_owned())
    }

    /// Returns a copy of all changes so far.
    pub fn history(&self) -> Vec<KeyChange> {
        let key_change = |change: &StoredChange| KeyChange {
            revision: change.revision,
            key: change.key.clone(),
            value: change.event.get("write").map(|_| change.event["value"].clone()),
            at: change.at,
        };
        self.keys().history.iter().map(key_change).collect()
    }

    /// Waits until a key with this prefix is written.
    pub async fn wait_for_write(&self, prefix: &str) {
        let before = self.keys().history.len();
        loop {
            let changed = self.changed.notified();
            let is_write =
                |change: &StoredChange| change.key.starts_with(prefix) && change.event.get("write").is_some();
            if self.keys().history[before..].iter().any(is_write) {
                return;
            }
            changed.await;
        }
    }

    fn get(&self, key: &str) -> (u16, Value) {
        let keys = self.keys();
        match keys.rows.get(key) {
            Some(row) => (200, json!({"k": key, "value": row.value, "stamp": row.revision})),
            None => (404, json!({"epoch": keys.revision})),
        }
    }

    fn list(&self, query: &str) -> (u16, Value) {
        let (prefix, after) =
            (parameter(query, "prefix").unwrap_or_default(), parameter(query, "after").unwrap_or_default());
        let keys = self.keys();
        let wanted = keys.rows.iter().filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let found: Vec<Value> = wanted
            .map(|(key, row)| json!({"k": key, "value": row.value, "stamp": row.revision}))
            .take(MAX_ROWS + 1)
            .collect();
        let truncated = found.len() > MAX_ROWS;
        let rows = &found[..found.len().min(MAX_ROWS)];
        (200, json!({"rows": rows, "truncated": truncated, "epoch": keys.revision}))
    }

    async fn watch(&self, query: &str) -> (u16, Value) {
        let prefix = parameter(query, "prefix").unwrap_or_default();
        let after = numeric_parameter(query, "after");
        let deadline =
            tokio::time::Instant::now() + Duration::from_millis(numeric_parameter(query, "waitMs"));
        loop {
            let changed = self.changed.notified();
            {
                let keys = self.keys();
                let first = keys.history.partition_point(|change| change.revision <= after);
                let events: Vec<&Value> = keys.history[first..]
                    .iter()
                    .filter(|change| change.key.starts_with(prefix))
                    .map(|change| &change.event)
                    .collect();
                if !events.is_empty() {
                    return (200, json!({"epoch": keys.revision, "events": events}));
                }
            }
            if tokio::time::timeout_at(deadline, changed).await.is_err() {
                return (200, json!({"epoch": self.keys().revision, "events": []}));
            }
        }
    }

    fn transaction(&self, body: &Value) -> (u16, Value) {
        let mut keys = self.keys();
        let list = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let revision = |key: &str| keys.rows.get(key).map_or(0, |row| row.revision);
        let unmet = |c: &&Value| c["k"].as_str().map(revision) != c["stamp"].as_u64();
        let conditions = list("if");
        let failed: Vec<&Value> = conditions.iter().filter(unmet).map(|c| &c["k"]).collect();
        if !failed.is_empty() {
            return (409, json!({"failed": failed, "epoch": keys.revision}));
        }
        let changes = list("apply");
        let lease_missing = |c: &Value| c["hold"].as_u64().is_some_and(|id| !keys.leases.contains_key(&id));
        if changes.iter().any(lease_missing) {
            return (400, json!({"error": "no such lease"}));
        }
        keys.revision += 1;
        for change in changes {
            keys.apply(change);
        }
        self.changed.notify_waiters();
        (200, json!({"epoch": keys.revision}))
    }

    fn lease(&self, method: &Method, rest: &[&str], body: &Value) -> (u16, Value) {
        let mut keys = self.keys();
        let id = rest.first().and_then(|rest| rest.split('/').next()).and_then(|id| id.parse().ok());
        match (method, id) {
            (&Method::POST, None) => {
                let time_to_live = Duration::from_millis(body["lifeMs"].as_u64().unwrap_or(5_000));
                let id = keys.leases.keys().last().copied().unwrap_or_default() + 1;
                keys.leases.insert(id, Lease { time_to_live, expires_at: Instant::now() + time_to_live });
                (200, json!({"hold": id}))
            }
            (&Method::POST, Some(id)) => match keys.leases.get_mut(&id) {
                Some(lease) => {
                    lease.expires_at = Instant::now() + lease.time_to_live;
                    (200, json!({}))
                }
                None => (404, json!({})),
            },
            (_, id) => {
                let ended = id.is_some_and(|id| keys.end_lease(id));
                drop(keys);
                self.changed.notify_waiters();
                (if ended { 200 } else { 404 }, json!({}))
            }
        }
    }

    fn expire(&self, now: Instant) {
        let mut keys = self.keys();
        let ended: Vec<u64> =
            keys.leases.iter().filter(|(_, l)| l.expires_at <= now).map(|(id, _)| *id).collect();
        for id in &ended {
            keys.end_lease(*id);
        }
        if !ended.is_empty() {
            self.changed.notify_waiters();
        }
    }
}

impl Keys {
    /// Applies one change at the current revision.
    fn apply(&mut self, mut change: Value) {
        let revision = self.revision;
        change["stamp"] = json!(revision);
        if let Some(key) = change["write"].as_str().map(str::to_owned) {
            let lease = change["hold"].as_u64();
            self.rows.insert(key.clone(), StoredValue { value: change["value"].clone(), revision, lease });
            self.record(revision, key, change);
        } else if let Some(key) = change["drop"].as_str().map(str::to_owned) {
            self.rows.remove(&key);
            self.record(revision, key, change);
        }
    }

    fn record(&mut self, revision: u64, key: String, event: Value) {
        self.history.push(StoredChange { revision, key, event, at: Instant::now() });
    }

    /// Ends a lease and deletes the keys that are attached to it. Returns whether the lease existed.
    fn end_lease(&mut self, id: u64) -> bool {
        if self.leases.remove(&id).is_none() {
            return false;
        }
        self.revision += 1;
        let attached = self.rows.iter().filter(|(_, row)| row.lease == Some(id));
        for key in attached.map(|(key, _)| key.clone()).collect::<Vec<_>>() {
            self.apply(json!({"drop": key}));
        }
        true
    }
}
