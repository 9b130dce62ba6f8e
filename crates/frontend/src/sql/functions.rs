//! Functions and keywords that may stand before a parenthesis.

/// Built-in functions without side effects and without session state. `now` is on the list because
/// the same value is available as `CURRENT_TIMESTAMP`, which has no parenthesis.
const PURE: &[&str] = &[
    "abs",
    "array_agg",
    "array_length",
    "avg",
    "bool_and",
    "bool_or",
    "btrim",
    "cardinality",
    "cast",
    "ceil",
    "ceiling",
    "char_length",
    "character_length",
    "coalesce",
    "concat",
    "concat_ws",
    "count",
    "current_timestamp",
    "date_part",
    "date_trunc",
    "dense_rank",
    "every",
    "exists",
    "extract",
    "first_value",
    "floor",
    "greatest",
    "initcap",
    "json_agg",
    "json_build_object",
    "jsonb_agg",
    "jsonb_build_object",
    "lag",
    "last_value",
    "lead",
    "least",
    "left",
    "length",
    "lower",
    "lpad",
    "ltrim",
    "max",
    "md5",
    "min",
    "mod",
    "now",
    "nullif",
    "octet_length",
    "overlay",
    "position",
    "power",
    "rank",
    "repeat",
    "replace",
    "reverse",
    "right",
    "round",
    "row_number",
    "rpad",
    "rtrim",
    "sign",
    "split_part",
    "sqrt",
    "starts_with",
    "string_agg",
    "strpos",
    "substr",
    "substring",
    "sum",
    "to_char",
    "to_date",
    "to_timestamp",
    "trim",
    "trunc",
    "unnest",
    "upper",
];

/// Type names that take a length or a precision.
const TYPES: &[&str] = &[
    "bit",
    "char",
    "character",
    "decimal",
    "float",
    "interval",
    "numeric",
    "time",
    "timestamp",
    "varchar",
];

/// Keywords of PostgreSQL that cannot be the name of a function unless quoted.
const RESERVED: &[&str] = &[
    "all",
    "and",
    "any",
    "array",
    "as",
    "between",
    "case",
    "distinct",
    "else",
    "except",
    "from",
    "having",
    "in",
    "intersect",
    "lateral",
    "limit",
    "not",
    "offset",
    "on",
    "or",
    "returning",
    "row",
    "select",
    "some",
    "then",
    "union",
    "using",
    "values",
    "when",
    "where",
];

/// Functions that take or release advisory locks of the session.
const SESSION: &[&str] = &[
    "pg_advisory_lock",
    "pg_advisory_lock_shared",
    "pg_advisory_unlock",
    "pg_advisory_unlock_all",
    "pg_advisory_unlock_shared",
    "pg_try_advisory_lock",
    "pg_try_advisory_lock_shared",
];

/// Whether a name is that of a pure built-in function or a type.
pub(super) fn is_pure(name: &[u8]) -> bool {
    contains(PURE, name) || contains(TYPES, name)
}

/// Whether a name is a reserved keyword.
pub(super) fn is_reserved(name: &[u8]) -> bool {
    contains(RESERVED, name)
}

/// Whether a name is that of a function that takes or releases advisory locks of the session.
pub(super) fn is_session_lock(name: &[u8]) -> bool {
    contains(SESSION, name)
}

fn contains(list: &[&str], name: &[u8]) -> bool {
    list.iter().any(|entry| name.eq_ignore_ascii_case(entry.as_bytes()))
}
