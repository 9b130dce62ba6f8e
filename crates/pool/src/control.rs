//! Members, instances and primaries.
//!
//! [`Control`] mirrors the platform's store, exchanges heartbeats with the other proxies, decides
//! when a primary is to be replaced and carries the replacement out. Its belief goes to the traffic
//! thread as a [`PoolView`](crate::PoolView).
//!
//! A replacement is safe because of three rules. Its claim is a conditional write of the replica
//! set's [`PromotionRecord`], whose fence rises with each claim. The claimant waits until every
//! other proxy has agreed to stop using the old primary or must have lost its
//! [`Permit`](crate::Permit). And it sends the promotion only for a bounded time after its claim,
//! which a successor waits out.

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
pub use peer_message::{Heartbeat, PeerMessage, ReplicaSetReport, SilentPeer};
pub use promotion_record::{PromotionRecord, PromotionState};
pub use state_change::StateChange;
pub use store_call::{Condition, PromotionOutcome, StoreAnswer, StoreCall, StoreOutcome};
pub use store_item::{StoreContent, StoreItem, StoreKey};
