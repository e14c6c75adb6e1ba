//! The messages exchanged with the cloud, which rents out machines: requests, replies, machine types and
//! the inventory.

use super::{Heartbeat, MachineName};
use plankhead_fencing::gate::PermittedAction;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// A request to the cloud.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudRequest {
    /// Reads all machine types, with their current prices.
    ListMachineTypes,
    /// Reads a page of the inventory: the instances that follow `after`, or the first ones.
    ListInstances { after: Option<MachineName> },
    /// Executes an action that can't be undone and that the fencing gate has permitted.
    Execute(PermittedAction),
}

/// A reply of the cloud.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudReply {
    /// Answers [`CloudRequest::ListMachineTypes`].
    MachineTypes(Vec<MachineType>),
    /// Answers [`CloudRequest::ListInstances`]. If `truncated` is set, more instances follow these.
    Instances { instances: Vec<Instance>, truncated: bool },
    /// Answers a rental that was carried out, with the names of the new machines.
    Rented(Vec<MachineName>),
    /// Answers a rental from a pool that has no machines left.
    NoCapacity,
    /// Answers a return that was carried out.
    Released,
}

/// A machine type.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    pub name: String,
    pub cpus: f64,
    pub gpus: f64,
    /// The memory, in gigabytes.
    pub ram: f64,
    /// The capacity of a machine's image cache, in gigabytes.
    pub image_cache_gb: f64,
    pub image_fetch_gb_per_s: f64,
    /// The hourly price of an ordinary machine.
    pub price: f64,
    /// The current hourly price of a spot machine.
    pub spot_price: f64,
    /// The usual time from the rental until the worker sends its first heartbeat.
    pub boot_time: Duration,
    /// The zones in which the type is available.
    pub zones: Vec<String>,
}

/// A pool of machines that are equivalent to the cloud: of one type, in one zone, either spot or ordinary.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Pool {
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
}

impl Pool {
    /// Returns the pool of the machine that sent a heartbeat.
    pub fn of(heartbeat: &Heartbeat) -> Self {
        Self {
            machine_type: heartbeat.machine_type.to_string(),
            zone: heartbeat.zone.to_string(),
            spot: heartbeat.spot,
        }
    }

    /// Returns whether the machine that sent a heartbeat belongs to this pool.
    pub fn matches(&self, heartbeat: &Heartbeat) -> bool {
        *self.machine_type == *heartbeat.machine_type
            && *self.zone == *heartbeat.zone
            && self.spot == heartbeat.spot
    }
}

/// A machine in the cloud's inventory.
#[derive(Debug, Clone, PartialEq)]
pub struct Instance {
    pub name: MachineName,
    /// The address at which the machine's worker accepts direct commands.
    pub address: Arc<str>,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub status: InstanceStatus,
    /// The time since the machine was rented.
    pub age: Duration,
}

/// A machine's state in the cloud's inventory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstanceStatus {
    /// The machine is booting, or has come up so recently that the inventory does not show it yet.
    Booting,
    /// The machine is up.
    Running,
    /// The machine will not come up, or is broken.
    Failed,
}
