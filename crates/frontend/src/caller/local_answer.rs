//! Encoding of the answers to statements that the proxy answers by itself.

use bytes::{BufMut, BytesMut};
use pgwire::messages::data::{DataRow, FieldDescription, RowDescription};
use pgwire::messages::response::{CommandComplete, EmptyQueryResponse};

use super::greeting::application_name_status;
use super::{LocalStatement, RankList, SessionSettings, Setting};
use crate::wire;

/// Object identifier and size of the type `text`.
const TEXT_TYPE: (u32, i16) = (25, -1);

/// Appends the answer to a statement that has been carried out, without a row description.
pub(crate) fn append_result(
    statement: &LocalStatement,
    settings: &SessionSettings,
    ranks: &RankList,
    buffer: &mut BytesMut,
) {
    if let LocalStatement::Show(setting) = statement {
        wire::append(&row(&settings.show(*setting, ranks)), buffer);
    }
    match statement.tag() {
        Some(tag) => wire::append(&CommandComplete::new(tag.to_owned()), buffer),
        None => wire::append(&EmptyQueryResponse::new(), buffer),
    }
    if changes_application_name(statement) {
        wire::append(&application_name_status(&settings.application_name), buffer);
    }
}

/// Describes the row of `SHOW`.
pub(crate) fn row_description(setting: Setting) -> RowDescription {
    let (type_id, type_size) = TEXT_TYPE;
    let name = setting.name().to_owned();
    RowDescription::new(vec![FieldDescription::new(name, 0, 0, type_id, type_size, -1, 0)])
}

fn row(value: &str) -> DataRow {
    let mut data = BytesMut::with_capacity(4 + value.len());
    let length = i32::try_from(value.len()).expect("values of settings are short");
    data.put_i32(length);
    data.put_slice(value.as_bytes());
    DataRow::new(data, 1)
}

fn changes_application_name(statement: &LocalStatement) -> bool {
    matches!(
        statement,
        LocalStatement::SetApplicationName(_)
            | LocalStatement::Reset(Setting::ApplicationName)
            | LocalStatement::ResetAll
            | LocalStatement::DiscardAll
    )
}
