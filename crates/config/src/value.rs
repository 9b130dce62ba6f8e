//! Kinds of values.

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

/// What the value of a key may be.
pub(crate) trait ValueKind {
    /// Type of the value.
    type Value;

    /// Reads a value; `None` if it is not allowed.
    fn parse(&self, text: &str) -> Option<Self::Value>;

    /// Says what is allowed.
    fn allowed(&self) -> String;

    /// Shows what was found.
    fn found(&self, text: &str) -> String {
        if text.is_empty() { "an empty value".to_owned() } else { format!("\"{text}\"") }
    }
}
