//! `burn`.

use flamingorock_core::burn::BurnReport;

use crate::admin::{AdminClient, Answers};
use crate::{BurnSummary, Failure};

/// Merges the burn reports of all given proxies.
pub(crate) fn burn(client: &AdminClient<'_>) -> Result<BurnSummary, Failure> {
    let Answers { answers, missing } = client.get_all::<BurnReport>("/admin/burn")?;
    Ok(BurnSummary::merge(answers.iter().map(|(_, report)| report), missing))
}
