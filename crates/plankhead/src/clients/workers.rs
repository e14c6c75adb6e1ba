//! Sends commands and inspections directly to workers.

use crate::http::Client;
use crate::wire::workers::{encode_commands, parse_heartbeat};
use bytes::Bytes;
use hyper::{Method, StatusCode};
use plankhead_core::protocol::{CallError, CommandReply, WorkerCommand};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const INSPECTION_TIMEOUT: Duration = Duration::from_millis(1500);

/// A cache of clients for the workers to which commands were sent most recently.
#[derive(Debug)]
pub struct WorkerClients {
    by_address: Mutex<HashMap<Arc<str>, CachedClient>>,
    max_clients: usize,
}

#[derive(Debug)]
struct CachedClient {
    last_used: Instant,
    client: Arc<Client>,
}

/// Commands for one worker.
#[derive(Debug)]
pub struct CommandBatch {
    /// The address at which the worker listens.
    pub address: Arc<str>,
    /// The leader's fencing token, or the epoch of the machine's shard.
    pub token: u64,
    /// The incarnation of the worker to which the commands are addressed.
    pub incarnation: u64,
    /// The commands. The worker carries them out in order or refuses all of them.
    pub commands: Vec<WorkerCommand>,
}

impl WorkerClients {
    /// Creates a cache of at most `max_clients` clients.
    pub fn new(max_clients: usize) -> Self {
        Self { by_address: Mutex::default(), max_clients }
    }

    /// Returns the client of a worker, or `None` if its address is malformed.
    fn client(&self, address: &Arc<str>) -> Option<Arc<Client>> {
        let mut clients = self.by_address.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(cached) = clients.get_mut(address) {
            cached.last_used = Instant::now();
            return Some(cached.client.clone());
        }
        if clients.len() >= self.max_clients {
            // Evicting only the oldest client keeps the other connections. If all were evicted, a large fleet
            // would have to reconnect again and again.
            let oldest = clients.iter().min_by_key(|(_, cached)| cached.last_used);
            let oldest = oldest.map(|(address, _)| address.clone());
            oldest.and_then(|address| clients.remove(&address));
        }
        let client = Arc::new(Client::new(address.parse().ok()?));
        clients.insert(address.clone(), CachedClient { last_used: Instant::now(), client: client.clone() });
        Some(client)
    }

    /// Sends commands to a worker and returns its reply.
    pub async fn send(&self, batch: CommandBatch) -> CommandReply {
        let Some(client) = self.client(&batch.address) else { return CommandReply::NotSent };
        let body = encode_commands(batch.token, batch.incarnation, &batch.commands);
        parse_answer(client.call(Method::POST, "/orders", body, CALL_TIMEOUT).await)
    }

    /// Asks a worker for its heartbeat.
    pub async fn inspect(&self, address: &Arc<str>) -> CommandReply {
        let Some(client) = self.client(address) else { return CommandReply::NotSent };
        parse_answer(client.call(Method::GET, "/inspect", Vec::new(), INSPECTION_TIMEOUT).await)
    }
}

/// Parses a worker's answer, which contains its heartbeat if the worker is alive.
fn parse_answer(answer: Result<(StatusCode, Bytes), CallError>) -> CommandReply {
    match answer {
        Ok((status, body)) if matches!(status.as_u16(), 200 | 409) => match parse_heartbeat(&body) {
            Ok(heartbeat) => CommandReply::Answered(heartbeat),
            Err(_) => CommandReply::Unanswered,
        },
        Err(CallError::Refused) => CommandReply::NotSent,
        _ => CommandReply::Unanswered,
    }
}
