//! Scripted fault scenarios for a simulated fleet. Each file in `scenarios` states the failure it guards
//! against, the faults to inject and the bounds that must hold.

mod scenario_support;
mod world;

use std::path::Path;

use scenario_support::Scenario;

fn scenario(path: &Path) -> datatest_stable::Result<()> {
    let scenario = Scenario::parse(&std::fs::read_to_string(path)?)?;
    let outcome = scenario.run();
    let name = path.file_stem().and_then(|stem| stem.to_str()).ok_or("a file name")?;
    insta::with_settings!({ prepend_module_to_snapshot => false }, {
        insta::assert_snapshot!(format!("scenario-{name}"), outcome.describe());
    });
    if outcome.violations.is_empty() { Ok(()) } else { Err(outcome.violations.join("\n").into()) }
}

datatest_stable::harness! {
    { test = scenario, root = "tests/scenarios", pattern = r"\.scenario$" },
}
