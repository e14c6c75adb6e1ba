//! The settings of a node, as collected from all settings files.

use plankhead_core::settings::Settings;
use std::net::SocketAddr;

/// The settings of a node.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// The address of the public port, for users, workers and the load balancer.
    pub public_address: SocketAddr,
    /// The address of the controller port, for peers and operators.
    pub controller_address: SocketAddr,
    /// The other controller nodes.
    pub peers: Vec<PeerAddress>,
    /// The cloud's address.
    pub cloud: SocketAddr,
    /// The state service's address.
    pub state_service: SocketAddr,
    /// The largest number of connections on the public port at a time.
    pub max_connections: usize,
    /// The largest number of workers to which connections are kept open.
    pub max_worker_clients: usize,
    /// The settings of the core.
    pub core: Settings,
}

/// Another node, and the address of its controller port.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerAddress {
    /// The node's name, which identifies it to its peers.
    pub name: String,
    /// The address of the node's controller port.
    pub address: SocketAddr,
}
