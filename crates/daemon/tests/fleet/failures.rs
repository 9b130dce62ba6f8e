//! Failures and shutdowns of proxies and instances while callers send requests.

use crate::support::{DATABASE, Fleet, Proxy, TABLE, wait_for};

/// Writes a payment, and retries until a write is acknowledged. A failed attempt may have written
/// it, so that the row can exist more than once.
fn write_until_acknowledged(proxy: &Proxy, id: i32) {
    wait_for("an acknowledged write", || {
        let mut client = proxy.try_connect(DATABASE).map_err(|error| format!("{error:?}"))?;
        let insert = format!("INSERT INTO payments VALUES ({id}, 1)");
        client.execute(&insert, &[]).map(drop).map_err(|error| format!("{error:?}"))
    });
}

/// Waits until the metrics of a fleet show a number of running statements.
fn wait_until_running(fleet: &Fleet, count: f64) {
    let running = || fleet.proxies.iter().map(|it| it.metric("flamingorock_requests_running"));
    wait_for("running statements", || match running().sum::<f64>() {
        found if found == count => Ok(()),
        found => Err(format!("{found} running")),
    });
}

/// Waits until a proxy that was asked to shut down reports that it is not ready.
fn wait_until_draining(proxy: &Proxy) {
    wait_for("the start of the shutdown", || match proxy.http("GET", "/ready", "", "").0 {
        503 => Ok(()),
        other => Err(format!("status {other}")),
    });
}

fn row_count(proxy: &Proxy, id: i32) -> usize {
    wait_for("a successful read", || {
        let mut client = proxy.try_connect(DATABASE).map_err(|error| format!("{error:?}"))?;
        let select = format!("SELECT amount FROM payments WHERE id = {id}");
        client.query(&select, &[]).map(|rows| rows.len()).map_err(|error| format!("{error:?}"))
    })
}

/// Numbers of all payments, in ascending order.
fn payments(proxy: &Proxy) -> Vec<i32> {
    wait_for("a successful read", || {
        let mut client = proxy.try_connect(DATABASE).map_err(|error| format!("{error:?}"))?;
        let rows = client.query("SELECT id FROM payments ORDER BY id", &[]);
        let rows = rows.map_err(|error| format!("{error:?}"))?;
        Ok(rows.iter().map(|row| row.get(0)).collect())
    })
}

/// Guards against a database that accepts no writes after its primary has been killed, and against
/// the loss of a write that was acknowledged before.
#[test]
fn writes_go_on_after_the_primary_is_killed() {
    let mut fleet = Fleet::start(2);
    fleet.proxies[0].connect(DATABASE).batch_execute(TABLE).expect("the table");
    write_until_acknowledged(&fleet.proxies[0], 1);
    let primary = fleet.primary();
    drop(fleet.instances[primary].take().map(flamingorock_standin::Database::stop));
    write_until_acknowledged(&fleet.proxies[1], 2);
    assert_ne!(fleet.primary(), primary);
    for proxy in &fleet.proxies {
        assert!(row_count(proxy, 1) >= 1, "the first write is kept");
        assert!(row_count(proxy, 2) >= 1, "the second write is kept");
    }
}

/// Guards against a database that is not served after the loss of its owner.
#[test]
fn writes_go_on_after_the_owner_is_killed() {
    let mut fleet = Fleet::start(3);
    fleet.proxies[0].connect(DATABASE).batch_execute(TABLE).expect("the table");
    write_until_acknowledged(&fleet.proxies[0], 1);
    let owner = fleet.owner();
    fleet.proxies[owner].kill();
    for (index, proxy) in fleet.proxies.iter().enumerate().filter(|(index, _)| *index != owner) {
        let id = 10 + i32::try_from(index).expect("few proxies");
        write_until_acknowledged(proxy, id);
        assert!(row_count(proxy, 1) >= 1, "the first write is kept");
        assert!(row_count(proxy, id) >= 1, "the later write is kept");
    }
}

/// Guards against a former owner that continues to serve the database after its process was paused,
/// and against wrong results for its callers.
#[test]
fn a_paused_owner_is_replaced_and_serves_again_as_entry() {
    let fleet = Fleet::start(3);
    fleet.proxies[0].connect(DATABASE).batch_execute(TABLE).expect("the table");
    let owner = fleet.owner();
    fleet.proxies[owner].signal("STOP");
    let other = &fleet.proxies[(owner + 1) % 3];
    write_until_acknowledged(other, 1);
    fleet.proxies[owner].signal("CONT");
    for (index, proxy) in fleet.proxies.iter().enumerate() {
        let id = 10 + i32::try_from(index).expect("few proxies");
        write_until_acknowledged(proxy, id);
        assert!(row_count(proxy, 1) >= 1, "the write during the pause is seen");
        assert!(row_count(proxy, id) >= 1, "the later write is seen");
    }
}

/// Guards against a shutdown that interrupts a running statement, on the proxy that the caller is
/// connected to or on the owner, and against a process that does not exit.
#[test]
fn a_shutdown_cuts_no_running_statement() {
    for terminated in 0..2 {
        let mut fleet = Fleet::start(2);
        let mut callers = Vec::new();
        for proxy in &fleet.proxies {
            let mut client = proxy.connect(DATABASE);
            callers.push(std::thread::spawn(move || client.simple_query("SELECT pg_sleep(1)")));
        }
        wait_until_running(&fleet, 2.0);
        fleet.proxies[terminated].terminate();
        for caller in callers {
            caller.join().expect("the thread").expect("the reply");
        }
        let status = fleet.proxies[terminated].wait_for_exit();
        assert!(status.success(), "{status}");
        fleet.wait_until_served(&fleet.proxies[1 - terminated]);
    }
}

/// Guards against requests without a reply while a proxy shuts down. A caller that keeps sending
/// gets a reply to each request, the last one being the error that the proxy is shutting down, and
/// the process exits before its drain deadline.
#[test]
fn a_shutdown_answers_a_caller_that_keeps_sending() {
    for owns in [true, false] {
        let mut fleet = Fleet::start(2);
        fleet.proxies[0].connect(DATABASE).batch_execute(TABLE).expect("the table");
        let owner = fleet.owner();
        let terminated = if owns { owner } else { 1 - owner };
        let mut client = fleet.proxies[terminated].connect(DATABASE);
        let (sender, receiver) = std::sync::mpsc::channel();
        let caller = std::thread::spawn(move || {
            for id in 1.. {
                let insert = format!("INSERT INTO payments VALUES ({id}, 1)");
                match client.batch_execute(&insert) {
                    Ok(()) => sender.send(id).expect("the test waits"),
                    Err(error) => return (id, error),
                }
            }
            unreachable!("the numbers do not end")
        });
        receiver.recv().expect("the first write");
        fleet.proxies[terminated].terminate();
        let (id, error) = caller.join().expect("the thread");
        let code = error.code().map(|code| code.code().to_owned());
        assert_eq!(code.as_deref(), Some("57P01"), "{error}");
        let status = fleet.proxies[terminated].wait_for_exit();
        assert!(status.success(), "{status}");
        let other = &fleet.proxies[1 - terminated];
        fleet.wait_until_served(other);
        let mut expected: Vec<i32> = std::iter::once(1).chain(receiver.try_iter()).collect();
        let mut found = payments(other);
        found.retain(|found| *found != id);
        expected.sort_unstable();
        assert_eq!(found, expected, "each acknowledged write is there once");
        assert_eq!(row_count(other, id), 0, "the refused write did not run");
    }
}

/// Guards against a shutdown that ends an open transaction between its statements.
#[test]
fn a_shutdown_lets_open_transactions_finish() {
    let mut fleet = Fleet::start(2);
    fleet.proxies[0].connect(DATABASE).batch_execute(TABLE).expect("the table");
    let owner = fleet.owner();
    let mut client = fleet.proxies[owner].connect(DATABASE);
    let mut transaction = client.transaction().expect("a transaction");
    transaction.execute("INSERT INTO payments VALUES (1, 1)", &[]).expect("the payment");
    fleet.proxies[owner].terminate();
    wait_until_draining(&fleet.proxies[owner]);
    transaction.execute("INSERT INTO payments VALUES (2, 1)", &[]).expect("the second payment");
    transaction.commit().expect("the commit");
    let status = fleet.proxies[owner].wait_for_exit();
    assert!(status.success(), "{status}");
    assert!(row_count(&fleet.proxies[1 - owner], 2) >= 1, "the transaction is kept");
}

/// Guards against a primary that stays on a host that the host list shows as leaving.
#[test]
fn the_primary_moves_away_from_a_leaving_host() {
    let fleet = Fleet::start(1);
    let primary = fleet.primary();
    fleet.mark_leaving(primary);
    wait_for("another primary", || match fleet.primary() {
        found if found == primary => Err("still the same primary".to_owned()),
        _ => Ok(()),
    });
    fleet.wait_until_served(&fleet.proxies[0]);
}

/// Guards against a shutdown that interrupts a running statement because no other proxy can take
/// over the database.
#[test]
fn a_shutdown_of_the_only_proxy_cuts_no_running_statement() {
    let mut fleet = Fleet::start(1);
    let mut client = fleet.proxies[0].connect(DATABASE);
    let caller = std::thread::spawn(move || client.simple_query("SELECT pg_sleep(1)"));
    wait_until_running(&fleet, 1.0);
    fleet.proxies[0].terminate();
    caller.join().expect("the thread").expect("the reply");
    let status = fleet.proxies[0].wait_for_exit();
    assert!(status.success(), "{status}");
}

/// Guards against a draining process that a second signal does not end.
#[test]
fn a_second_signal_ends_the_process_at_once() {
    let mut fleet = Fleet::start(2);
    let owner = fleet.owner();
    let mut client = fleet.proxies[owner].connect(DATABASE);
    let caller = std::thread::spawn(move || client.simple_query("SELECT pg_sleep(60)"));
    wait_until_running(&fleet, 1.0);
    fleet.proxies[owner].terminate();
    wait_until_draining(&fleet.proxies[owner]);
    fleet.proxies[owner].terminate();
    fleet.proxies[owner].wait_for_exit();
    assert!(caller.join().expect("the thread").is_err(), "the statement was cut");
}
