//! Parsing of `[service NAME]` sections.

use flamingorock_core::RankIndex;
use flamingorock_core::configuration::{Durability, Rank, Service};

use super::named_section::NamedSection;
use super::rank;
use super::section_index::SectionIndex;
use crate::ConfigError;
use crate::section_reader::SectionReader;
use crate::value::{Choice, Integer, Name, NameList};

/// Maximum number of ranks of a service. Each rank has a queue in each database.
pub(super) const MAX_RANKS: usize = 8;

const DURABILITIES: [(&str, Durability); 2] =
    [("replica", Durability::Replica), ("primary", Durability::Primary)];

/// Parses a service and its ranks.
pub(super) fn read(
    index: &SectionIndex<'_>,
    named: &NamedSection<'_>,
    errors: &mut Vec<ConfigError>,
) -> Option<Service> {
    let rank_names = read_rank_names(named);
    let ranks = rank_names.as_deref().and_then(|names| rank::read_all(index, named, names, errors));
    let mut reader =
        SectionReader::new(index.file, &named.section.name, Some(named.section), errors);
    let service = read_keys(&mut reader, named.name, rank_names.as_deref(), ranks);
    reader.finish();
    service
}

/// Parses the key `ranks` without reporting errors, which [`read_keys`] does.
pub(super) fn read_rank_names(named: &NamedSection<'_>) -> Option<Vec<String>> {
    let mut ignored_errors = Vec::new();
    SectionReader::new("", &named.section.name, Some(named.section), &mut ignored_errors)
        .required("ranks", &NameList { max: MAX_RANKS })
}

fn read_keys(
    reader: &mut SectionReader<'_>,
    name: &str,
    rank_names: Option<&[String]>,
    ranks: Option<Vec<Rank>>,
) -> Option<Service> {
    let durability = reader.optional("durability", &Choice(&DURABILITIES), Durability::default());
    let max_staleness_ms = reader.optional("max_staleness_ms", &Integer::new(0, 86_400_000), 0u64);
    reader.required("ranks", &NameList { max: MAX_RANKS });
    let default_rank = read_default_rank(reader, rank_names);
    let queue_limit = reader.optional("queue_limit", &Integer::new(1, 1_000_000), 1000);
    let callers_limit = reader.optional("callers_limit", &Integer::new(1, 1_000_000), 2000);
    let max_request_bytes =
        reader.optional("max_request_bytes", &Integer::new(1024, 1 << 30), 1 << 20);
    let max_answer_bytes =
        reader.optional("max_answer_bytes", &Integer::new(1024, 1 << 30), 16 << 20);
    let idle_transaction_ms =
        reader.optional("idle_transaction_ms", &Integer::new(1, 86_400_000), 30_000u64);
    Some(Service {
        name: name.to_owned(),
        durability: durability?,
        max_staleness_us: max_staleness_ms? * 1000,
        ranks: ranks?,
        default_rank: default_rank?,
        queue_limit: queue_limit?,
        callers_limit: callers_limit?,
        max_request_bytes: max_request_bytes?,
        max_answer_bytes: max_answer_bytes?,
        idle_transaction_us: idle_transaction_ms? * 1000,
    })
}

fn read_default_rank(
    reader: &mut SectionReader<'_>,
    rank_names: Option<&[String]>,
) -> Option<RankIndex> {
    let name = reader.required("default_rank", &Name)?;
    let names = rank_names?;
    match names.iter().position(|other| *other == name) {
        Some(position) => Some(RankIndex(u8::try_from(position).ok()?)),
        None => {
            let found = format!("\"{name}\", which is not in ranks");
            reader.error("default_rank", &found, &names.join(", "));
            None
        }
    }
}
