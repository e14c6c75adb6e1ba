//! Messages to and from the cloud: machine types, the inventory, rentals and releases.

use super::{duration_from_seconds, to_json};
use plankhead_core::protocol::{Instance, InstanceStatus, MachineName, MachineType};
use plankhead_fencing::action::{InstanceReturn, Rental};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// The largest amount that is accepted in a machine type, for resources and prices.
const MAX_AMOUNT: f64 = 1e9;

#[derive(Debug, Deserialize)]
struct Catalog {
    #[serde(rename = "rigs")]
    machine_types: Vec<MachineTypeMessage>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct MachineTypeMessage {
    #[serde(rename = "label")]
    name: String,
    cpus: f64,
    gpus: f64,
    ram_gb: f64,
    #[serde(rename = "localGb")]
    image_cache_gb: f64,
    #[serde(rename = "pullGbPerS")]
    image_fetch_gb_per_s: f64,
    #[serde(rename = "rate")]
    price: f64,
    #[serde(rename = "marketPrice")]
    spot_price: f64,
    #[serde(rename = "readyS")]
    boot_time_s: f64,
    #[serde(rename = "yards")]
    zones: Vec<String>,
}

impl MachineTypeMessage {
    /// Converts the message into a machine type. Returns `None` if an amount is out of range or no zone is
    /// listed.
    fn into_machine_type(self) -> Option<MachineType> {
        let amounts = [
            self.cpus,
            self.gpus,
            self.ram_gb,
            self.image_cache_gb,
            self.image_fetch_gb_per_s,
            self.price,
            self.spot_price,
        ];
        if !amounts.iter().all(|amount| (0.0..=MAX_AMOUNT).contains(amount)) || self.zones.is_empty() {
            return None;
        }
        Some(MachineType {
            name: self.name,
            cpus: self.cpus,
            gpus: self.gpus,
            ram: self.ram_gb,
            image_cache_gb: self.image_cache_gb,
            image_fetch_gb_per_s: self.image_fetch_gb_per_s,
            price: self.price,
            spot_price: self.spot_price,
            boot_time: duration_from_seconds(self.boot_time_s)?,
            zones: self.zones,
        })
    }
}

/// Parses the list of machine types. Returns `None` if any of them is invalid.
pub fn parse_machine_types(body: &[u8]) -> Option<Vec<MachineType>> {
    let catalog: Catalog = serde_json::from_slice(body).ok()?;
    catalog.machine_types.into_iter().map(MachineTypeMessage::into_machine_type).collect()
}

#[derive(Debug, Deserialize)]
struct InstancePageMessage {
    #[serde(rename = "hosts")]
    instances: Vec<InstanceMessage>,
    truncated: bool,
}

#[derive(Debug, Deserialize)]
struct InstanceMessage {
    #[serde(rename = "nameId")]
    name: String,
    address: String,
    #[serde(rename = "rig")]
    machine_type: String,
    #[serde(rename = "yard")]
    zone: String,
    #[serde(rename = "loaners")]
    spot: bool,
    status: InstanceStatusName,
    #[serde(rename = "heldS")]
    age_s: f64,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum InstanceStatusName {
    Booting,
    Running,
    Failed,
}

impl From<InstanceStatusName> for InstanceStatus {
    fn from(name: InstanceStatusName) -> Self {
        match name {
            InstanceStatusName::Booting => InstanceStatus::Booting,
            InstanceStatusName::Running => InstanceStatus::Running,
            InstanceStatusName::Failed => InstanceStatus::Failed,
        }
    }
}

impl InstanceMessage {
    fn into_instance(self) -> Option<Instance> {
        Some(Instance {
            name: self.name.into(),
            address: self.address.into(),
            machine_type: self.machine_type,
            zone: self.zone,
            spot: self.spot,
            status: self.status.into(),
            age: duration_from_seconds(self.age_s)?,
        })
    }
}

/// A page of the inventory.
#[derive(Debug, PartialEq)]
pub struct InstancePage {
    /// The instances, in the order of their names.
    pub instances: Vec<Instance>,
    /// Whether further pages follow.
    pub truncated: bool,
}

/// Parses a page of the inventory. Returns `None` if any instance is invalid.
pub fn parse_instances(body: &[u8]) -> Option<InstancePage> {
    let page: InstancePageMessage = serde_json::from_slice(body).ok()?;
    let instances: Option<Vec<Instance>> =
        page.instances.into_iter().map(InstanceMessage::into_instance).collect();
    Some(InstancePage { instances: instances?, truncated: page.truncated })
}

#[derive(Debug, Serialize)]
struct RentalMessage<'a> {
    #[serde(rename = "hire")]
    name: &'a str,
    #[serde(rename = "loaners")]
    spot: bool,
    #[serde(rename = "number")]
    count: u32,
    #[serde(rename = "rig")]
    machine_type: &'a str,
    #[serde(rename = "yard")]
    zone: &'a str,
}

/// Encodes the request to rent machines.
pub fn encode_rental(rental: &Rental) -> Vec<u8> {
    let Rental { name, machine_type, zone, spot, count } = rental;
    to_json(&RentalMessage { name, spot: *spot, count: *count, machine_type, zone })
}

/// Parses the names of the machines in the response to a rental.
pub fn parse_rented(body: &[u8]) -> Option<Vec<MachineName>> {
    #[derive(Deserialize)]
    struct RentalResponse {
        #[serde(rename = "hosts")]
        machines: Vec<String>,
    }
    let response: RentalResponse = serde_json::from_slice(body).ok()?;
    Some(response.machines.into_iter().map(Into::into).collect())
}

/// Encodes the request to release machines.
pub fn encode_release(release: &InstanceReturn) -> Vec<u8> {
    #[derive(Serialize)]
    struct ReleaseMessage<'a> {
        #[serde(rename = "hosts")]
        machines: Vec<&'a str>,
    }
    to_json(&ReleaseMessage { machines: release.machines.iter().map(|machine| machine.as_ref()).collect() })
}

/// Returns whether the body of an error response says that the pool has no machines left.
pub fn is_no_capacity(body: &[u8]) -> bool {
    let value: Value = serde_json::from_slice(body).unwrap_or_default();
    value.get("error").and_then(Value::as_str) == Some("no capacity")
}
