//! Drives the core: one owner of all state works through a queue of commands
//! in batches and hands the effects to the adapters.

use crate::agent::Agents;
use crate::config::Config;
use crate::http::{self, Client, Reply};
use crate::peer::{self, Sibling};
use crate::{api, cloud, log, state, wire};
use plankhead_core::job::{JobId, JobSpec};
use plankhead_core::node::{Node, Times};
use plankhead_core::protocol::{Answer, Ask, Effect, Event, Report};
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

/// Room in the queue of commands beside one for each connection; above, requests
/// are refused at once.
const MORE_COMMANDS: usize = 256;
const MOST_BATCH: usize = 256;
/// The core's clock runs at least this often.
const TICK: Duration = Duration::from_millis(50);
/// How often it is measured how late timers fire.
const LAG_LOOK: Duration = Duration::from_millis(50);
/// The core's clock starts here, so that times before the start exist.
const EPOCH: Duration = Duration::from_secs(100 * 86_400);
/// No request waits longer than this.
const PATIENCE: Duration = Duration::from_secs(4);
/// Connections on the controller port.
const MOST_PEERS: usize = 64;

#[derive(Debug, Error)]
pub enum RunError {
    #[error("can't listen on {0}: {1}")]
    Listen(std::net::SocketAddr, std::io::Error),
    #[error("the queue of commands is closed")]
    Closed,
}

/// A request that wants an answer.
#[derive(Debug)]
pub enum Request {
    Submit { id: JobId, job: Result<JobSpec, String> },
    Poll { id: JobId },
    Abort { id: JobId },
    Beat { report: Report, relayed: bool },
    View,
}

impl Request {
    fn event(self, ask: Ask) -> Event {
        match self {
            Request::Submit { id, job } => Event::Submit { ask, id, job },
            Request::Poll { id } => Event::Poll { ask, id },
            Request::Abort { id } => Event::Abort { ask, id },
            Request::Beat { report, relayed } => Event::Beat { ask, report, relayed },
            Request::View => Event::View { ask },
        }
    }
}

#[derive(Debug)]
pub enum Command {
    Ask(Request, oneshot::Sender<Answer>),
    Event(Event),
}

/// The way in for the adapters.
#[derive(Debug, Clone)]
pub struct Handle {
    queue: mpsc::Sender<Command>,
    healthy: Arc<AtomicBool>,
    siblings: Siblings,
}

impl Handle {
    pub fn healthy(&self) -> bool {
        self.healthy.load(Ordering::Relaxed)
    }

    pub fn send(&self, command: Command) -> Result<(), RunError> {
        self.queue.try_send(command).map_err(|_| RunError::Closed)
    }

    /// Asks the core, and refuses at once when it has too much to do.
    async fn answer(&self, request: Request) -> Result<Answer, Reply> {
        let (sender, receiver) = oneshot::channel();
        if self.send(Command::Ask(request, sender)).is_err() {
            return Err(Reply::error(503, "too much to do"));
        }
        match timeout(PATIENCE, receiver).await {
            Ok(Ok(answer)) => Ok(answer),
            _ => Err(Reply::error(503, "no answer in time")),
        }
    }

    pub async fn ask(&self, request: Request) -> Reply {
        self.answer(request).await.map_or_else(|refusal| refusal, |answer| reply(&answer))
    }

    /// Asks about a report, or has a sibling that leads asked.
    pub async fn beat(&self, report: Report, body: &[u8]) -> Reply {
        match self.answer(Request::Beat { report, relayed: false }).await {
            Ok(Answer::Relay { foreman }) => match self.siblings.get(&foreman) {
                Some(sibling) => sibling.relay(body).await.unwrap_or_else(|| reply(&NOBODY)),
                None => reply(&NOBODY),
            },
            Ok(answer) => reply(&answer),
            Err(refusal) => refusal,
        }
    }
}

/// For a worker that no node could help.
const NOBODY: Answer = Answer::Elsewhere { foreman: None };

fn reply(answer: &Answer) -> Reply {
    let (status, body, retry) = wire::answer(answer);
    Reply { status, body: body.to_string().into_bytes(), retry }
}

/// The other nodes by name.
type Siblings = Arc<HashMap<String, Arc<Sibling>>>;

/// The adapters that effects go to.
struct Outside {
    queue: mpsc::Sender<Command>,
    state: Arc<Client>,
    cloud: Arc<Client>,
    agents: Arc<Agents>,
    siblings: Siblings,
    asks: HashMap<Ask, oneshot::Sender<Answer>>,
}

impl Outside {
    fn perform(&mut self, effect: Effect) {
        match effect {
            Effect::Answer { ask, answer } => {
                if let Some(sender) = self.asks.remove(&ask) {
                    // Whoever asked may have gone.
                    let _ = sender.send(answer);
                }
            }
            Effect::State { call, op } => {
                let client = self.state.clone();
                self.spawn(async move { Event::State { call, reply: state::call(&client, op).await } });
            }
            Effect::Cloud { call, op } => {
                let client = self.cloud.clone();
                self.spawn(async move { Event::Cloud { call, reply: cloud::call(&client, op).await } });
            }
            Effect::Orders { call, address, baton, shift, orders } => {
                let agents = self.agents.clone();
                self.spawn(async move {
                    Event::Orders { call, reply: agents.orders(address, baton, shift, orders).await }
                });
            }
            Effect::Pulse(pulse) => {
                if let Some(bytes) = peer::encode(&pulse) {
                    for sibling in self.siblings.values() {
                        sibling.tell(bytes.clone());
                    }
                }
            }
            Effect::Log(level, text) => log::emit(level, &text),
        }
    }

    /// Makes a call; its reply comes back as a command, however long the queue.
    fn spawn(&self, call: impl std::future::Future<Output = Event> + Send + 'static) {
        let queue = self.queue.clone();
        tokio::spawn(async move {
            let event = call.await;
            let _ = queue.send(Command::Event(event)).await;
        });
    }
}

async fn listen(address: std::net::SocketAddr) -> Result<TcpListener, RunError> {
    TcpListener::bind(address).await.map_err(|e| RunError::Listen(address, e))
}

/// Measures how late timers fire, in milliseconds: what a process whose processor time
/// is used up falls behind by.
fn watch_lag() -> Arc<AtomicU64> {
    let lag = Arc::new(AtomicU64::new(0));
    let measured = lag.clone();
    tokio::spawn(async move {
        let mut mean = Duration::ZERO;
        loop {
            let before = Instant::now();
            tokio::time::sleep(LAG_LOOK).await;
            let late = before.elapsed().saturating_sub(LAG_LOOK);
            // A peak counts at once, and is forgotten within some looks.
            mean = late.max(mean * 3 / 4);
            measured.store(mean.as_millis() as u64, Ordering::Relaxed);
        }
    });
    lag
}

/// Runs a node until the process ends.
pub async fn run(config: Config) -> Result<(), RunError> {
    let (queue, mut commands) = mpsc::channel(config.connections + MORE_COMMANDS);
    let healthy = Arc::new(AtomicBool::new(true));
    let sibling = |(name, at): &(String, _)| (name.clone(), Arc::new(Sibling::new(*at)));
    let siblings: Siblings = Arc::new(config.siblings.iter().map(sibling).collect());
    let handle = Handle { queue: queue.clone(), healthy: healthy.clone(), siblings: siblings.clone() };
    let (users, peers) = (listen(config.api).await?, listen(config.peer).await?);
    let to_api = handle.clone();
    tokio::spawn(http::serve(users, config.connections, move |r| api::handle(to_api.clone(), r)));
    tokio::spawn(http::serve(peers, MOST_PEERS, move |r| peer::handle(handle.clone(), r)));
    let mut outside = Outside {
        queue,
        state: Arc::new(Client::new(config.state)),
        cloud: Arc::new(Client::new(config.cloud)),
        agents: Arc::new(Agents::new(config.agents)),
        siblings,
        asks: HashMap::new(),
    };
    let mut node = Node::new(config.core);
    let lag = watch_lag();
    let start = Instant::now();
    let mut last: Ask = 0;
    loop {
        let mut batch = Vec::new();
        let mut next = match timeout(TICK, commands.recv()).await {
            Ok(Some(command)) => Some(command),
            Ok(None) => return Err(RunError::Closed),
            Err(_) => None,
        };
        while let Some(command) = next {
            match command {
                Command::Event(event) => batch.push(event),
                Command::Ask(request, sender) => {
                    last += 1;
                    outside.asks.insert(last, sender);
                    batch.push(request.event(last));
                }
            }
            next = if batch.len() < MOST_BATCH { commands.try_recv().ok() } else { None };
        }
        node.lags(Duration::from_millis(lag.load(Ordering::Relaxed)));
        let times = Times { now: EPOCH + start.elapsed(), wall: SystemTime::now() };
        for effect in node.step(times, batch) {
            outside.perform(effect);
        }
        healthy.store(node.healthy(times.now), Ordering::Relaxed);
    }
}
