//! Parsing of `[rank SERVICE/NAME]` sections.

use flamingorock_core::configuration::Rank;

use super::named_section::NamedSection;
use super::section_index::SectionIndex;
use super::service;
use crate::ConfigError;
use crate::section_reader::SectionReader;
use crate::value::{Decimal, Integer};

/// Parses the ranks of a service, in the order of the key `ranks` in the service's section.
pub(super) fn read_all(
    index: &SectionIndex<'_>,
    service: &NamedSection<'_>,
    names: &[String],
    errors: &mut Vec<ConfigError>,
) -> Option<Vec<Rank>> {
    let mut ranks = Vec::new();
    for name in names {
        let section =
            index.ranks.iter().find(|rank| rank.parent == service.name && rank.name == name);
        match section {
            Some(rank) => ranks.push(read(index, rank, errors)),
            None => {
                let found = format!("the rank {name}, which has no section");
                let allowed = format!("a section [rank {}/{name}]", service.name);
                errors.push(ConfigError::in_key(
                    index.file,
                    service.section,
                    "ranks",
                    &found,
                    &allowed,
                ));
                ranks.push(None);
            }
        }
    }
    let floor_percent_sum: u32 =
        ranks.iter().flatten().map(|rank| u32::from(rank.floor_percent)).sum();
    if floor_percent_sum > 100 {
        let found = format!("floors of {floor_percent_sum} percent in total");
        let allowed = "floor_percent of all ranks of a service: at most 100 in total";
        errors.push(ConfigError::in_section(index.file, service.section, &found, allowed));
    }
    ranks.into_iter().collect()
}

fn read(
    index: &SectionIndex<'_>,
    named: &NamedSection<'_>,
    errors: &mut Vec<ConfigError>,
) -> Option<Rank> {
    let mut reader =
        SectionReader::new(index.file, &named.section.name, Some(named.section), errors);
    let rank = read_keys(&mut reader, named.name);
    reader.finish();
    rank
}

fn read_keys(reader: &mut SectionReader<'_>, name: &str) -> Option<Rank> {
    let time_ms = Integer::<u64>::new(1, 3_600_000);
    let target_latency_ms = reader.required("target_latency_ms", &time_ms);
    let target_percent = reader.required("target_percent", &Decimal { above: 0.0, below: 100.0 });
    let floor_percent = reader.required("floor_percent", &Integer::new(0, 100));
    let worth = reader.required("worth", &Integer::new(0, 1_000_000));
    let deadline_ms = reader.required("deadline_ms", &time_ms);
    if let (Some(target_ms), Some(deadline_ms)) = (target_latency_ms, deadline_ms)
        && target_ms > deadline_ms
    {
        let found = format!("\"{target_ms}\", which is above deadline_ms");
        let allowed = format!("at most deadline_ms, which is {deadline_ms}");
        reader.error("target_latency_ms", &found, &allowed);
    }
    Some(Rank {
        name: name.to_owned(),
        target_latency_us: target_latency_ms? * 1000,
        target_fraction: percent_to_fraction(target_percent?),
        floor_percent: floor_percent?,
        worth: worth?,
        deadline_us: deadline_ms? * 1000,
    })
}

/// Reports ranks whose service does not exist or does not list them in `ranks`.
pub(super) fn report_unlisted_ranks(index: &SectionIndex<'_>, errors: &mut Vec<ConfigError>) {
    for rank in &index.ranks {
        let service = index.services.iter().find(|service| service.name == rank.parent);
        let found = match service {
            None => format!("a rank of the service {}, which does not exist", rank.parent),
            Some(service) => match service::read_rank_names(service) {
                Some(names) if !names.iter().any(|name| name == rank.name) => {
                    format!("a rank that the service {} does not list", rank.parent)
                }
                _ => continue,
            },
        };
        let allowed = "a rank that a service lists in ranks";
        errors.push(ConfigError::in_section(index.file, rank.section, &found, allowed));
    }
}

/// Converts a percentage to a fraction. The percentage is first scaled to an integer, so that 99.9
/// becomes the `f64` nearest to 0.999; `99.9 / 100.0` is 0.9990000000000001.
fn percent_to_fraction(percent: f64) -> f64 {
    let scale =
        10f64.powi(i32::try_from(Decimal::MAX_DECIMALS).expect("MAX_DECIMALS fits in an i32"));
    (percent * scale).round() / (scale * 100.0)
}
