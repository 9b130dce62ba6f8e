//! Demo job: proxies and stand-ins on loopback, with an instance and a proxy killed on the way.

mod admin;
mod background_writer;
mod demo_arguments;
mod demo_error;
mod fleet;
mod folder;
mod ledger;
mod proxy;
mod settings;
mod summary;
mod wait;

use std::time::{Duration, Instant};

pub use demo_arguments::DemoArguments;
pub use demo_error::DemoError;

use background_writer::BackgroundWriter;
use fleet::Fleet;
use ledger::Ledger;
use summary::Summary;
use wait::Wait;

/// Callers that write while something fails, so that writes are under way at any moment.
const BACKGROUND_WRITERS: i32 = 4;

/// Runs the job and prints what happens, line by line.
///
/// # Errors
///
/// Something cannot be started, a state is not reached, the job is interrupted, or an acknowledged
/// write is lost or doubled. All processes have been ended and the folder has been removed.
pub fn run(arguments: &DemoArguments) -> Result<(), DemoError> {
    let wait = Wait::new(Duration::from_secs(arguments.limit_s))?;
    let mut fleet = Fleet::start(arguments, &wait)?;
    let mut ledger = Ledger::new(1);
    show_consistency(&fleet, &mut ledger, &wait)?;
    show_transaction(&fleet, &mut ledger, &wait)?;
    let start = |index| BackgroundWriter::start(index, fleet.proxy_urls());
    let writers: Vec<_> = (1..=BACKGROUND_WRITERS).map(start).collect();
    println!("{BACKGROUND_WRITERS} callers write invoices through both proxies from here on");
    let primary_gap = show_primary_loss(&mut fleet, &mut ledger, &wait)?;
    let owner_gap = show_owner_loss(&mut fleet, &mut ledger, &wait)?;
    for writer in writers {
        ledger.merge(writer.stop()?);
    }
    let found = fleet.logged_invoices(&wait)?;
    let summary = Summary::new(&ledger, &found, primary_gap, owner_gap);
    println!("{summary}");
    if summary.is_correct() { Ok(()) } else { Err(DemoError::Incorrect) }
}

/// Writes through each proxy and reads through the other one.
fn show_consistency(fleet: &Fleet, ledger: &mut Ledger, wait: &Wait) -> Result<(), DemoError> {
    let [first, second] = &fleet.proxies;
    for (writer, reader) in [(first, second), (second, first)] {
        let number = ledger.write_until_acknowledged(&[&writer.url()], wait)?;
        let rows = ledger.read_back(&[&reader.url()], number, wait)?;
        println!(
            "invoice {number} written through {}, read back through {}: {rows} row",
            writer.name, reader.name
        );
    }
    Ok(())
}

/// Writes two invoices in one transaction.
fn show_transaction(fleet: &Fleet, ledger: &mut Ledger, wait: &Wait) -> Result<(), DemoError> {
    let [first, second] = &fleet.proxies;
    let numbers = ledger.write_transaction(&first.url())?;
    let mut rows = 0;
    for number in numbers {
        rows += ledger.read_back(&[&second.url()], number, wait)?;
    }
    println!("transaction with invoices {numbers:?} committed, read back: {rows} rows");
    Ok(())
}

/// Kills the primary. Returns the time until the next acknowledged write.
fn show_primary_loss(
    fleet: &mut Fleet,
    ledger: &mut Ledger,
    wait: &Wait,
) -> Result<Duration, DemoError> {
    let old = fleet.primary(wait)?;
    let killed_at = Instant::now();
    let name = fleet.kill_instance(old);
    println!("primary {name} killed");
    let gap = show_recovery(&fleet.proxy_urls(), ledger, killed_at, wait)?;
    let new = fleet.primary(wait)?;
    println!("primary is now {}", fleet.instance_name(new));
    Ok(gap)
}

/// Kills the owning proxy. Returns the time until the next acknowledged write.
fn show_owner_loss(
    fleet: &mut Fleet,
    ledger: &mut Ledger,
    wait: &Wait,
) -> Result<Duration, DemoError> {
    let owner = fleet.owner(wait)?;
    let killed_at = Instant::now();
    fleet.proxies[owner].kill()?;
    println!("owning proxy {} killed", fleet.proxies[owner].name);
    let survivor = fleet.proxies[1 - owner].url();
    show_recovery(&[survivor], ledger, killed_at, wait)
}

fn show_recovery(
    urls: &[String],
    ledger: &mut Ledger,
    killed_at: Instant,
    wait: &Wait,
) -> Result<Duration, DemoError> {
    let urls: Vec<&str> = urls.iter().map(String::as_str).collect();
    let number = ledger.write_until_acknowledged(&urls, wait)?;
    let gap = killed_at.elapsed();
    let rows = ledger.read_back(&urls, number, wait)?;
    println!(
        "invoice {number} written and read back: {rows} row; {} ms without service",
        gap.as_millis()
    );
    Ok(gap)
}
