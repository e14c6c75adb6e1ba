//! A cloud with one machine type in one zone.

use crate::kv_store::KvStore;
use crate::workers::{self, Workers};
use crate::LoadArgs;
use hyper::body::Incoming;
use hyper::{Method, Request};
use plankhead::http::{self, Reply};
use rand::RngExt;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::watch;

const MAX_CONNECTIONS: usize = 100;

#[derive(Debug, Default)]
struct Inventory {
    /// The rented machines by number, with the times of their rentals.
    machines: BTreeMap<usize, Instant>,
    /// The names of the machines that each rental provided, by the name of the rental.
    rentals: BTreeMap<String, Vec<String>>,
    last_number: usize,
}

/// The rental or the machine that an effect concerns.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Subject {
    Rental(String),
    Machine(String),
}

/// An effect that the cloud carried out: it provided the machines of a rental, or took one machine
/// back.
#[derive(Debug, Clone)]
pub struct Effect {
    /// The controller that sent the request.
    pub sender: String,
    pub subject: Subject,
    /// The revision of the state service when the effect was carried out.
    pub revision: u64,
    pub at: Instant,
}

/// The cloud, with a record of its effects.
#[derive(Debug)]
pub struct Cloud {
    max_machines: usize,
    boot_time: Duration,
    /// The minimum and maximum delay in seconds before a request is carried out.
    delay_s: (f64, f64),
    workers: Arc<Workers>,
    state: Arc<KvStore>,
    inventory: Mutex<Inventory>,
    effects: Mutex<Vec<Effect>>,
    /// The controller that sent the latest request for a rental or a return.
    last_caller: watch::Sender<String>,
}

/// Starts the cloud with a separate address for each controller, by which it identifies the sender
/// of a request.
pub async fn start(
    addresses: &[SocketAddr],
    args: &LoadArgs,
    workers: Arc<Workers>,
    state: Arc<KvStore>,
) -> std::io::Result<Arc<Cloud>> {
    let cloud = Arc::new(Cloud {
        max_machines: args.machines,
        boot_time: Duration::from_secs_f64(args.boot_s),
        delay_s: (args.cloud_delay_least_s, args.cloud_delay_s.max(args.cloud_delay_least_s)),
        workers,
        state,
        inventory: Mutex::default(),
        effects: Mutex::default(),
        last_caller: watch::Sender::default(),
    });
    for (number, address) in addresses.iter().enumerate() {
        let listener = TcpListener::bind(address).await?;
        let (cloud, sender) = (cloud.clone(), format!("plank-{number}"));
        let handle = move |request| handle_request(cloud.clone(), sender.clone(), request);
        tokio::spawn(http::serve(listener, MAX_CONNECTIONS, handle));
    }
    Ok(cloud)
}

async fn handle_request(cloud: Arc<Cloud>, sender: String, request: Request<Incoming>) -> Reply {
    let (method, path) = (request.method().clone(), request.uri().path().to_owned());
    let second_page = request.uri().query().unwrap_or_default().contains("after=");
    let body = match http::read_body(request, http::MAX_REQUEST).await {
        Ok(body) => serde_json::from_slice(&body).unwrap_or(Value::Null),
        Err(reply) => return reply,
    };
    if method == Method::POST {
        cloud.last_caller.send_replace(sender.clone());
        // The delay simulates a slow network, in which a request may be carried out long after its
        // sender was paused.
        let (min_s, max_s) = cloud.delay_s;
        let delay = rand::rng().random_range(min_s..=max_s);
        tokio::time::sleep(Duration::from_secs_f64(delay)).await;
    }
    let (status, body) = match (method, path.as_str()) {
        (Method::GET, "/catalog") => (200, cloud.catalog()),
        (Method::GET, "/hosts") => (200, cloud.list(second_page)),
        (Method::POST, "/hosts/release") => (200, cloud.release(&sender, &body)),
        (Method::POST, "/hosts") => cloud.rent(&sender, &body),
        _ => (404, json!({})),
    };
    Reply { status, body: body.to_string().into_bytes(), retry_after: None }
}

impl Cloud {
    fn inventory(&self) -> std::sync::MutexGuard<'_, Inventory> {
        self.inventory.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a copy of all effects so far.
    pub fn effects(&self) -> Vec<Effect> {
        self.effects.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Waits for the next request for a rental or a return, and returns the controller that sent it.
    pub async fn next_caller(&self) -> Option<String> {
        let mut callers = self.last_caller.subscribe();
        callers.changed().await.ok()?;
        let caller = callers.borrow().clone();
        Some(caller)
    }

    fn record_effect(&self, sender: &str, subject: Subject) {
        let revision = self.state.revision();
        let effect = Effect { sender: sender.into(), subject, revision, at: Instant::now() };
        self.effects.lock().unwrap_or_else(PoisonError::into_inner).push(effect);
    }

    fn catalog(&self) -> Value {
        json!({"rigs": [{"label": workers::MACHINE_TYPE, "cpus": 16, "gpus": 0, "ramGb": 128, "localGb": 50,
            "pullGbPerS": 0.8, "rate": 1.0, "marketPrice": 0.3, "readyS": self.boot_time.as_secs_f64(),
            "yards": [workers::ZONE]}]})
    }

    fn list(&self, second_page: bool) -> Value {
        let inventory = self.inventory();
        let row = |(number, since): (&usize, &Instant)| {
            json!({"nameId": workers::name(*number), "address": workers::address(*number, self.workers.port),
                "rig": workers::MACHINE_TYPE, "yard": workers::ZONE, "loaners": true, "status": "running",
                "heldS": since.elapsed().as_secs_f64()})
        };
        // A request with `after` returns the second page of 500 machines, which is the last one.
        let skipped = if second_page { 500 } else { 0 };
        let hosts: Vec<Value> = inventory.machines.iter().skip(skipped).take(500).map(row).collect();
        json!({"hosts": hosts, "truncated": !second_page && inventory.machines.len() > 500})
    }

    fn rent(&self, sender: &str, body: &Value) -> (u16, Value) {
        let request = body["hire"].as_str().unwrap_or_default().to_owned();
        let mut inventory = self.inventory();
        if let Some(hosts) = inventory.rentals.get(&request) {
            return (200, json!({ "hosts": hosts }));
        }
        let spot = body["loaners"].as_bool().unwrap_or_default();
        let available = if spot { self.max_machines.saturating_sub(inventory.machines.len()) } else { 0 };
        let count = available.min(body["number"].as_u64().unwrap_or_default() as usize);
        if count == 0 {
            return (503, json!({"error": "no capacity"}));
        }
        let first = inventory.last_number + 1;
        inventory.last_number += count;
        for number in first..first + count {
            inventory.machines.insert(number, Instant::now());
            self.workers.boot(number, self.boot_time);
        }
        let names: Vec<String> = (first..first + count).map(workers::name).collect();
        self.record_effect(sender, Subject::Rental(request.clone()));
        inventory.rentals.insert(request, names.clone());
        (200, json!({ "hosts": names }))
    }

    fn release(&self, sender: &str, body: &Value) -> Value {
        let mut inventory = self.inventory();
        let names = body["hosts"].as_array().cloned().unwrap_or_default();
        for number in names.iter().filter_map(Value::as_str).filter_map(workers::number) {
            if inventory.machines.remove(&number).is_some() {
                self.record_effect(sender, Subject::Machine(workers::name(number)));
            }
            self.workers.stop(number);
        }
        json!({})
    }
}
