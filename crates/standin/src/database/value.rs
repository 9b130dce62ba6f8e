//! Values, their types and their wire formats.

use serde::{Deserialize, Serialize};

use super::error::SqlError;

/// Type of a column, parameter or expression.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum Type {
    Bool,
    Int4,
    Int8,
    Text,
    /// Only as the argument of `pg_sleep`; the value is kept as text.
    Float8,
    /// Only as the result of `pg_sleep`.
    Void,
}

impl Type {
    /// Object id of the type in the PostgreSQL catalog (`pg_type.dat`).
    pub(crate) fn oid(self) -> u32 {
        match self {
            Self::Bool => 16,
            Self::Int8 => 20,
            Self::Int4 => 23,
            Self::Text => 25,
            Self::Float8 => 701,
            Self::Void => 2278,
        }
    }

    /// Type for an object id from a client; types that are not known are read as text.
    pub(crate) fn from_oid(oid: u32) -> Self {
        match oid {
            16 => Self::Bool,
            20 => Self::Int8,
            21 | 23 => Self::Int4,
            701 => Self::Float8,
            _ => Self::Text,
        }
    }

    /// Type for a name in a `CREATE TABLE` statement or a cast.
    pub(crate) fn from_name(name: &str) -> Option<Self> {
        Some(match name {
            "bool" | "boolean" => Self::Bool,
            "int4" | "int" | "integer" => Self::Int4,
            "int8" | "bigint" => Self::Int8,
            "text" | "varchar" => Self::Text,
            "float8" => Self::Float8,
            _ => return None,
        })
    }

    /// Width of the binary format in bytes; -1 for types of variable width.
    pub(crate) fn size_bytes(self) -> i16 {
        match self {
            Self::Bool => 1,
            Self::Int4 => 4,
            Self::Int8 | Self::Float8 => 8,
            Self::Text => -1,
            Self::Void => 4,
        }
    }
}

/// Value of a column or expression.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub(crate) enum Value {
    Bool(bool),
    Int(i64),
    Text(String),
    /// Last, because null sorts after all other values.
    Null,
}

/// One row of a table or of a result.
pub(crate) type Row = Vec<Value>;

impl Value {
    /// Reads a parameter in the text or binary format.
    pub(crate) fn decode(bytes: &[u8], ty: Type, binary: bool) -> Result<Self, SqlError> {
        if !binary || ty == Type::Text {
            let text = std::str::from_utf8(bytes).map_err(|_| malformed("text", ty))?;
            return Self::Text(text.to_owned()).cast(ty);
        }
        match (ty, bytes) {
            (Type::Bool, [byte]) => Ok(Self::Bool(*byte != 0)),
            (Type::Int4 | Type::Int8, _) => match *bytes {
                [a, b] => Ok(Self::Int(i16::from_be_bytes([a, b]).into())),
                [a, b, c, d] => Ok(Self::Int(i32::from_be_bytes([a, b, c, d]).into())),
                [a, b, c, d, e, f, g, h] => {
                    Ok(Self::Int(i64::from_be_bytes([a, b, c, d, e, f, g, h])))
                }
                _ => Err(malformed("binary integer", ty)),
            },
            (Type::Float8, _) => match <[u8; 8]>::try_from(bytes) {
                Ok(bytes) => Ok(Self::Text(f64::from_be_bytes(bytes).to_string())),
                Err(_) => Err(malformed("binary number", ty)),
            },
            _ => Err(malformed("binary value", ty)),
        }
    }

    /// Converts to a type, with the rules of an assignment.
    pub(crate) fn cast(self, ty: Type) -> Result<Self, SqlError> {
        match (self, ty) {
            (Self::Null, _) => Ok(Self::Null),
            (Self::Text(text), Type::Bool) => match text.trim() {
                "t" | "true" | "on" | "1" => Ok(Self::Bool(true)),
                "f" | "false" | "off" | "0" => Ok(Self::Bool(false)),
                _ => Err(malformed(&text, ty)),
            },
            (Self::Text(text), Type::Int4 | Type::Int8) => match text.trim().parse() {
                Ok(number) => Self::Int(number).cast(ty),
                Err(_) => Err(malformed(&text, ty)),
            },
            (Self::Int(number), Type::Int4) if i32::try_from(number).is_err() => {
                Err(SqlError::new("22003", "integer out of range"))
            }
            (Self::Bool(value), Type::Int4 | Type::Int8) => Err(mismatch(&value.to_string(), ty)),
            (Self::Int(value), Type::Bool) => Err(mismatch(&value.to_string(), ty)),
            (value @ (Self::Int(_) | Self::Bool(_)), Type::Text | Type::Float8) => {
                Ok(Self::Text(value.to_text()))
            }
            (value, _) => Ok(value),
        }
    }

    /// Text format of the value; empty for null.
    pub(crate) fn to_text(&self) -> String {
        match self {
            Self::Null => String::new(),
            Self::Bool(value) => if *value { "t" } else { "f" }.to_owned(),
            Self::Int(number) => number.to_string(),
            Self::Text(text) => text.clone(),
        }
    }

    /// Encodes the value for a result column; `None` for null.
    pub(crate) fn encode(&self, ty: Type, binary: bool) -> Option<Vec<u8>> {
        match (self, ty) {
            (Self::Null, _) => None,
            (Self::Bool(value), _) if binary => Some(vec![u8::from(*value)]),
            (Self::Int(number), Type::Int4) if binary => {
                i32::try_from(*number).ok().map(|number| number.to_be_bytes().to_vec())
            }
            (Self::Int(number), _) if binary => Some(number.to_be_bytes().to_vec()),
            _ => Some(self.to_text().into_bytes()),
        }
    }
}

fn malformed(found: &str, ty: Type) -> SqlError {
    SqlError::new("22P02", format!("invalid input for type {ty:?}: {found}"))
}

fn mismatch(found: &str, ty: Type) -> SqlError {
    SqlError::new("42804", format!("{found} is not of type {ty:?}"))
}
