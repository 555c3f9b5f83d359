//! Measures the cost of encoding and decoding a request and its answer in both protocols.

use bytes::BytesMut;
use criterion::{criterion_group, criterion_main, BatchSize, Criterion, Throughput};
use std::hint::black_box;
use wheelpier_pgwire::{query, ready, single_value_result, BackendMessage, FrontendMessage, KvStatement};
use wheelpier_tds::{
    parse_batch, parse_rpc, put_all_headers, put_columns, put_done, put_message, put_row, put_text,
    Assembler, Column, DataType, Done, DoneKind, PacketType, Parameter, Procedure, Rpc, Status, Tokens,
    Value, INITIAL_PACKET_BYTES, SP_EXECUTESQL,
};

const READ: &str = "SELECT content FROM kv WHERE name = '7f3a9c21e0b4d655' \
    /* id=9b1f03aa5c7e2d41,c=own-sales,t=minato-asaichi,d=480,cluster=2,after=1767225600123 */";

fn tds_message(kind: PacketType, payload: &[u8]) -> BytesMut {
    let mut buffer = BytesMut::new();
    put_message(&mut buffer, kind, Status::default(), payload, INITIAL_PACKET_BYTES);
    buffer
}

fn tds_read() -> BytesMut {
    let mut payload = BytesMut::new();
    put_all_headers(&mut payload);
    put_text(&mut payload, READ);
    tds_message(PacketType::SqlBatch, &payload)
}

fn tds_call() -> BytesMut {
    let text = |name: &str, text: &str| Parameter {
        name: name.to_owned(),
        output: false,
        kind: DataType::NVarChar,
        value: Value::Text(text.to_owned()),
    };
    let statement = READ.replace("'7f3a9c21e0b4d655'", "@P1");
    let parameters =
        vec![text("", &statement), text("", "@P1 nvarchar(4000)"), text("@P1", "7f3a9c21e0b4d655")];
    let mut payload = BytesMut::new();
    Rpc { procedure: Procedure::Number(SP_EXECUTESQL), options: 0, parameters }.put(&mut payload);
    tds_message(PacketType::Rpc, &payload)
}

fn tds_answer(value: &[u8]) -> BytesMut {
    let columns = [Column { name: "content".to_owned(), kind: DataType::VarBinaryMax }];
    let mut payload = BytesMut::new();
    put_columns(&mut payload, &columns);
    put_row(&mut payload, &columns, &[Value::Binary(value.to_vec().into())]);
    put_done(&mut payload, DoneKind::Batch, Done { has_row_count: true, rows: 1, ..Done::default() });
    tds_message(PacketType::Result, &payload)
}

fn postgres_answer(value: &[u8]) -> BytesMut {
    let mut buffer = BytesMut::new();
    single_value_result(&mut buffer, "content", value);
    ready(&mut buffer);
    buffer
}

fn requests(c: &mut Criterion) {
    let mut group = c.benchmark_group("request");
    group.bench_function("postgres/write", |b| {
        b.iter(|| {
            let mut buffer = BytesMut::with_capacity(256);
            query(&mut buffer, black_box(READ.as_bytes()));
            buffer
        });
    });
    let mut wire = BytesMut::new();
    query(&mut wire, READ.as_bytes());
    group.bench_function("postgres/read", |b| b.iter(|| FrontendMessage::parse(black_box(&wire)).is_ok()));
    group.bench_function("tds/write batch", |b| b.iter(tds_read));
    let assemble = |mut wire: BytesMut| Assembler::new(65_536).next(&mut wire).ok().flatten();
    let wire = tds_read();
    group.bench_function("tds/read batch", |b| {
        b.iter_batched(
            || wire.clone(),
            |wire| assemble(wire).map(|message| parse_batch(&message.payload).is_ok()),
            BatchSize::SmallInput,
        );
    });
    let wire = tds_call();
    group.bench_function("tds/read call", |b| {
        b.iter_batched(
            || wire.clone(),
            |wire| assemble(wire).map(|message| parse_rpc(&message.payload).is_ok()),
            BatchSize::SmallInput,
        );
    });
    group.bench_function("statement", |b| b.iter(|| KvStatement::parse(black_box(READ)).is_ok()));
    group.finish();
}

fn answers(c: &mut Criterion) {
    let mut group = c.benchmark_group("answer");
    for size in [16, 64 * 1024] {
        let value = vec![7; size];
        group.throughput(Throughput::Bytes(size as u64));
        group.bench_function(format!("postgres/write {size}"), |b| {
            b.iter(|| postgres_answer(black_box(&value)))
        });
        group.bench_function(format!("tds/write {size}"), |b| b.iter(|| tds_answer(black_box(&value))));
        let wire = postgres_answer(&value);
        group.bench_function(format!("postgres/read {size}"), |b| {
            b.iter(|| {
                let mut rest = black_box(&wire[..]);
                while let Ok(Some((message, length))) = BackendMessage::parse(rest) {
                    black_box(message);
                    rest = &rest[length..];
                }
            });
        });
        let wire = tds_answer(&value);
        group.bench_function(format!("tds/read {size}"), |b| {
            b.iter_batched(
                || wire.clone(),
                |mut wire| {
                    let message = Assembler::new(1 << 20).next(&mut wire).ok().flatten();
                    message.map(|message| Tokens::new(&message.payload).count())
                },
                BatchSize::SmallInput,
            );
        });
    }
    group.finish();
}

criterion_group!(benches, requests, answers);
criterion_main!(benches);
