//! Shards of machines: which controller holds which of them, and how they move.
//!
//! One controller, the leader, decides what runs where. The workers' side is divided: a
//! machine belongs to a shard by its zone and name, and each shard has one holder, which
//! answers the reports of its machines and passes commands on. The leader names holders in
//! records of the state service; the revision of that write is the shard's epoch, the
//! fencing token of all that its holder tells workers.
//!
//! Nothing here does input or output.

pub mod balance;
pub mod freshness;
pub mod machine_numbers;
pub mod record;
pub mod registry;
pub mod sequence;
pub mod settings;
pub mod shard;
pub mod state;
pub mod table;
