//! The HTTP ports of a node: one for users, workers and the load balancer, and one for the other
//! controllers and the operators.

pub mod controller_port;
pub mod public_port;
