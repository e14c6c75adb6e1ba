//! Commands sent straight to workers.

use crate::http::Client;
use crate::wire;
use hyper::Method;
use plankhead_core::protocol::{CallError, CommandReply, WorkerCommand};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

const PATIENCE: Duration = Duration::from_secs(2);

type Clients = HashMap<Arc<str>, (Instant, Arc<Client>)>;

/// Clients by address, with the time of their last use.
#[derive(Debug)]
pub struct Agents {
    clients: Mutex<Clients>,
    /// Workers whose connections are kept.
    most: usize,
}

impl Agents {
    pub fn new(most: usize) -> Self {
        Self { clients: Mutex::default(), most }
    }

    fn client(&self, address: &Arc<str>) -> Option<Arc<Client>> {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((used, client)) = clients.get_mut(address) {
            *used = Instant::now();
            return Some(client.clone());
        }
        if clients.len() >= self.most {
            // With all of them gone at once, a large fleet would connect anew
            // over and over.
            let oldest = clients.iter().min_by_key(|(_, (used, _))| *used).map(|(a, _)| a.clone());
            oldest.and_then(|address| clients.remove(&address));
        }
        let client = Arc::new(Client::new(address.parse().ok()?));
        clients.insert(address.clone(), (Instant::now(), client.clone()));
        Some(client)
    }

    pub async fn orders(
        &self,
        address: Arc<str>,
        token: u64,
        shift: u64,
        orders: Vec<WorkerCommand>,
    ) -> CommandReply {
        let Some(client) = self.client(&address) else { return CommandReply::NotSent };
        let body = wire::workers::encode_commands(token, shift, &orders);
        match client.call(Method::POST, "/orders", body, PATIENCE).await {
            Ok((status, body)) if matches!(status.as_u16(), 200 | 409) => {
                match wire::workers::parse_heartbeat(&body) {
                    Ok(report) => CommandReply::Answered(report),
                    Err(_) => CommandReply::Unanswered,
                }
            }
            Err(CallError::Refused) => CommandReply::NotSent,
            _ => CommandReply::Unanswered,
        }
    }
}
