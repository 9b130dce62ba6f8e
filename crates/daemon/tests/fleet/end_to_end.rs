//! Statements of callers through real proxy processes to stand-ins of database instances.

use crate::support::{DATABASE, Fleet, TABLE, wait_for};
use flamingorock_core::burn::BurnReport;
use postgres::error::SqlState;

/// Guards against a statement or its result that one proxy loses or alters, and against requests
/// that the burn report does not count.
#[test]
fn statements_through_one_proxy() {
    let fleet = Fleet::start(1);
    let mut client = fleet.proxies[0].connect(DATABASE);
    client.batch_execute("CREATE TABLE payments (id INT, amount INT)").expect("the table");
    let count = client.execute("INSERT INTO payments VALUES (1, 250)", &[]).expect("the payment");
    assert_eq!(count, 1);
    let row = client.query_one("SELECT amount FROM payments WHERE id = 1", &[]).expect("the row");
    assert_eq!(row.get::<_, i32>(0), 250);
    let report = fleet.proxies[0].admin("GET", "/admin/burn", "").1;
    let report: BurnReport = serde_json::from_str(&report).expect("a burn report");
    let normal = &report.services[0].ranks[1];
    assert_eq!(normal.rank, "normal");
    assert!(normal.total.good + normal.total.slow >= 3, "{normal:?}");
}

/// Guards against a read through one proxy that misses a write acknowledged by another, and against
/// statements that are lost on the link between an entry proxy and the owner.
#[test]
fn a_write_through_one_proxy_is_read_through_the_others() {
    let fleet = Fleet::start(3);
    fleet.proxies[0].connect(DATABASE).batch_execute(TABLE).expect("the table");
    for (round, writer) in fleet.proxies.iter().enumerate() {
        let id = i32::try_from(round).expect("few rounds");
        let mut client = writer.connect(DATABASE);
        client.execute("INSERT INTO payments VALUES ($1, 250)", &[&id]).expect("the payment");
        for reader in &fleet.proxies {
            let mut client = reader.connect(DATABASE);
            let query = "SELECT amount FROM payments WHERE id = $1";
            let row = client.query_one(query, &[&id]).expect("the row");
            assert_eq!(row.get::<_, i32>(0), 250, "from {} by {}", writer.id, reader.id);
        }
    }
}

/// Guards against messages that are routed to the wrong traffic thread of the same process or of
/// another.
#[test]
fn proxies_with_several_threads_work_together() {
    let fleet = Fleet::start_with(2, 3);
    fleet.proxies[0].connect(DATABASE).batch_execute(TABLE).expect("the table");
    // The kernel distributes connections over the threads; with this many, each thread gets some.
    for id in 0..24 {
        let proxy = &fleet.proxies[id as usize % 2];
        let mut client = proxy.connect(DATABASE);
        client.execute("INSERT INTO payments VALUES ($1, 1)", &[&id]).expect("the payment");
    }
    let mut client = fleet.proxies[1].connect(DATABASE);
    let rows = client.query("SELECT id FROM payments", &[]).expect("the rows");
    assert_eq!(rows.len(), 24);
}

/// Guards against transactions whose statements run on different connections, and against a
/// rollback that leaves changes behind.
#[test]
fn transactions_commit_and_roll_back_through_any_proxy() {
    let fleet = Fleet::start(2);
    fleet.proxies[0].connect(DATABASE).batch_execute(TABLE).expect("the table");
    for proxy in &fleet.proxies {
        let mut client = proxy.connect(DATABASE);
        let id = i32::from(proxy.id);
        let mut transaction = client.transaction().expect("a transaction");
        transaction.execute("INSERT INTO payments VALUES ($1, 1)", &[&id]).expect("the payment");
        transaction.rollback().expect("the rollback");
        let rows = client.query("SELECT id FROM payments WHERE id = $1", &[&id]).expect("rows");
        assert!(rows.is_empty(), "the change was rolled back");
        let mut transaction = client.transaction().expect("a transaction");
        transaction.execute("INSERT INTO payments VALUES ($1, 2)", &[&id]).expect("the payment");
        transaction
            .execute("UPDATE payments SET amount = 3 WHERE id = $1", &[&id])
            .expect("the change");
        transaction.commit().expect("the commit");
        let row = client.query_one("SELECT amount FROM payments WHERE id = $1", &[&id]);
        assert_eq!(row.expect("the row").get::<_, i32>(0), 3);
    }
}

/// Guards against prepared statements that fail because a later execution runs on another
/// connection to the backend server.
#[test]
fn a_prepared_statement_serves_many_executions() {
    let fleet = Fleet::start(2);
    let mut client = fleet.proxies[0].connect(DATABASE);
    client.batch_execute(TABLE).expect("the table");
    for proxy in &fleet.proxies {
        let mut client = proxy.connect(DATABASE);
        let insert = client.prepare("INSERT INTO payments VALUES ($1, $2)").expect("the statement");
        let base = i32::from(proxy.id) * 100;
        for id in base..base + 20 {
            assert_eq!(client.execute(&insert, &[&id, &5]).expect("the payment"), 1);
        }
    }
    let rows = client.query("SELECT id FROM payments", &[]).expect("the rows");
    assert_eq!(rows.len(), 40);
}

/// Guards against replies out of order to an asynchronous driver that pipelines its messages.
#[test]
fn an_asynchronous_driver_works() {
    let fleet = Fleet::start(2);
    let urls: Vec<String> = fleet.proxies.iter().map(|proxy| proxy.url(DATABASE)).collect();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(async {
        let mut clients = Vec::new();
        for url in &urls {
            let (client, connection) =
                tokio_postgres::connect(url, tokio_postgres::NoTls).await.expect("a connection");
            tokio::spawn(connection);
            clients.push(client);
        }
        clients[0].batch_execute(TABLE).await.expect("the table");
        let insert = clients[1].prepare("INSERT INTO payments VALUES ($1, 7)").await;
        let insert = insert.expect("the statement");
        let (first, second) =
            tokio::join!(clients[1].execute(&insert, &[&1]), clients[1].execute(&insert, &[&2]));
        assert_eq!((first.expect("a payment"), second.expect("a payment")), (1, 1));
        let rows = clients[0].query("SELECT id FROM payments ORDER BY id", &[]).await;
        let ids: Vec<i32> = rows.expect("the rows").iter().map(|row| row.get(0)).collect();
        assert_eq!(ids, [1, 2]);
    });
}

/// Guards against a connection to an unknown database that is accepted, or refused without the
/// usual SQLSTATE.
#[test]
fn an_unknown_database_is_refused() {
    let fleet = Fleet::start(1);
    let error = fleet.proxies[0].try_connect("no-such-database").err().expect("a refusal");
    assert_eq!(error.code(), Some(&SqlState::INVALID_CATALOG_NAME), "{error:?}");
}

/// Guards against a cancel request that is lost because the load balancer routes it to another
/// proxy or thread than the one that issued its key.
#[test]
fn a_statement_is_cancelled_through_another_proxy() {
    let fleet = Fleet::start_with(2, 2);
    let url = fleet.proxies[0].url(DATABASE);
    let other = fleet.proxies[1].callers;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(async {
        let (client, connection) =
            tokio_postgres::connect(&url, tokio_postgres::NoTls).await.expect("a connection");
        tokio::spawn(connection);
        let token = client.cancel_token();
        let running = tokio::spawn(async move { client.simple_query("SELECT pg_sleep(20)").await });
        // A request that arrives before the statement runs has no effect, so it is repeated.
        while !running.is_finished() {
            let stream = tokio::net::TcpStream::connect(other).await.expect("a connection");
            let _ = token.cancel_query_raw(stream, tokio_postgres::NoTls).await;
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        }
        let error = running.await.expect("the task").expect_err("an error");
        assert_eq!(error.code(), Some(&SqlState::QUERY_CANCELED), "{error:?}");
    });
}

/// Guards against a proxy that keeps an old configuration. Only some of this many proxies watch the
/// key-value service; the others get the document from their peers.
#[test]
fn a_configuration_comes_into_force_everywhere() {
    let fleet = Fleet::start(5);
    fleet.apply(2);
    for proxy in &fleet.proxies {
        wait_for("the new configuration", || {
            match proxy.metric("flamingorock_configuration_version") {
                2.0 => Ok(()),
                other => Err(format!("version {other} at host {}", proxy.id)),
            }
        });
    }
}
