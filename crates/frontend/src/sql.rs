//! A small SQL tokenizer and what the classification derives from its tokens.

mod functions;
mod scan;
mod settings;
mod token;
mod tokenizer;
mod transaction;
mod unsupported;

pub(crate) use scan::StatementScan;
pub(crate) use settings::{local_statement, setting_from_text};
pub(crate) use token::Token;
pub(crate) use tokenizer::Tokenizer;
pub(crate) use transaction::transaction_kind;
pub(crate) use unsupported::unsupported_statement;
