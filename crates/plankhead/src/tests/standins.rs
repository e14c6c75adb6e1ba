//! Stand-ins for the state service, the cloud and workers. They use the published protocol on loopback.

use crate::http::{self, Client, Reply};
use hyper::body::Incoming;
use hyper::{Method, Request};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;

/// The state of the stand-ins.
#[derive(Debug, Default)]
pub struct StandInState {
    keys: BTreeMap<String, (Value, u64)>,
    log: Vec<(u64, Value)>,
    epoch: u64,
    /// Whether the state service refuses all requests except watches.
    pub kv_unavailable: bool,
    /// The number of upcoming transactions that are committed but get a malformed reply.
    pub malformed_commit_replies: u32,
    /// The machines that can still be rented, with their addresses.
    pub machines: Vec<(String, SocketAddr)>,
    /// The rented machines by the name of the rental.
    rentals: BTreeMap<String, Vec<String>>,
    pub released: BTreeSet<String>,
}

impl StandInState {
    /// Writes a key, as another node would.
    pub fn write_key(&mut self, key: &str, value: Value) {
        self.epoch += 1;
        self.keys.insert(key.into(), (value, self.epoch));
    }
}

pub type SharedState = Arc<Mutex<StandInState>>;

fn ok(value: Value) -> Reply {
    Reply { status: 200, body: value.to_string().into_bytes(), retry_after: None }
}

fn reply(status: u16, value: Value) -> Reply {
    Reply { status, body: value.to_string().into_bytes(), retry_after: None }
}

fn query(request: &Request<Incoming>, name: &str) -> Option<String> {
    let pairs = request.uri().query().unwrap_or("").split('&');
    pairs.filter_map(|p| p.split_once('=')).find(|(k, _)| *k == name).map(|(_, v)| v.to_owned())
}

async fn serve_kv(state: SharedState, request: Request<Incoming>) -> Reply {
    let (method, path) = (request.method().clone(), request.uri().path().to_owned());
    if state.lock().unwrap().kv_unavailable && path != "/follow" {
        return reply(503, json!({"error": "unavailable"}));
    }
    match (method, path.as_str()) {
        (Method::GET, "/kv") => {
            let (prefix, after) =
                (query(&request, "prefix").unwrap(), query(&request, "after").unwrap_or_default());
            let state = state.lock().unwrap();
            let rows: Vec<Value> = state
                .keys
                .iter()
                .filter(|(k, _)| k.starts_with(&prefix) && **k > after)
                .map(|(k, (v, s))| json!({"k": k, "value": v, "stamp": s}))
                .collect();
            ok(json!({"rows": rows, "truncated": false, "epoch": state.epoch}))
        }
        (Method::GET, "/follow") => {
            let (prefix, after) = (query(&request, "prefix").unwrap(), query(&request, "after").unwrap());
            let after: u64 = after.parse().unwrap();
            for _ in 0..10 {
                {
                    let state = state.lock().unwrap();
                    let key = |e: &Value| {
                        e.get("write").or(e.get("drop")).and_then(Value::as_str).unwrap().to_owned()
                    };
                    let is_new = |(at, e): &&(u64, Value)| *at > after && key(e).starts_with(&prefix);
                    let events: Vec<Value> =
                        state.log.iter().filter(is_new).map(|(_, e)| e.clone()).collect();
                    if !events.is_empty() && !state.kv_unavailable {
                        return ok(json!({"epoch": state.epoch, "events": events}));
                    }
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            let epoch = state.lock().unwrap().epoch;
            ok(json!({"epoch": epoch, "events": []}))
        }
        (Method::GET, key) => {
            let key = key.trim_start_matches("/kv/");
            let state = state.lock().unwrap();
            match state.keys.get(key) {
                Some((v, s)) => ok(json!({"k": key, "value": v, "stamp": s})),
                None => reply(404, json!({"epoch": state.epoch})),
            }
        }
        (Method::POST, "/txn") => {
            let body: Value =
                serde_json::from_slice(&http::read_body(request, 1 << 16).await.unwrap()).unwrap();
            let mut state = state.lock().unwrap();
            let stamp = |k: &str| state.keys.get(k).map_or(0, |(_, s)| *s);
            let is_unmet = |c: &&Value| stamp(c["k"].as_str().unwrap()) != c["stamp"].as_u64().unwrap();
            let failed: Vec<Value> =
                body["if"].as_array().unwrap().iter().filter(is_unmet).map(|c| c["k"].clone()).collect();
            if !failed.is_empty() {
                return reply(409, json!({"failed": failed, "epoch": state.epoch}));
            }
            state.epoch += 1;
            let epoch = state.epoch;
            for change in body["apply"].as_array().unwrap() {
                let mut event = change.clone();
                event["stamp"] = json!(epoch);
                state.log.push((epoch, event));
                match (change["write"].as_str(), change["drop"].as_str()) {
                    (Some(k), _) => drop(state.keys.insert(k.into(), (change["value"].clone(), epoch))),
                    (_, Some(k)) => drop(state.keys.remove(k)),
                    _ => panic!("unknown change"),
                }
            }
            if state.malformed_commit_replies > 0 {
                state.malformed_commit_replies -= 1;
                return ok(json!("malformed"));
            }
            ok(json!({"epoch": epoch}))
        }
        (Method::POST, "/grants") => ok(json!({"hold": 1})),
        _ => ok(json!({})),
    }
}

async fn serve_cloud(state: SharedState, request: Request<Incoming>) -> Reply {
    let (method, path) = (request.method().clone(), request.uri().path().to_owned());
    match (method, path.as_str()) {
        (Method::GET, "/catalog") => ok(json!({"rigs": [{"label": "r", "cpus": 4, "gpus": 0, "ramGb": 16,
            "localGb": 10, "pullGbPerS": 1.0, "rate": 1.0, "marketPrice": 0.3, "readyS": 1, "yards": ["a"]}]})),
        (Method::GET, "/hosts") => ok(json!({"hosts": [], "truncated": false})),
        (Method::POST, path) => {
            let body: Value =
                serde_json::from_slice(&http::read_body(request, 1 << 16).await.unwrap()).unwrap();
            let mut state = state.lock().unwrap();
            if path == "/hosts/release" {
                let names = body["hosts"].as_array().unwrap().iter().map(|h| h.as_str().unwrap().to_owned());
                state.released.extend(names);
                return ok(json!({}));
            }
            let rental = body["hire"].as_str().unwrap().to_owned();
            if let Some(hosts) = state.rentals.get(&rental) {
                return ok(json!({ "hosts": hosts }));
            }
            let Some((name, _)) = state.machines.pop() else {
                return reply(503, json!({"error": "no capacity"}));
            };
            state.rentals.insert(rental, vec![name.clone()]);
            ok(json!({"hosts": [name]}))
        }
        _ => reply(404, json!({})),
    }
}

/// A worker on which every task runs until its third heartbeat and then succeeds.
#[derive(Debug, Default)]
pub struct Worker {
    tick: u64,
    token: u64,
    tasks: BTreeMap<(String, u64), (&'static str, u32)>,
    pub starts: u32,
}

impl Worker {
    fn heartbeat(&mut self, name: &str, address: SocketAddr) -> Value {
        self.tick += 1;
        for (status, age) in self.tasks.values_mut() {
            *age += 1;
            if *status == "running" && *age > 2 {
                *status = "done";
            }
        }
        let piece = |((piece, attempt), (status, _)): (&(String, u64), &(&str, u32))| match *status {
            "running" => json!({"piece": piece, "try": attempt, "status": "running"}),
            cause => json!({"piece": piece, "try": attempt, "status": "ended", "cause": cause}),
        };
        let pieces: Vec<Value> = self.tasks.iter().map(piece).collect();
        json!({"host": name, "address": address.to_string(), "rig": "r", "yard": "a", "loaners": true,
            "shift": 1, "tick": self.tick, "baton": self.token, "warningS": null, "pieces": pieces})
    }

    /// Carries out the commands in a response to a heartbeat or in a direct request.
    fn carry_out(&mut self, body: &Value) {
        self.token = self.token.max(body["baton"].as_u64().unwrap());
        for order in body["orders"].as_array().unwrap() {
            let key = (order["piece"].as_str().unwrap().to_owned(), order["try"].as_u64().unwrap());
            match order["verb"].as_str().unwrap() {
                "run" if !self.tasks.contains_key(&key) => {
                    self.starts += 1;
                    self.tasks.insert(key, ("running", 0));
                }
                "kill" => {
                    if let Some(task) = self.tasks.get_mut(&key).filter(|t| t.0 == "running") {
                        task.0 = "stopped";
                    }
                }
                "reap" => drop(self.tasks.remove(&key)),
                _ => {}
            }
        }
    }
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Starts the stand-ins. Returns their state and the addresses of the state service and the cloud.
pub async fn start_servers() -> (SharedState, SocketAddr, SocketAddr) {
    let state = SharedState::default();
    let ((kv_listener, kv_address), (cloud_listener, cloud_address)) = (listen().await, listen().await);
    let (kv_state, cloud_state) = (state.clone(), state.clone());
    tokio::spawn(http::serve(kv_listener, 100, move |r| serve_kv(kv_state.clone(), r)));
    tokio::spawn(http::serve(cloud_listener, 100, move |r| serve_cloud(cloud_state.clone(), r)));
    (state, kv_address, cloud_address)
}

/// Starts a machine that the cloud can rent. Its worker sends heartbeats once the machine is rented.
pub async fn start_machine(state: &SharedState, name: &'static str, api: SocketAddr) -> Arc<Mutex<Worker>> {
    let worker = Arc::new(Mutex::new(Worker::default()));
    let (listener, address) = listen().await;
    state.lock().unwrap().machines.push((name.into(), address));
    let (direct_worker, heartbeat_worker, shared) = (worker.clone(), worker.clone(), state.clone());
    let handle = move |request: Request<Incoming>| {
        let worker = direct_worker.clone();
        async move {
            if request.uri().path() == "/inspect" {
                return ok(worker.lock().unwrap().heartbeat(name, address));
            }
            let body: Value =
                serde_json::from_slice(&http::read_body(request, 1 << 16).await.unwrap()).unwrap();
            let mut worker = worker.lock().unwrap();
            worker.carry_out(&body);
            ok(worker.heartbeat(name, address))
        }
    };
    tokio::spawn(http::serve(listener, 10, handle));
    tokio::spawn(async move {
        let client = Client::new(api);
        loop {
            tokio::time::sleep(Duration::from_millis(50)).await;
            if shared.lock().unwrap().rentals.values().flatten().all(|n| n != name) {
                continue;
            }
            let heartbeat =
                heartbeat_worker.lock().unwrap().heartbeat(name, address).to_string().into_bytes();
            let answer = client.call(Method::POST, "/agent/beat", heartbeat, Duration::from_secs(4)).await;
            if let Ok((status, body)) = answer {
                if status == 200 {
                    heartbeat_worker.lock().unwrap().carry_out(&serde_json::from_slice(&body).unwrap());
                }
            }
        }
    });
    worker
}
