//! Parser and runner of the scenario files.
//!
//! A file has one statement per line; `#` starts a comment. A time is a number with the unit `us`, `ms` or
//! `s`.
//!
//! ```text
//! seeds 20                     run the scenario with the seeds 1 to 20
//! set lag 50ms                 setting of the simulation; see `Scenario::set`
//! at 2s kill-primary 0         inject a fault; the number is the index of the database
//! run 12s                      duration until all faults are ended
//! gap 0 from 2s at most 5s     longest time without an acknowledged write in a database
//! ```

use std::fmt::Write as _;

use flamingorock_core::configuration::Durability;

use crate::world::{Fault, Settings, World};

/// A parsed scenario file.
#[derive(Clone, Debug, Default)]
pub struct Scenario {
    pub seeds: u64,
    pub settings: Settings,
    pub faults: Vec<(u64, Fault)>,
    pub run_us: u64,
    pub gaps: Vec<GapBound>,
}

/// Upper bound on the time without an acknowledged write in a database, from `from_us` to the end of the
/// run.
#[derive(Clone, Copy, Debug)]
pub struct GapBound {
    pub database: usize,
    pub from_us: u64,
    pub at_most_us: u64,
}

impl Scenario {
    /// Parses the text of a scenario file.
    pub fn parse(text: &str) -> Result<Self, String> {
        let mut scenario = Self { seeds: 1, run_us: 10_000_000, ..Self::default() };
        for (index, line) in text.lines().enumerate() {
            let line = line.split('#').next().unwrap_or_default().trim();
            if !line.is_empty() {
                scenario
                    .parse_statement(line)
                    .map_err(|error| format!("line {}: {error}", index + 1))?;
            }
        }
        Ok(scenario)
    }

    fn parse_statement(&mut self, line: &str) -> Result<(), String> {
        let words: Vec<&str> = line.split_whitespace().collect();
        match words.as_slice() {
            ["seeds", count] => self.seeds = number(count)?,
            ["set", name, value] => self.set(name, value)?,
            ["at", time, fault @ ..] => self.faults.push((time_us(time)?, parse_fault(fault)?)),
            ["run", time] => self.run_us = time_us(time)?,
            ["gap", database, "from", from, "at", "most", bound] => self.gaps.push(GapBound {
                database: number(database)? as usize,
                from_us: time_us(from)?,
                at_most_us: time_us(bound)?,
            }),
            _ => return Err(format!("unknown statement {line:?}")),
        }
        Ok(())
    }

    fn set(&mut self, name: &str, value: &str) -> Result<(), String> {
        let settings = &mut self.settings;
        match name {
            "hosts" => settings.hosts = number(value)? as usize,
            "databases" => settings.databases = number(value)? as usize,
            "callers" => settings.callers = number(value)? as u32,
            "slots" => settings.slots = number(value)? as u16,
            "lag" => settings.lag_us = time_us(value)?,
            "service-time" => settings.service_time_us = time_us(value)?,
            "think-time" => settings.think_time_us = time_us(value)?,
            "staleness" => settings.max_staleness_us = time_us(value)?,
            "reads" => settings.mix.read_percent = number(value)?,
            "transactions" => settings.mix.transaction_percent = number(value)?,
            "reconnects" => settings.mix.reconnect_percent = number(value)?,
            "durability" if value == "primary" => settings.durability = Durability::Primary,
            "durability" if value == "replica" => settings.durability = Durability::Replica,
            _ => return Err(format!("unknown setting {name:?} or value {value:?}")),
        }
        Ok(())
    }

    /// Runs the scenario with each of its seeds and returns the combined outcome.
    pub fn run(&self) -> Outcome {
        let mut outcome = Outcome::default();
        for seed in 1..=self.seeds {
            let mut world = self.run_seed(seed);
            for bound in &self.gaps {
                let gap_us =
                    world.history.longest_gap_us(bound.database, bound.from_us, self.run_us);
                outcome.gaps_us.push(gap_us);
                if gap_us > bound.at_most_us {
                    let text = format!("seed {seed}: no write acknowledged for {gap_us} us");
                    outcome.violations.push(text);
                }
            }
            world.finish(5_000_000);
            outcome.add(seed, &world);
        }
        outcome
    }

    fn run_seed(&self, seed: u64) -> World {
        let mut world = World::new(Settings { seed, ..self.settings.clone() });
        for &(at_us, fault) in &self.faults {
            world.schedule(at_us, crate::world::ScheduledEvent::Fault(fault));
        }
        world.run_until(self.run_us);
        world
    }
}

/// The combined outcome of a scenario for all its seeds.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub violations: Vec<String>,
    pub gaps_us: Vec<u64>,
    pub acknowledged: u64,
    pub not_run: u64,
    pub unknown: u64,
    pub reads: u64,
    pub replica_reads: u64,
    pub stale_reads: u64,
    /// State changes reported in the run of seed 1.
    pub log: String,
}

impl Outcome {
    fn add(&mut self, seed: u64, world: &World) {
        use crate::world::history::WriteOutcome;
        let violations = world.history.violations.iter();
        self.violations.extend(violations.map(|text| format!("seed {seed}: {text}")));
        for outcome in world.history.writes.values() {
            match outcome {
                WriteOutcome::Acknowledged => self.acknowledged += 1,
                WriteOutcome::NotRun => self.not_run += 1,
                WriteOutcome::Unknown => self.unknown += 1,
            }
        }
        self.reads += u64::from(world.history.reads);
        for host in &world.hosts {
            let ranks = host.traffic.counters().iter().flat_map(|service| &service.ranks);
            for (_, counters) in ranks {
                self.stale_reads += counters.reads;
                self.replica_reads += counters.replica_reads;
            }
        }
        if seed == 1 {
            for (at_us, host, change) in &world.log {
                let _ = writeln!(self.log, "{:>6} ms host {host}: {change}", at_us / 1_000);
            }
        }
    }

    /// Formats the outcome for a snapshot.
    pub fn describe(&self) -> String {
        let mut text = String::new();
        let _ = writeln!(text, "violations: {}", self.violations.len());
        for violation in self.violations.iter().take(10) {
            let _ = writeln!(text, "  {violation}");
        }
        let _ = writeln!(
            text,
            "writes acknowledged {}, not run or rolled back {}, outcome unknown {}; reads {}",
            self.acknowledged, self.not_run, self.unknown, self.reads
        );
        if self.stale_reads > 0 {
            let percent = 100.0 * self.replica_reads as f64 / self.stale_reads as f64;
            let _ = writeln!(text, "reads served by replicas: {percent:.1} %");
        }
        let mut gaps_us = self.gaps_us.clone();
        gaps_us.sort_unstable();
        if let (Some(median), Some(worst)) = (gaps_us.get(gaps_us.len() / 2), gaps_us.last()) {
            let (median_ms, worst_ms) = (median / 1_000, worst / 1_000);
            let _ = writeln!(text, "gap: median {median_ms} ms, worst {worst_ms} ms");
        }
        text += "state changes of seed 1:\n";
        text += &self.log;
        text
    }
}

fn number(word: &str) -> Result<u64, String> {
    word.parse().map_err(|_| format!("{word:?} is not a number"))
}

fn time_us(word: &str) -> Result<u64, String> {
    let units = [("us", 1), ("ms", 1_000), ("s", 1_000_000)];
    let unit = units.iter().find(|(unit, _)| word.ends_with(unit));
    let (unit, factor) = unit.ok_or_else(|| format!("{word:?} is not a time"))?;
    Ok(number(word.trim_end_matches(unit))? * factor)
}

fn parse_fault(words: &[&str]) -> Result<Fault, String> {
    let database = |word: &str| number(word).map(|index| index as usize);
    Ok(match words {
        ["kill-primary", one] => Fault::KillPrimary { database: database(one)? },
        ["partition-primary-from-group", one] => {
            Fault::PartitionPrimaryFromGroup { database: database(one)? }
        }
        ["partition-primary-from-proxies", one] => {
            Fault::PartitionPrimaryFromProxies { database: database(one)? }
        }
        ["pause-primary", one, time] => {
            Fault::PausePrimary { database: database(one)?, duration_us: time_us(time)? }
        }
        ["kill-replica", one] => Fault::KillReplica { database: database(one)? },
        ["lag-replicas", one, time] => {
            Fault::LagReplicas { database: database(one)?, lag_us: time_us(time)? }
        }
        ["kill-owner", one] => Fault::KillOwner { database: database(one)? },
        ["pause-owner", one, time] => {
            Fault::PauseOwner { database: database(one)?, duration_us: time_us(time)? }
        }
        ["partition-owner-from-peers", one] => {
            Fault::PartitionOwnerFromPeers { database: database(one)? }
        }
        ["drain-owner", one] => Fault::DrainOwner { database: database(one)? },
        ["store-outage", "begins"] => Fault::StoreOutage { outage: true },
        ["store-outage", "ends"] => Fault::StoreOutage { outage: false },
        ["lose-store-responses", count] => {
            Fault::LoseStoreResponses { count: number(count)? as u32 }
        }
        ["lose-promote-response"] => Fault::LosePromoteResponse,
        ["primary-leaves", one] => Fault::PrimaryLeaves { database: database(one)? },
        ["apply-configuration", version] => Fault::ApplyConfiguration { version: number(version)? },
        ["restart-hosts"] => Fault::RestartHosts,
        ["restart-instances"] => Fault::RestartInstances,
        ["heal"] => Fault::HealAll,
        _ => return Err(format!("unknown fault {words:?}")),
    })
}
