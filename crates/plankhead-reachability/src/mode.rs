//! The reachability mode of a node.

use serde::{Deserialize, Serialize};

/// Which sides a node reaches.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// Both sides, or nothing shows that one is not reached.
    #[default]
    Whole,
    /// The state service, but no workers.
    StateOnly,
    /// Workers, but not the state service.
    WorkersOnly,
    /// Neither side.
    Isolated,
}

/// All modes, in the order of their codes.
pub const MODES: [Mode; 4] = [Mode::Whole, Mode::StateOnly, Mode::WorkersOnly, Mode::Isolated];

impl Mode {
    /// The mode of a node that reaches these sides.
    pub fn of(state: bool, workers: bool) -> Self {
        match (state, workers) {
            (true, true) => Self::Whole,
            (true, false) => Self::StateOnly,
            (false, true) => Self::WorkersOnly,
            (false, false) => Self::Isolated,
        }
    }

    /// The mode's name in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::StateOnly => "state only",
            Self::WorkersOnly => "workers only",
            Self::Isolated => "isolated",
        }
    }

    /// The mode's number on the wire.
    pub fn code(self) -> u8 {
        self as u8
    }

    /// The mode of a number on the wire.
    pub fn from_code(code: u8) -> Option<Self> {
        MODES.get(usize::from(code)).copied()
    }
}
