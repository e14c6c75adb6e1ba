//! Clients of what is outside: the state service, the cloud, workers and peers. A reply that
//! is not understood is a failure, never a fact.

pub mod cloud;
pub mod kv;
pub mod peers;
pub mod workers;
