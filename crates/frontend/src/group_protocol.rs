//! Calls to database instances.

mod function_group_protocol;
mod group_error;

use bytes::Bytes;
use flamingorock_core::InstanceReport;
use flamingorock_core::control::InstanceOperation;

pub use function_group_protocol::FunctionGroupProtocol;
pub use group_error::GroupError;

/// How calls to database instances are encoded.
pub trait GroupProtocol {
    /// SQL text of a call.
    fn sql(&self, operation: InstanceOperation) -> String;

    /// Payload of a call for a connection to the instance.
    fn payload(&self, operation: InstanceOperation) -> Bytes {
        crate::wire::query(self.sql(operation))
    }

    /// Reads the answer to a call, up to and including `ReadyForQuery`.
    fn report(&self, answer: &[u8]) -> Result<InstanceReport, GroupError>;
}
