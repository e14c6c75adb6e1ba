//! The reachability mode of a node.

use serde::{Deserialize, Serialize};

/// Which of the two sides, the state service and the workers, a node reaches.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// The node reaches both sides, or there is no evidence that it does not.
    #[default]
    Whole,
    /// The node reaches the state service, but no workers.
    StateOnly,
    /// The node reaches workers, but not the state service.
    WorkersOnly,
    /// The node reaches neither side.
    Isolated,
}

/// All modes, in the order of their codes.
pub const MODES: [Mode; 4] = [Mode::Whole, Mode::StateOnly, Mode::WorkersOnly, Mode::Isolated];

impl Mode {
    /// Returns the mode of a node, given whether it reaches the state service and the workers.
    pub fn of(state: bool, workers: bool) -> Self {
        match (state, workers) {
            (true, true) => Self::Whole,
            (true, false) => Self::StateOnly,
            (false, true) => Self::WorkersOnly,
            (false, false) => Self::Isolated,
        }
    }

    /// Returns the mode's name in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::StateOnly => "state only",
            Self::WorkersOnly => "workers only",
            Self::Isolated => "isolated",
        }
    }

    /// Returns the mode's code in messages to peers.
    pub fn code(self) -> u8 {
        self as u8
    }

    /// Returns the mode with this code, or `None` if no mode has it.
    pub fn from_code(code: u8) -> Option<Self> {
        MODES.get(usize::from(code)).copied()
    }
}
