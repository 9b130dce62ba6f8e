//! The protocol towards callers.

mod batch;
mod caller_codec;
mod caller_message;
mod extended;
mod frame;
mod greeting;
mod kept_statements;
mod limits;
mod local_answer;
mod local_statement;
mod options;
mod plan;
mod portals;
mod prepared;
mod protocol_error;
mod rank_list;
mod request;
mod requests;
mod session;
mod session_settings;
mod setting;
mod startup;

pub use caller_codec::CallerCodec;
pub use caller_message::CallerMessage;
pub use greeting::Greeting;
pub use limits::CallerLimits;
pub use local_statement::LocalStatement;
pub use plan::AnswerMismatch;
pub use protocol_error::ProtocolError;
pub use rank_list::RankList;
pub use request::Request;
pub use session_settings::SessionSettings;
pub use setting::Setting;
pub use startup::StartupRequest;
