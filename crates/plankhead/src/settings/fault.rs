//! Errors in the settings files.

use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// An error in a settings file. Its text is one line for the operators.
#[derive(Debug, Error)]
pub enum SettingsFault {
    /// The file can't be read.
    #[error("{} can't be read: {error}", path.display())]
    Unreadable { path: PathBuf, error: io::Error },
    /// The file is not JSON.
    #[error("{} is not JSON: {error}", path.display())]
    NotJson { path: PathBuf, error: serde_json::Error },
    /// The file is JSON but not an object.
    #[error("{} must hold a JSON object", path.display())]
    NotAnObject { path: PathBuf },
    /// A field of the platform's file is missing or invalid.
    #[error("settings: {path}: {reason}")]
    Field { path: String, reason: String },
    /// A field of an operators' file, identified by a JSON pointer, does not match the file's schema.
    #[error("{file}: {pointer}: {reason}")]
    SchemaViolation { file: &'static str, pointer: String, reason: String },
    /// A schema that is built into the program is invalid.
    #[error("the built-in schema is invalid: {reason}")]
    InvalidSchema { reason: String },
    /// The file matches its schema but can't be decoded.
    #[error("{file}: {error}")]
    Malformed { file: &'static str, error: serde_json::Error },
}
