//! Commands sent straight to workers.

use crate::http::Client;
use crate::wire;
use hyper::Method;
use plankhead_core::protocol::{CallError, Order, OrdersReply};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

const PATIENCE: Duration = Duration::from_secs(2);
/// Workers whose connections are kept.
const MOST_CLIENTS: usize = 128;

/// Clients by address; cleared when there are too many.
#[derive(Debug, Default)]
pub struct Agents(Mutex<HashMap<Arc<str>, Arc<Client>>>);

impl Agents {
    fn client(&self, address: &Arc<str>) -> Option<Arc<Client>> {
        let mut clients = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(client) = clients.get(address) {
            return Some(client.clone());
        }
        if clients.len() >= MOST_CLIENTS {
            clients.clear();
        }
        let client = Arc::new(Client::new(address.parse().ok()?));
        clients.insert(address.clone(), client.clone());
        Some(client)
    }

    pub async fn orders(&self, address: Arc<str>, baton: u64, shift: u64, orders: Vec<Order>) -> OrdersReply {
        let Some(client) = self.client(&address) else { return OrdersReply::NotSent };
        let body = wire::orders(baton, shift, &orders).to_string().into_bytes();
        match client.call(Method::POST, "/orders", body, PATIENCE).await {
            Ok((status, body)) if matches!(status.as_u16(), 200 | 409) => match wire::report(&body) {
                Ok(report) => OrdersReply::Answered(report),
                Err(_) => OrdersReply::Unanswered,
            },
            Err(CallError::Refused) => OrdersReply::NotSent,
            _ => OrdersReply::Unanswered,
        }
    }
}
