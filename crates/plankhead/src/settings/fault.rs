//! What can be wrong with the settings files.

use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// A fault of a settings file; its text is one line for the operators.
#[derive(Debug, Error)]
pub enum SettingsFault {
    /// A file that can't be read.
    #[error("{} can't be read: {error}", path.display())]
    Unreadable { path: PathBuf, error: io::Error },
    /// A file that is no JSON.
    #[error("{} is not JSON: {error}", path.display())]
    NotJson { path: PathBuf, error: serde_json::Error },
    /// A file that is JSON and no object.
    #[error("{} must hold a JSON object", path.display())]
    NotAnObject { path: PathBuf },
    /// A field of the platform's file.
    #[error("settings: {path}: {reason}")]
    Field { path: String, reason: String },
    /// A field of another file, named by a JSON pointer, that does not match the file's schema.
    #[error("{file}: {pointer}: {reason}")]
    SchemaViolation { file: &'static str, pointer: String, reason: String },
    /// A schema that is built into the program and can't be used.
    #[error("the schema itself is bad: {reason}")]
    InvalidSchema { reason: String },
    /// A file that matches its schema and still can't be read.
    #[error("{file}: {error}")]
    Malformed { file: &'static str, error: serde_json::Error },
}
