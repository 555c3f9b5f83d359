//! Runs real drivers against the proxy: tiberius on the TDS port, tokio-postgres on the PostgreSQL port.
//! Behind the proxy are hosts of both protocols.

use std::net::SocketAddr;
use tokio_util::compat::TokioAsyncWriteCompatExt;
use wheelpier_emulator::net::{Options, Wire};
use wheelpier_emulator::script::Script;
use wheelpier_emulator::spec::Spec;
use wheelpier_testbench::rig::Rig;

/// Starts two groups of hosts, the first of which speaks PostgreSQL's protocol and the second TDS.
async fn rig() -> Rig {
    let wires = vec![Wire::Postgres, Wire::Tds];
    let options = Options { spec: Spec::sapporo(), seed: 7, wires, script: Script::empty(), proxies: 1 };
    Rig::start(options, 100.0).await.unwrap()
}

fn read(id: &str, key: &str, group: u32) -> String {
    format!(
        "SELECT content FROM kv WHERE name = {key} \
         /* id={id},c=own-sales,t=minato-asaichi,d=1200,cluster={group} */"
    )
}

fn write(id: &str, values: &str, group: u32) -> String {
    format!(
        "INSERT INTO kv (name, content) VALUES ({values}) RETURNING content \
         /* id={id},c=sale-write,t=minato-asaichi,d=5000,k=k{id},cluster={group} */"
    )
}

async fn tiberius(
    address: SocketAddr,
) -> tiberius::Client<tokio_util::compat::Compat<tokio::net::TcpStream>> {
    let mut config = tiberius::Config::new();
    config.authentication(tiberius::AuthMethod::sql_server("till", "secret"));
    config.encryption(tiberius::EncryptionLevel::NotSupported);
    config.database("store");
    let stream = tokio::net::TcpStream::connect(address).await.unwrap();
    stream.set_nodelay(true).unwrap();
    tiberius::Client::connect(config, stream.compat_write()).await.unwrap()
}

#[tokio::test]
async fn tiberius_reads_and_writes_by_calls_and_by_batches() {
    let rig = rig().await;
    let mut client = tiberius(rig.port(Wire::Tds).unwrap()).await;
    for group in 0..2 {
        let id = format!("w{group}");
        let text = write(&id, "@P1, @P2", group);
        let value: &[u8] = &[0x9f, 0x03, 0x00];
        let row = client.query(text, &[&"till-1", &value]).await.unwrap().into_row().await.unwrap().unwrap();
        assert_eq!(row.get::<&[u8], _>(0), Some(format!("value of {id}").as_bytes()));
        let id = format!("r{group}");
        let rows = client.query(read(&id, "@P1", group), &[&"till-1"]).await.unwrap();
        let row = rows.into_row().await.unwrap().unwrap();
        assert_eq!(row.get::<&[u8], _>("content"), Some(format!("value of {id}").as_bytes()));
        let id = format!("b{group}");
        let rows = client.simple_query(read(&id, "'till-1'", group)).await.unwrap();
        let row = rows.into_row().await.unwrap().unwrap();
        assert_eq!(row.get::<&[u8], _>(0), Some(format!("value of {id}").as_bytes()));
    }
    client.close().await.unwrap();
    rig.proxy.end().await.unwrap();
}

#[tokio::test]
async fn tiberius_sends_64_kib_and_continues_after_errors() {
    let rig = rig().await;
    let mut client = tiberius(rig.port(Wire::Tds).unwrap()).await;
    let value = vec![0x5a; 64 * 1024];
    let row = client.query(write("big", "@P1, @P2", 1), &[&"till-1", &value]).await.unwrap();
    assert!(row.into_row().await.unwrap().is_some());
    let number = |error: tiberius::error::Error| match error {
        tiberius::error::Error::Server(token) => token.code(),
        other => panic!("{other}"),
    };
    let error = client.simple_query("SELECT * FROM sys.tables").await.map(drop).unwrap_err();
    assert_eq!(number(error), 102);
    let error = client.query(read("x", "@P1", 9), &[&"till-1"]).await.map(drop).unwrap_err();
    assert_eq!(number(error), 50022);
    let row = client.simple_query("SELECT 1").await.unwrap().into_row().await.unwrap().unwrap();
    assert_eq!(row.get::<i32, _>(0), Some(1));
    rig.proxy.end().await.unwrap();
}

#[tokio::test]
async fn tokio_postgres_reads_and_writes() {
    use tokio_postgres::SimpleQueryMessage as Message;
    let rig = rig().await;
    let address = rig.port(Wire::Postgres).unwrap();
    let config = format!("host={} port={} user=backend dbname=store", address.ip(), address.port());
    let (client, connection) = tokio_postgres::connect(&config, tokio_postgres::NoTls).await.unwrap();
    tokio::spawn(connection);
    for group in 0..2 {
        for text in [
            write(&format!("w{group}"), "'till-1', '\\x9f03'", group),
            read(&format!("r{group}"), "'till-1'", group),
        ] {
            let messages = client.simple_query(&text).await.unwrap();
            assert!(messages.iter().any(|message| matches!(message, Message::Row(_))), "{messages:?}");
        }
    }
    let error = client.simple_query("SELECT 2").await.unwrap_err();
    assert_eq!(error.code().unwrap().code(), "42601");
    assert!(client.simple_query("").await.is_ok());
    drop(client);
    rig.proxy.end().await.unwrap();
}
