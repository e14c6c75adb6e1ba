//! Reads fields of the platform's file and collects its faults.

use super::SettingsFault;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

/// Stands for an address that is missing or malformed.
const NO_ADDRESS: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::UNSPECIFIED), 0);

/// Reads fields below one value of the file. A field is named by its path, with dots between
/// the keys. One that is missing or out of range adds a fault, and reads as the least value.
pub struct FieldReader<'a> {
    value: &'a Value,
    /// Where the value stands in the file.
    prefix: String,
    faults: &'a mut Vec<SettingsFault>,
}

impl<'a> FieldReader<'a> {
    pub fn new(root: &'a Value, faults: &'a mut Vec<SettingsFault>) -> Self {
        Self { value: root, prefix: String::new(), faults }
    }

    /// A reader of an entry of a list.
    pub fn entry<'b>(&'b mut self, list: &str, index: usize, value: &'b Value) -> FieldReader<'b> {
        FieldReader { value, prefix: format!("{}{list}[{index}].", self.prefix), faults: self.faults }
    }

    pub fn fault(&mut self, path: &str, reason: impl Into<String>) {
        let path = format!("{}{path}", self.prefix);
        self.faults.push(SettingsFault::Field { path, reason: reason.into() });
    }

    /// The field, where it may be missing.
    pub fn optional(&self, path: &str) -> Option<&'a Value> {
        path.split('.').try_fold(self.value, |value, key| value.get(key))
    }

    fn required(&mut self, path: &str) -> Option<&'a Value> {
        let field = self.optional(path);
        if field.is_none() {
            self.fault(path, "is missing");
        }
        field
    }

    pub fn text(&mut self, path: &str) -> Option<String> {
        let field = self.required(path)?;
        match field.as_str() {
            Some(text) if !text.is_empty() => Some(text.into()),
            _ => {
                self.fault(path, "must be a text that is not empty");
                None
            }
        }
    }

    pub fn address(&mut self, path: &str) -> SocketAddr {
        let Some(text) = self.text(path) else { return NO_ADDRESS };
        text.parse().unwrap_or_else(|_| {
            self.fault(path, "must be an address such as 10.0.0.1:8080");
            NO_ADDRESS
        })
    }

    pub fn amount(&mut self, path: &str, min: f64, max: f64) -> f64 {
        let Some(field) = self.required(path) else { return min };
        match field.as_f64() {
            Some(amount) if (min..=max).contains(&amount) => amount,
            _ => {
                self.fault(path, format!("must be a number from {min} to {max}"));
                min
            }
        }
    }

    /// An amount that other versions of the file may lack.
    pub fn optional_amount(&mut self, path: &str, min: f64, max: f64) -> Option<f64> {
        match self.optional(path) {
            None | Some(Value::Null) => None,
            Some(_) => Some(self.amount(path, min, max)),
        }
    }

    pub fn seconds(&mut self, path: &str) -> Duration {
        Duration::from_secs_f64(self.amount(path, 0.001, 1e6))
    }

    pub fn list(&mut self, path: &str) -> &'a [Value] {
        let Some(field) = self.required(path) else { return &[] };
        match field.as_array() {
            Some(list) => list,
            None => {
                self.fault(path, "must be a list");
                &[]
            }
        }
    }
}
