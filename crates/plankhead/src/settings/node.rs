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
    /// The other nodes.
    pub peers: Vec<PeerAddress>,
    /// The cloud's address.
    pub cloud: SocketAddr,
    /// The state service's address.
    pub state_service: SocketAddr,
    /// Connections accepted on the public port at a time.
    pub max_connections: usize,
    /// Workers to which connections are kept.
    pub max_worker_clients: usize,
    /// What the core must know.
    pub core: Settings,
}

/// Another node, and the address of its controller port.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerAddress {
    /// Its name, by which peers know each other.
    pub name: String,
    /// The address of its controller port.
    pub address: SocketAddr,
}
