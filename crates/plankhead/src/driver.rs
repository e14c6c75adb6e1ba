//! Drives the core: one owner of all state works through a queue of commands
//! in batches and hands the effects to the adapters.

use crate::agent::Agents;
use crate::config::Config;
use crate::http::{self, Client, Reply};
use crate::peer::{self, Sibling};
use crate::{api, cloud, coverage, log, shard_messages, state, wire};
use plankhead_core::effects::StepTime;
use plankhead_core::jobs::job::{JobId, JobSpec};
use plankhead_core::node::Node;
use plankhead_core::protocol::{CallId, Effect, Event, Heartbeat, InvalidSpec, RequestId, Response};
use plankhead_core::shards::messages::{Delivery, ShardMessage, ShardMessageError};
use plankhead_reachability::coverage::Coverage;
use std::collections::{HashMap, VecDeque};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep_until;

/// Room in the queue of commands beside one for each connection; above, requests
/// are refused at once.
const MORE_COMMANDS: usize = 256;
const MAX_BATCH: usize = 256;
/// How long a peak of the lag is remembered: after each timer that fires in time, this
/// share of it.
const LAG_KEPT: f64 = 0.2;
/// The core's clock starts here, so that times before the start exist.
const EPOCH: Duration = Duration::from_secs(100 * 86_400);
/// No request waits longer than this.
pub const PATIENCE: Duration = Duration::from_secs(4);
/// Connections on the controller port.
const MAX_PEERS: usize = 64;

#[derive(Debug, Error)]
pub enum RunError {
    #[error("can't listen on {0}: {1}")]
    Listen(std::net::SocketAddr, std::io::Error),
    #[error("the queue of commands is closed")]
    Closed,
}

/// A request that wants an answer.
#[derive(Debug)]
pub enum CoreRequest {
    Submit { id: JobId, job: Result<JobSpec, String> },
    Poll { id: JobId },
    Cancel { id: JobId },
    Heartbeat { report: Heartbeat, relayed: bool },
    ShardMessage { message: Result<ShardMessage, ShardMessageError> },
    View,
}

impl CoreRequest {
    fn event(self, ask: RequestId) -> Event {
        match self {
            CoreRequest::Submit { id, job } => {
                Event::Submit { request: ask, id, job: job.map_err(InvalidSpec::Malformed) }
            }
            CoreRequest::Poll { id } => Event::Poll { request: ask, id },
            CoreRequest::Cancel { id } => Event::Cancel { request: ask, id },
            CoreRequest::Heartbeat { report, relayed } => {
                Event::Heartbeat { request: ask, heartbeat: report, relayed }
            }
            CoreRequest::ShardMessage { message } => Event::ShardMessage { request: ask, message },
            CoreRequest::View => Event::View { request: ask },
        }
    }
}

#[derive(Debug)]
pub enum CoreMessage {
    Request(CoreRequest, oneshot::Sender<Response>),
    Event(Event),
}

/// The way in for the adapters.
#[derive(Debug, Clone)]
pub struct Handle {
    queue: mpsc::Sender<CoreMessage>,
    healthy: Arc<AtomicBool>,
    siblings: Siblings,
    /// The highest fencing token seen; 0 while fencing is off.
    highest_token: Arc<AtomicU64>,
}

impl Handle {
    pub fn healthy(&self) -> bool {
        self.healthy.load(Ordering::Relaxed)
    }

    pub fn send(&self, message: CoreMessage) -> Result<(), RunError> {
        self.queue.try_send(message).map_err(|_| RunError::Closed)
    }

    /// Asks the core, and refuses at once when it has too much to do.
    async fn answer(&self, request: CoreRequest) -> Result<Response, Reply> {
        let (sender, receiver) = oneshot::channel();
        if self.send(CoreMessage::Request(request, sender)).is_err() {
            return Err(Reply::error(503, "too much to do"));
        }
        // The owner of the queue drops the sender when the time is over.
        receiver.await.map_err(|_| Reply::error(503, "no answer in time"))
    }

    pub async fn ask(&self, request: CoreRequest) -> Reply {
        self.answer(request).await.map_or_else(|refusal| refusal, |answer| reply(&answer))
    }

    /// Whether an answer for a worker is not under a token that is over: the worker would
    /// drop it, and stay here while its lease runs out.
    fn is_current(&self, answer: &Reply) -> bool {
        let highest = self.highest_token.load(Ordering::Relaxed);
        let current = wire::answer_token(&answer.body).is_none_or(|token| token >= highest);
        if !current {
            tracing::info!("an answer passed on was refused: its token is over, {highest} was seen");
        }
        current
    }

    /// Asks about a report, or has a sibling that leads asked.
    pub async fn beat(&self, report: Heartbeat, body: &[u8]) -> Reply {
        match self.answer(CoreRequest::Heartbeat { report, relayed: false }).await {
            Ok(Response::Relay { leader: foreman }) => match self.siblings.get(&foreman) {
                Some(sibling) => match sibling.relay(body).await {
                    Some(answer) if self.is_current(&answer) => answer,
                    _ => reply(&NOBODY),
                },
                None => reply(&NOBODY),
            },
            Ok(answer) => reply(&answer),
            Err(refusal) => refusal,
        }
    }
}

/// For a worker that no node could help.
const NOBODY: Response = Response::Redirect { leader: None };

fn reply(answer: &Response) -> Reply {
    let (status, body, retry) = wire::answer(answer);
    Reply { status, body, retry }
}

/// The other nodes by name.
type Siblings = Arc<HashMap<String, Arc<Sibling>>>;

/// The adapters that effects go to.
struct Outside {
    queue: mpsc::Sender<CoreMessage>,
    state: Arc<Client>,
    cloud: Arc<Client>,
    agents: Arc<Agents>,
    siblings: Siblings,
    asks: PendingRequests,
}

/// Requests that wait for an answer, each for the same time: the oldest is due first, so
/// that no timer is needed for any one of them.
#[derive(Debug, Default)]
pub struct PendingRequests {
    senders: HashMap<RequestId, oneshot::Sender<Response>>,
    deadlines: VecDeque<(Instant, RequestId)>,
    last: RequestId,
}

impl PendingRequests {
    pub fn add(&mut self, now: Instant, sender: oneshot::Sender<Response>) -> RequestId {
        self.last += 1;
        self.senders.insert(self.last, sender);
        self.deadlines.push_back((now + PATIENCE, self.last));
        self.last
    }

    pub fn answer(&mut self, ask: RequestId, answer: Response) {
        if let Some(sender) = self.senders.remove(&ask) {
            // Whoever asked may have gone.
            let _ = sender.send(answer);
        }
    }

    /// Gives up what has waited too long, and tells when the next request is due.
    pub fn expire(&mut self, now: Instant) -> Option<Instant> {
        while let Some((due, ask)) = self.deadlines.front() {
            if *due > now && self.senders.contains_key(ask) {
                return Some(*due);
            }
            self.senders.remove(ask);
            self.deadlines.pop_front();
        }
        None
    }
}

impl Outside {
    fn perform(&mut self, effect: Effect) {
        match effect {
            Effect::Respond { request: ask, response: answer } => self.asks.answer(ask, answer),
            Effect::CallKv { call, request: op } => {
                let client = self.state.clone();
                self.spawn(async move { Event::KvReply { call, reply: state::call(&client, op).await } });
            }
            Effect::CallCloud { call, request: op } => {
                let client = self.cloud.clone();
                self.spawn(async move { Event::CloudReply { call, reply: cloud::call(&client, op).await } });
            }
            Effect::SendCommands { call, address, token, incarnation: shift, commands: orders } => {
                let agents = self.agents.clone();
                self.spawn(async move {
                    Event::CommandReply { call, reply: agents.orders(address, token, shift, orders).await }
                });
            }
            Effect::SendPeerHeartbeat(pulse) => {
                if let Some(bytes) = peer::encode(&pulse) {
                    for sibling in self.siblings.values() {
                        sibling.tell(bytes.clone());
                    }
                }
            }
            Effect::SendCoverage(message) => self.tell_coverage(&message),
            Effect::SendShardMessage { call, to, message } => self.send_shard_message(call, &to, &message),
            Effect::Log(level, text) => log::emit(level, &text),
        }
    }

    /// Tells a sibling something about shards; what becomes of it comes back.
    fn send_shard_message(&self, call: CallId, to: &str, message: &ShardMessage) {
        let (sibling, bytes) = (self.siblings.get(to).cloned(), shard_messages::encode(message));
        if bytes.is_none() {
            tracing::error!("a message about shards for {to} is too large");
        }
        self.spawn(async move {
            let delivery = match (sibling, bytes) {
                (Some(sibling), Some(bytes)) => sibling.tell_shards(bytes).await,
                _ => Delivery::NoResponse,
            };
            Event::ShardMessageDelivery { call, delivery }
        });
    }

    /// Tells every sibling of this node's reach; whether each answers comes back.
    fn tell_coverage(&self, message: &Coverage) {
        let Some(bytes) = coverage::encode(message) else { return };
        for (host, sibling) in self.siblings.iter() {
            let (host, sibling, bytes) = (host.clone(), sibling.clone(), bytes.clone());
            self.spawn(async move {
                let confirmed = sibling.tell_coverage(bytes).await;
                Event::PeerDelivery { host, confirmed }
            });
        }
    }

    /// Makes a call; its reply comes back as a command, however long the queue.
    fn spawn(&self, call: impl std::future::Future<Output = Event> + Send + 'static) {
        let queue = self.queue.clone();
        tokio::spawn(async move {
            let event = call.await;
            let _ = queue.send(CoreMessage::Event(event)).await;
        });
    }
}

async fn listen(address: std::net::SocketAddr) -> Result<TcpListener, RunError> {
    TcpListener::bind(address).await.map_err(|e| RunError::Listen(address, e))
}

/// How late timers fire: what a process whose processor time is used up falls behind by.
#[derive(Debug, Default)]
pub struct Lag(Duration);

impl Lag {
    /// A timer that was due then is handled now. A peak counts at once, and is forgotten
    /// within some timers.
    pub fn measure(&mut self, due: Instant, now: Instant) {
        let late = now.saturating_duration_since(due);
        self.0 = late.max(self.0.mul_f64(LAG_KEPT));
    }

    pub fn get(&self) -> Duration {
        self.0
    }
}

/// Runs a node until the process ends.
pub async fn run(config: Config) -> Result<(), RunError> {
    let (queue, mut commands) = mpsc::channel(config.connections + MORE_COMMANDS);
    let healthy = Arc::new(AtomicBool::new(true));
    let highest_token = Arc::new(AtomicU64::new(0));
    let sibling = |(name, at): &(String, _)| (name.clone(), Arc::new(Sibling::new(*at)));
    let siblings: Siblings = Arc::new(config.siblings.iter().map(sibling).collect());
    let handle = Handle {
        queue: queue.clone(),
        healthy: healthy.clone(),
        siblings: siblings.clone(),
        highest_token: highest_token.clone(),
    };
    let (users, peers) = (listen(config.api).await?, listen(config.peer).await?);
    let to_api = handle.clone();
    let per_connection = move || {
        let (handle, reader) = (to_api.clone(), api::Reader::default());
        move |request| api::handle(handle.clone(), reader.clone(), request)
    };
    tokio::spawn(http::serve_each(users, config.connections, per_connection));
    tokio::spawn(http::serve(peers, MAX_PEERS, move |r| peer::handle(handle.clone(), r)));
    let mut outside = Outside {
        queue,
        state: Arc::new(Client::new(config.state)),
        cloud: Arc::new(Client::new(config.cloud)),
        agents: Arc::new(Agents::new(config.agents)),
        siblings,
        asks: PendingRequests::default(),
    };
    let mut node = Node::new(config.core);
    let mut lag = Lag::default();
    let start = Instant::now();
    let mut due = start;
    let wake = sleep_until(due.into());
    tokio::pin!(wake);
    loop {
        let mut batch = Vec::new();
        let mut next = tokio::select! {
            command = commands.recv() => Some(command.ok_or(RunError::Closed)?),
            () = &mut wake => None,
        };
        let now = Instant::now();
        while let Some(command) = next {
            match command {
                CoreMessage::Event(event) => batch.push(event),
                CoreMessage::Request(request, sender) => {
                    batch.push(request.event(outside.asks.add(now, sender)))
                }
            }
            next = if batch.len() < MAX_BATCH { commands.try_recv().ok() } else { None };
        }
        if now >= due {
            lag.measure(due, now);
            node.set_timer_lag(lag.get());
        }
        let times = StepTime { now: EPOCH + (now - start), wall: SystemTime::now() };
        for effect in node.step(times, batch) {
            outside.perform(effect);
        }
        healthy.store(node.is_healthy(times.now), Ordering::Relaxed);
        highest_token.store(node.highest_token(), Ordering::Relaxed);
        // A timer that is due anyway stays: each one that is set again costs something.
        let next_due = start + (node.next_wake(times.now) - EPOCH);
        let next_due = outside.asks.expire(now).map_or(next_due, |at| next_due.min(at));
        if next_due < due || now >= due {
            due = next_due;
            wake.as_mut().reset(due.into());
        }
    }
}
