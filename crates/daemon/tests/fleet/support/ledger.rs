//! Records the payments that a test sends and compares them with the database.

use std::collections::BTreeMap;

use postgres::Client;
use postgres::error::DbError;

use super::{Fleet, Proxy, wait_for};

/// Ids of the payments that a test has sent, each once, by the outcome that the caller got.
/// Payments with an unknown outcome are in neither list.
#[derive(Debug)]
pub struct Ledger {
    next: i32,
    acknowledged: Vec<i32>,
    refused: Vec<i32>,
}

impl Ledger {
    /// Creates an empty ledger whose payments have ids from `first` on.
    pub fn new(first: i32) -> Self {
        Self { next: first, acknowledged: Vec::new(), refused: Vec::new() }
    }

    /// Sends one payment and records the outcome. Returns the error if it was not acknowledged.
    pub fn write(&mut self, client: &mut Client) -> Result<i32, String> {
        let id = self.next;
        self.next += 1;
        let result = client.simple_query(&format!("INSERT INTO payments VALUES ({id}, 1)"));
        let Err(error) = result else {
            self.acknowledged.push(id);
            return Ok(id);
        };
        let message = error.as_db_error().map(DbError::message).unwrap_or_default();
        if message.starts_with("FR2") || message.starts_with("FR3") {
            self.refused.push(id);
        }
        Err(format!("{error:?}"))
    }

    /// Sends payments through a proxy until one is acknowledged.
    pub fn write_until_acknowledged(&mut self, proxy: &Proxy) -> i32 {
        wait_for("an acknowledged write", || {
            let mut client =
                proxy.try_connect(super::DATABASE).map_err(|error| format!("{error:?}"))?;
            self.write(&mut client)
        })
    }

    /// Adds the payments of another ledger.
    pub fn merge(&mut self, other: Self) {
        self.acknowledged.extend(other.acknowledged);
        self.refused.extend(other.refused);
    }

    /// Compares the outcomes with the rows of an instance: each acknowledged payment exists exactly
    /// once, no refused one exists, and none exists twice.
    pub fn check(&self, fleet: &Fleet, instance: usize) {
        let mut counts: BTreeMap<i32, usize> = BTreeMap::new();
        for row in fleet.control_query(instance, "SELECT id FROM payments") {
            let id = row.get(0).expect("a value").parse().expect("a number");
            *counts.entry(id).or_default() += 1;
        }
        for id in &self.acknowledged {
            assert_eq!(counts.get(id), Some(&1), "payment {id} was acknowledged: {self:?}");
        }
        for id in &self.refused {
            assert_eq!(counts.get(id), None, "payment {id} was refused: {self:?}");
        }
        assert!(counts.values().all(|count| *count == 1), "doubled payments: {counts:?}");
    }
}

/// Reads a payment through a proxy, retrying until a read succeeds. Returns the number of rows.
pub fn row_count(proxy: &Proxy, id: i32) -> usize {
    wait_for("a successful read", || {
        let mut client =
            proxy.try_connect(super::DATABASE).map_err(|error| format!("{error:?}"))?;
        let select = format!("SELECT amount FROM payments WHERE id = {id}");
        client.query(&select, &[]).map(|rows| rows.len()).map_err(|error| format!("{error:?}"))
    })
}
