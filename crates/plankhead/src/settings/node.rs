//! The settings of a node.

use plankhead_core::settings::Settings;
use std::net::SocketAddr;

/// All that a node must know of its deployment.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// Where users, workers and the load balancer connect to.
    pub public_address: SocketAddr,
    /// Where peers and the operators connect to.
    pub controller_address: SocketAddr,
    pub peers: Vec<PeerAddress>,
    pub cloud: SocketAddr,
    pub state_service: SocketAddr,
    /// Connections accepted on the public port at a time.
    pub max_connections: usize,
    /// Workers to which connections are kept.
    pub max_worker_clients: usize,
    pub core: Settings,
}

/// Another node, and the address of its controller port.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerAddress {
    pub name: String,
    pub address: SocketAddr,
}
