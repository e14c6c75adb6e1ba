//! Clients of the state service, the cloud, workers and peers. A reply that can't be decoded is treated as
//! a failed call, and no part of it is used.

pub mod cloud;
pub mod kv;
pub mod peers;
pub mod workers;
