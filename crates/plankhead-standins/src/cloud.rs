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
struct Rented {
    /// Machines by number, with the time of their rental.
    machines: BTreeMap<usize, Instant>,
    requests: BTreeMap<String, Vec<String>>,
    last: usize,
}

/// What an effect was about.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Subject {
    Rental(String),
    Machine(String),
}

/// Something that the cloud did: machines were rented, or one was taken away.
#[derive(Debug, Clone)]
pub struct Effect {
    /// The controller that had asked.
    pub sender: String,
    pub subject: Subject,
    /// The state service's revision at that moment.
    pub revision: u64,
    pub at: Instant,
}

/// The cloud, with all that it did.
#[derive(Debug)]
pub struct Cloud {
    most: usize,
    boot: Duration,
    /// The least and the most seconds until a request is carried out.
    delay_s: (f64, f64),
    workers: Arc<Workers>,
    state: Arc<KvStore>,
    rented: Mutex<Rented>,
    effects: Mutex<Vec<Effect>>,
    /// The controller that asked for a rental or a return last.
    called: watch::Sender<String>,
}

/// Starts the cloud with an address for each controller, so that it knows who asks.
pub async fn start(
    addresses: &[SocketAddr],
    args: &LoadArgs,
    workers: Arc<Workers>,
    state: Arc<KvStore>,
) -> std::io::Result<Arc<Cloud>> {
    let cloud = Arc::new(Cloud {
        most: args.machines,
        boot: Duration::from_secs_f64(args.boot_s),
        delay_s: (args.cloud_delay_least_s, args.cloud_delay_s.max(args.cloud_delay_least_s)),
        workers,
        state,
        rented: Mutex::default(),
        effects: Mutex::default(),
        called: watch::Sender::default(),
    });
    for (number, address) in addresses.iter().enumerate() {
        let listener = TcpListener::bind(address).await?;
        let (cloud, sender) = (cloud.clone(), format!("plank-{number}"));
        let handle = move |request| answer(cloud.clone(), sender.clone(), request);
        tokio::spawn(http::serve(listener, MAX_CONNECTIONS, handle));
    }
    Ok(cloud)
}

async fn answer(cloud: Arc<Cloud>, sender: String, request: Request<Incoming>) -> Reply {
    let (method, path) = (request.method().clone(), request.uri().path().to_owned());
    let after = request.uri().query().unwrap_or_default().contains("after=");
    let body = match http::body(request, http::MAX_REQUEST).await {
        Ok(body) => serde_json::from_slice(&body).unwrap_or(Value::Null),
        Err(reply) => return reply,
    };
    if method == Method::POST {
        cloud.called.send_replace(sender.clone());
        // As a network does, it may carry requests out whose sender is long paused.
        let (least, most) = cloud.delay_s;
        let delay = rand::rng().random_range(least..=most);
        tokio::time::sleep(Duration::from_secs_f64(delay)).await;
    }
    let (status, body) = match (method, path.as_str()) {
        (Method::GET, "/catalog") => (200, cloud.catalog()),
        (Method::GET, "/hosts") => (200, cloud.list(after)),
        (Method::POST, "/hosts/release") => (200, cloud.release(&sender, &body)),
        (Method::POST, "/hosts") => cloud.rent(&sender, &body),
        _ => (404, json!({})),
    };
    Reply { status, body: body.to_string().into_bytes(), retry: None }
}

impl Cloud {
    fn rented(&self) -> std::sync::MutexGuard<'_, Rented> {
        self.rented.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// All effects so far.
    pub fn effects(&self) -> Vec<Effect> {
        self.effects.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Waits until a rental or a return is asked for, and tells by which controller.
    pub async fn called(&self) -> Option<String> {
        let mut calls = self.called.subscribe();
        calls.changed().await.ok()?;
        let caller = calls.borrow().clone();
        Some(caller)
    }

    fn keep(&self, sender: &str, subject: Subject) {
        let revision = self.state.revision();
        let effect = Effect { sender: sender.into(), subject, revision, at: Instant::now() };
        self.effects.lock().unwrap_or_else(PoisonError::into_inner).push(effect);
    }

    fn catalog(&self) -> Value {
        json!({"rigs": [{"label": workers::MACHINE_TYPE, "cpus": 16, "gpus": 0, "ramGb": 128, "localGb": 50,
        "pullGbPerS": 0.8, "rate": 1.0, "marketPrice": 0.3, "readyS": self.boot.as_secs_f64(), "yards": [workers::ZONE]}]})
    }

    fn list(&self, rest: bool) -> Value {
        let rented = self.rented();
        let row = |(number, since): (&usize, &Instant)| {
            json!({"nameId": workers::name(*number), "address": workers::address(*number, self.workers.port),
                "rig": workers::MACHINE_TYPE, "yard": workers::ZONE, "loaners": true, "status": "running",
                "heldS": since.elapsed().as_secs_f64()})
        };
        // The last page is whatever comes after the first 500.
        let skipped = if rest { 500 } else { 0 };
        let hosts: Vec<Value> = rented.machines.iter().skip(skipped).take(500).map(row).collect();
        json!({"hosts": hosts, "truncated": !rest && rented.machines.len() > 500})
    }

    fn rent(&self, sender: &str, body: &Value) -> (u16, Value) {
        let request = body["hire"].as_str().unwrap_or_default().to_owned();
        let mut rented = self.rented();
        if let Some(hosts) = rented.requests.get(&request) {
            return (200, json!({ "hosts": hosts }));
        }
        let spot = body["loaners"].as_bool().unwrap_or_default();
        let room = if spot { self.most.saturating_sub(rented.machines.len()) } else { 0 };
        let count = room.min(body["number"].as_u64().unwrap_or_default() as usize);
        if count == 0 {
            return (503, json!({"error": "no capacity"}));
        }
        let first = rented.last + 1;
        rented.last += count;
        for number in first..first + count {
            rented.machines.insert(number, Instant::now());
            self.workers.boot(number, self.boot);
        }
        let names: Vec<String> = (first..first + count).map(workers::name).collect();
        self.keep(sender, Subject::Rental(request.clone()));
        rented.requests.insert(request, names.clone());
        (200, json!({ "hosts": names }))
    }

    fn release(&self, sender: &str, body: &Value) -> Value {
        let mut rented = self.rented();
        let names = body["hosts"].as_array().cloned().unwrap_or_default();
        for number in names.iter().filter_map(Value::as_str).filter_map(workers::number) {
            if rented.machines.remove(&number).is_some() {
                self.keep(sender, Subject::Machine(workers::name(number)));
            }
            self.workers.stop(number);
        }
        json!({})
    }
}
