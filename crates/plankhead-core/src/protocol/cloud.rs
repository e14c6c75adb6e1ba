//! The cloud, which rents machines: requests, replies, and what machines there are.

use super::{Heartbeat, MachineName};
use plankhead_fencing::gate::PermittedAction;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// A request to the cloud.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudRequest {
    /// Reads all machine types, with their present prices.
    ListMachineTypes,
    /// Reads a page of the inventory, the instances after the given one.
    ListInstances { after: Option<MachineName> },
    /// An action that can't be taken back, once the fencing gate has let it through.
    Execute(PermittedAction),
}

/// The cloud's reply.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudReply {
    /// To a read of the machine types.
    MachineTypes(Vec<MachineType>),
    /// A page of the inventory; `truncated`: there are more instances after these.
    Instances { instances: Vec<Instance>, truncated: bool },
    /// To a rental: the new machines.
    Rented(Vec<MachineName>),
    /// To a rental: the pool has no machines left.
    NoCapacity,
    /// To a release.
    Released,
}

/// A machine type.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    pub name: String,
    pub cpus: f64,
    pub gpus: f64,
    /// In gigabytes.
    pub ram: f64,
    /// How much of images a machine keeps, in gigabytes.
    pub image_cache_gb: f64,
    pub image_fetch_gb_per_s: f64,
    /// Of an ordinary machine, per hour.
    pub price: f64,
    /// Of a spot machine, per hour, at present.
    pub spot_price: f64,
    /// From the rental until the worker starts to report, usually.
    pub boot_time: Duration,
    /// Where the type is to be had.
    pub zones: Vec<String>,
}

/// Machines that the cloud treats alike: of one type, in one zone, spot or ordinary.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Pool {
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
}

impl Pool {
    /// The pool of the machine that a heartbeat comes from.
    pub fn of(heartbeat: &Heartbeat) -> Self {
        Self {
            machine_type: heartbeat.machine_type.to_string(),
            zone: heartbeat.zone.to_string(),
            spot: heartbeat.spot,
        }
    }

    /// Whether the machine that a heartbeat comes from is of this pool.
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
    /// Where commands can be sent to its worker.
    pub address: Arc<str>,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub status: InstanceStatus,
    /// Since its rental.
    pub age: Duration,
}

/// A machine's state in the cloud's inventory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstanceStatus {
    /// Or up for a short while: the list lags.
    Booting,
    /// The machine is up.
    Running,
    /// It will not come up, or is broken.
    Failed,
}
