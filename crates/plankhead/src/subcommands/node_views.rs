//! Fetches the operators' views (`GET /view`) of all controllers.

use crate::http::Client;
use crate::server::controller_port::VIEW_PATH;
use crate::settings::NodeSettings;
use hyper::Method;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::JoinSet;

const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Fetches the views of all controllers in the settings concurrently. Returns the views by controller name,
/// with `None` for a controller that did not answer.
pub async fn fetch_all(settings: &NodeSettings) -> BTreeMap<String, Option<Value>> {
    let own = (settings.core.host.clone(), settings.controller_address);
    let peers = settings.peers.iter().map(|peer| (peer.name.clone(), peer.address));
    let mut calls = JoinSet::new();
    for (node, address) in peers.chain([own]) {
        calls.spawn(async move { (node, fetch(address).await) });
    }
    calls.join_all().await.into_iter().collect()
}

async fn fetch(address: SocketAddr) -> Option<Value> {
    let answer = Client::new(address).call(Method::GET, VIEW_PATH, Vec::new(), CALL_TIMEOUT).await;
    let (status, body) = answer.ok()?;
    serde_json::from_slice(&body).ok().filter(|_| status.is_success())
}
