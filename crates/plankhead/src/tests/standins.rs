//! Our own stand-ins for the outside, by the published protocol, on loopback.

use crate::http::{self, Client, Reply};
use hyper::body::Incoming;
use hyper::{Method, Request};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;

/// Everything outside the service.
#[derive(Debug, Default)]
pub struct World {
    keys: BTreeMap<String, (Value, u64)>,
    log: Vec<(u64, Value)>,
    epoch: u64,
    /// The state service refuses everything.
    pub down: bool,
    /// Commits whose answer is strange, to be taken for lost.
    pub garbled: u32,
    machines: Vec<(String, SocketAddr)>,
    hires: BTreeMap<String, Vec<String>>,
    pub released: BTreeSet<String>,
}

impl World {
    /// What somebody else writes.
    pub fn write(&mut self, key: &str, value: Value) {
        self.epoch += 1;
        self.keys.insert(key.into(), (value, self.epoch));
    }
}

pub type Shared = Arc<Mutex<World>>;

fn ok(value: Value) -> Reply {
    Reply { status: 200, body: value.to_string().into_bytes(), retry: None }
}

fn reply(status: u16, value: Value) -> Reply {
    Reply { status, body: value.to_string().into_bytes(), retry: None }
}

fn query(request: &Request<Incoming>, name: &str) -> Option<String> {
    let pairs = request.uri().query().unwrap_or("").split('&');
    pairs.filter_map(|p| p.split_once('=')).find(|(k, _)| *k == name).map(|(_, v)| v.to_owned())
}

async fn state(world: Shared, request: Request<Incoming>) -> Reply {
    let (method, path) = (request.method().clone(), request.uri().path().to_owned());
    if world.lock().unwrap().down && path != "/follow" {
        return reply(503, json!({"error": "trouble"}));
    }
    match (method, path.as_str()) {
        (Method::GET, "/kv") => {
            let (prefix, after) =
                (query(&request, "prefix").unwrap(), query(&request, "after").unwrap_or_default());
            let world = world.lock().unwrap();
            let rows: Vec<Value> = world
                .keys
                .iter()
                .filter(|(k, _)| k.starts_with(&prefix) && **k > after)
                .map(|(k, (v, s))| json!({"k": k, "value": v, "stamp": s}))
                .collect();
            ok(json!({"rows": rows, "truncated": false, "epoch": world.epoch}))
        }
        (Method::GET, "/follow") => {
            let (prefix, after) = (query(&request, "prefix").unwrap(), query(&request, "after").unwrap());
            let after: u64 = after.parse().unwrap();
            for _ in 0..10 {
                {
                    let world = world.lock().unwrap();
                    let key = |e: &Value| {
                        e.get("write").or(e.get("drop")).and_then(Value::as_str).unwrap().to_owned()
                    };
                    let news = |(at, e): &&(u64, Value)| *at > after && key(e).starts_with(&prefix);
                    let events: Vec<Value> = world.log.iter().filter(news).map(|(_, e)| e.clone()).collect();
                    if !events.is_empty() && !world.down {
                        return ok(json!({"epoch": world.epoch, "events": events}));
                    }
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            let epoch = world.lock().unwrap().epoch;
            ok(json!({"epoch": epoch, "events": []}))
        }
        (Method::GET, key) => {
            let key = key.trim_start_matches("/kv/");
            let world = world.lock().unwrap();
            match world.keys.get(key) {
                Some((v, s)) => ok(json!({"k": key, "value": v, "stamp": s})),
                None => reply(404, json!({"epoch": world.epoch})),
            }
        }
        (Method::POST, "/txn") => {
            let body: Value = serde_json::from_slice(&http::body(request, 1 << 16).await.unwrap()).unwrap();
            let mut world = world.lock().unwrap();
            let stamp = |k: &str| world.keys.get(k).map_or(0, |(_, s)| *s);
            let unmet = |c: &&Value| stamp(c["k"].as_str().unwrap()) != c["stamp"].as_u64().unwrap();
            let failed: Vec<Value> =
                body["if"].as_array().unwrap().iter().filter(unmet).map(|c| c["k"].clone()).collect();
            if !failed.is_empty() {
                return reply(409, json!({"failed": failed, "epoch": world.epoch}));
            }
            world.epoch += 1;
            let epoch = world.epoch;
            for change in body["apply"].as_array().unwrap() {
                let mut event = change.clone();
                event["stamp"] = json!(epoch);
                world.log.push((epoch, event));
                match (change["write"].as_str(), change["drop"].as_str()) {
                    (Some(k), _) => drop(world.keys.insert(k.into(), (change["value"].clone(), epoch))),
                    (_, Some(k)) => drop(world.keys.remove(k)),
                    _ => panic!("a strange change"),
                }
            }
            if world.garbled > 0 {
                world.garbled -= 1;
                return ok(json!("what?"));
            }
            ok(json!({"epoch": epoch}))
        }
        (Method::POST, "/grants") => ok(json!({"hold": 1})),
        _ => ok(json!({})),
    }
}

async fn cloud(world: Shared, request: Request<Incoming>) -> Reply {
    let (method, path) = (request.method().clone(), request.uri().path().to_owned());
    match (method, path.as_str()) {
        (Method::GET, "/catalog") => ok(json!({"rigs": [{"label": "r", "cpus": 4, "gpus": 0, "ramGb": 16,
            "localGb": 10, "pullGbPerS": 1.0, "rate": 1.0, "marketPrice": 0.3, "readyS": 1, "yards": ["a"]}]})),
        (Method::GET, "/hosts") => ok(json!({"hosts": [], "truncated": false})),
        (Method::POST, path) => {
            let body: Value = serde_json::from_slice(&http::body(request, 1 << 16).await.unwrap()).unwrap();
            let mut world = world.lock().unwrap();
            if path == "/hosts/release" {
                let names = body["hosts"].as_array().unwrap().iter().map(|h| h.as_str().unwrap().to_owned());
                world.released.extend(names);
                return ok(json!({}));
            }
            let hire = body["hire"].as_str().unwrap().to_owned();
            if let Some(hosts) = world.hires.get(&hire) {
                return ok(json!({ "hosts": hosts }));
            }
            let Some((name, _)) = world.machines.pop() else {
                return reply(503, json!({"error": "no capacity"}));
            };
            world.hires.insert(hire, vec![name.clone()]);
            ok(json!({"hosts": [name]}))
        }
        _ => reply(404, json!({})),
    }
}

/// A worker that runs every task for a moment.
#[derive(Debug, Default)]
pub struct Worker {
    tick: u64,
    token: u64,
    tasks: BTreeMap<(String, u64), (&'static str, u32)>,
    pub starts: u32,
}

impl Worker {
    fn report(&mut self, name: &str, address: SocketAddr) -> Value {
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

    fn obey(&mut self, body: &Value) {
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

/// Starts the outside; returns the addresses of the state service and the cloud.
pub async fn start() -> (Shared, SocketAddr, SocketAddr) {
    let world = Shared::default();
    let ((states, state_at), (clouds, cloud_at)) = (listen().await, listen().await);
    let (a, b) = (world.clone(), world.clone());
    tokio::spawn(http::serve(states, 100, move |r| state(a.clone(), r)));
    tokio::spawn(http::serve(clouds, 100, move |r| cloud(b.clone(), r)));
    (world, state_at, cloud_at)
}

/// Starts a machine that the cloud can rent, whose worker reports at once.
pub async fn machine(world: &Shared, name: &'static str, api: SocketAddr) -> Arc<Mutex<Worker>> {
    let worker = Arc::new(Mutex::new(Worker::default()));
    let (listener, address) = listen().await;
    world.lock().unwrap().machines.push((name.into(), address));
    let (direct, beats, shared) = (worker.clone(), worker.clone(), world.clone());
    let handle = move |request: Request<Incoming>| {
        let worker = direct.clone();
        async move {
            let body: Value = serde_json::from_slice(&http::body(request, 1 << 16).await.unwrap()).unwrap();
            let mut worker = worker.lock().unwrap();
            worker.obey(&body);
            ok(worker.report(name, address))
        }
    };
    tokio::spawn(http::serve(listener, 10, handle));
    tokio::spawn(async move {
        let client = Client::new(api);
        loop {
            tokio::time::sleep(Duration::from_millis(50)).await;
            if shared.lock().unwrap().hires.values().flatten().all(|n| n != name) {
                continue;
            }
            let report = beats.lock().unwrap().report(name, address).to_string().into_bytes();
            let answer = client.call(Method::POST, "/agent/beat", report, Duration::from_secs(4)).await;
            if let Ok((status, body)) = answer {
                if status == 200 {
                    beats.lock().unwrap().obey(&serde_json::from_slice(&body).unwrap());
                }
            }
        }
    });
    worker
}
