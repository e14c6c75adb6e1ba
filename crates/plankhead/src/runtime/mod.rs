//! Runs a node: its servers, its clients, and the event loop that connects them to the core.

mod effects;
mod event_loop;
pub mod pending_requests;
pub mod timer_lag;

use crate::clients::peers::{PeerClient, PeerClients};
use crate::clients::workers::WorkerClients;
use crate::http::{self, Client};
use crate::node_handle::{NodeHandle, NodeStatus};
use crate::server::{controller_port, public_port};
use crate::settings::NodeSettings;
use effects::EffectRunner;
use event_loop::EventLoop;
use pending_requests::PendingRequests;
use plankhead_core::node::Node;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

/// The capacity of the event loop's queue beyond one message for each connection. When the queue is
/// full, requests are refused at once.
const EXTRA_QUEUE_CAPACITY: usize = 256;
/// The largest number of connections on the controller port.
const MAX_PEER_CONNECTIONS: usize = 64;

/// The reason why a node stopped.
#[derive(Debug, Error)]
pub enum RunError {
    /// A port could not be opened.
    #[error("can't listen on {address}: {error}")]
    Listen { address: SocketAddr, error: io::Error },
    /// All senders of the event loop's queue have been dropped.
    #[error("the queue of the event loop is closed")]
    QueueClosed,
}

async fn listen(address: SocketAddr) -> Result<TcpListener, RunError> {
    TcpListener::bind(address).await.map_err(|error| RunError::Listen { address, error })
}

/// Runs a node. Returns only if the node fails.
pub async fn run(settings: NodeSettings) -> Result<(), RunError> {
    let (sender, queue) = mpsc::channel(settings.max_connections + EXTRA_QUEUE_CAPACITY);
    let status = Arc::new(NodeStatus::default());
    let peers: PeerClients = Arc::new(
        settings
            .peers
            .iter()
            .map(|peer| (peer.name.clone(), Arc::new(PeerClient::new(peer.address))))
            .collect(),
    );
    let handle = NodeHandle::new(sender.clone(), status.clone(), peers.clone());
    serve(&settings, handle).await?;
    let effects = EffectRunner {
        queue: sender,
        kv: Arc::new(Client::new(settings.state_service)),
        cloud: Arc::new(Client::new(settings.cloud)),
        workers: Arc::new(WorkerClients::new(settings.max_worker_clients)),
        peers,
        requests: PendingRequests::default(),
    };
    EventLoop::new(queue, Node::new(settings.core), effects, status).run().await
}

/// Opens both ports and serves them in the background.
async fn serve(settings: &NodeSettings, handle: NodeHandle) -> Result<(), RunError> {
    let public = listen(settings.public_address).await?;
    let controllers = listen(settings.controller_address).await?;
    let public_handle = handle.clone();
    let make_public_handler = move || {
        let (handle, connection) = (public_handle.clone(), public_port::ConnectionState::default());
        move |request| public_port::handle(handle.clone(), connection.clone(), request)
    };
    tokio::spawn(http::serve_per_connection(public, settings.max_connections, make_public_handler));
    let handler = move |request| controller_port::handle(handle.clone(), request);
    tokio::spawn(http::serve(controllers, MAX_PEER_CONNECTIONS, handler));
    Ok(())
}
