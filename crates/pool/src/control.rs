//! Cluster membership, instance discovery and failover of primaries.
//!
//! [`Control`] mirrors the platform's store, exchanges heartbeats with the other proxies, decides
//! when a primary must be replaced and performs the failover. It publishes what it knows to the
//! traffic thread as a [`PoolView`](crate::PoolView).
//!
//! Four rules make a failover safe:
//!
//! - Majorities are counted over the agreed [`MembershipRecord`], which changes only by conditional
//!   writes, and never so that two majorities without a common member may decide.
//! - The claim is a conditional write of the replica set's [`PromotionRecord`]; each claim has a
//!   higher fencing token.
//! - The claim's holder waits until every other proxy has either confirmed that it stopped using
//!   the old primary or must have lost its [`Permit`](crate::Permit).
//! - The holder sends the promotion call only for a bounded time after its claim, and a proxy that
//!   claims next waits until that time is over.

mod action;
mod control_config;
mod directory;
mod directory_record;
mod event;
mod failover;
mod failover_kind;
mod known_primary;
mod lag_check;
mod machine;
mod member;
mod member_record;
mod membership;
mod membership_change;
mod membership_record;
mod peer_message;
mod promotion_record;
mod replica_set_state;
mod state_change;
mod store_call;
mod store_item;
mod systems;
mod tables;

pub use action::Action;
pub use control_config::ControlConfig;
pub use directory_record::DirectoryRecord;
pub use event::Event;
pub use machine::Control;
pub use member_record::MemberRecord;
pub use membership_record::MembershipRecord;
pub use peer_message::{Heartbeat, PeerMessage, PositionSample, ReplicaSetReport, SilentPeer};
pub use promotion_record::{PromotionRecord, PromotionState};
pub use state_change::StateChange;
pub use store_call::{Condition, PromotionOutcome, StoreCall, StoreOutcome, StoreResponse};
pub use store_item::{StoreContent, StoreItem, StoreKey};
