//! Reads fields of the platform's file and collects its errors.

use super::SettingsFault;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

/// The placeholder for an address that is missing or malformed.
const PLACEHOLDER_ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::UNSPECIFIED), 0);

/// Reads the fields of one JSON value of the file. A field is identified by its path, with dots between
/// the keys. If a field is missing or invalid, the reader adds a fault and returns a placeholder: the
/// smallest allowed number, an empty list, `PLACEHOLDER_ADDRESS`, or `None` for a text.
pub struct FieldReader<'a> {
    value: &'a Value,
    /// The path of the value in the file, followed by a dot, or an empty text for the whole file.
    prefix: String,
    faults: &'a mut Vec<SettingsFault>,
}

impl<'a> FieldReader<'a> {
    pub fn new(root: &'a Value, faults: &'a mut Vec<SettingsFault>) -> Self {
        Self { value: root, prefix: String::new(), faults }
    }

    /// Returns a reader for an entry of a list.
    pub fn entry<'b>(&'b mut self, list: &str, index: usize, value: &'b Value) -> FieldReader<'b> {
        FieldReader { value, prefix: format!("{}{list}[{index}].", self.prefix), faults: self.faults }
    }

    pub fn add_fault(&mut self, path: &str, reason: impl Into<String>) {
        let path = format!("{}{path}", self.prefix);
        self.faults.push(SettingsFault::Field { path, reason: reason.into() });
    }

    /// Returns a field that may be missing.
    pub fn optional(&self, path: &str) -> Option<&'a Value> {
        path.split('.').try_fold(self.value, |value, key| value.get(key))
    }

    fn required(&mut self, path: &str) -> Option<&'a Value> {
        let field = self.optional(path);
        if field.is_none() {
            self.add_fault(path, "is missing");
        }
        field
    }

    pub fn text(&mut self, path: &str) -> Option<String> {
        let field = self.required(path)?;
        match field.as_str() {
            Some(text) if !text.is_empty() => Some(text.into()),
            _ => {
                self.add_fault(path, "must be a non-empty string");
                None
            }
        }
    }

    pub fn address(&mut self, path: &str) -> SocketAddr {
        let Some(text) = self.text(path) else { return PLACEHOLDER_ADDRESS };
        text.parse().unwrap_or_else(|_| {
            self.add_fault(path, "must be an address such as 10.0.0.1:8080");
            PLACEHOLDER_ADDRESS
        })
    }

    pub fn number(&mut self, path: &str, min: f64, max: f64) -> f64 {
        let Some(field) = self.required(path) else { return min };
        match field.as_f64() {
            Some(number) if (min..=max).contains(&number) => number,
            _ => {
                self.add_fault(path, format!("must be a number from {min} to {max}"));
                min
            }
        }
    }

    /// Reads a number that some versions of the file do not contain.
    pub fn optional_number(&mut self, path: &str, min: f64, max: f64) -> Option<f64> {
        match self.optional(path) {
            None | Some(Value::Null) => None,
            Some(_) => Some(self.number(path, min, max)),
        }
    }

    pub fn seconds(&mut self, path: &str) -> Duration {
        Duration::from_secs_f64(self.number(path, 0.001, 1e6))
    }

    pub fn list(&mut self, path: &str) -> &'a [Value] {
        let Some(field) = self.required(path) else { return &[] };
        match field.as_array() {
            Some(list) => list,
            None => {
                self.add_fault(path, "must be a list");
                &[]
            }
        }
    }
}
