//! Parsers for the values of keys.

mod address;
mod choice;
mod decimal;
mod integer;
mod name;
mod name_list;
mod prefix;
mod secret;
mod service_url;
mod url;

pub(crate) use address::Address;
pub(crate) use choice::Choice;
pub(crate) use decimal::Decimal;
pub(crate) use integer::Integer;
pub(crate) use name::Name;
pub(crate) use name_list::NameList;
pub(crate) use prefix::Prefix;
pub(crate) use secret::Secret;
pub use service_url::ServiceUrl;
pub(crate) use url::Url;

/// A kind of value: parses it and describes the allowed and the invalid input in errors.
pub(crate) trait ValueKind {
    /// Type of the parsed value.
    type Value;

    /// Parses a value. Returns `None` if it is invalid.
    fn parse(&self, text: &str) -> Option<Self::Value>;

    /// Describes the allowed values, for [`ConfigError::allowed`](crate::ConfigError::allowed).
    fn allowed(&self) -> String;

    /// Describes an invalid value, for [`ConfigError::found`](crate::ConfigError::found).
    fn found(&self, text: &str) -> String {
        if text.is_empty() { "an empty value".to_owned() } else { format!("\"{text}\"") }
    }
}
