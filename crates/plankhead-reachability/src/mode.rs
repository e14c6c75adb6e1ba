//! What a node sees.

use serde::{Deserialize, Serialize};

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// Nothing says that a side is missing.
    #[default]
    Whole,
    /// The state service, and no workers.
    StateOnly,
    /// Workers, and no state service.
    WorkersOnly,
    Isolated,
}

pub const MODES: [Mode; 4] = [Mode::Whole, Mode::StateOnly, Mode::WorkersOnly, Mode::Isolated];

impl Mode {
    pub fn of(state: bool, workers: bool) -> Self {
        match (state, workers) {
            (true, true) => Self::Whole,
            (true, false) => Self::StateOnly,
            (false, true) => Self::WorkersOnly,
            (false, false) => Self::Isolated,
        }
    }

    pub fn name(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::StateOnly => "state only",
            Self::WorkersOnly => "workers only",
            Self::Isolated => "isolated",
        }
    }

    /// As a number on the wire.
    pub fn code(self) -> u8 {
        self as u8
    }

    pub fn from_code(code: u8) -> Option<Self> {
        MODES.get(usize::from(code)).copied()
    }
}
