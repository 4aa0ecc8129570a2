//! Many request bodies at once, legal or too large, most of which stop short of their end.

use crate::{
    crowd::{Script, assert_survives},
    process::{GatewayProcess, MAX_BODY_BYTES, request_head},
    run,
};

const CLIENTS: usize = 120;
const CHUNK_BYTES: usize = 64 * 1024;
/// Bodies in 1-byte chunks take six bytes on the wire for each.
const TINY_CHUNKS: usize = 100_000;

fn announced(bytes: usize) -> Vec<u8> {
    request_head("/read/1", &format!("content-length: {bytes}"))
}

fn chunked() -> Vec<u8> {
    request_head("/read/1", "transfer-encoding: chunked")
}

fn chunk(bytes: usize) -> Vec<u8> {
    format!("{bytes:x}\r\n{}\r\n", "x".repeat(bytes)).into()
}

async fn assert_survives_bodies(clients: usize, script: Script) {
    let mut process = GatewayProcess::start().await;
    let address = process.callers;
    assert_survives(&mut process, address, clients, script).await;
}

/// Guards against a process that holds the sum of all bodies that stop a byte short.
#[test]
fn large_bodies_that_stop_short_of_their_end() {
    let piece = vec![b'x'; MAX_BODY_BYTES - 1];
    let script = Script { head: announced(MAX_BODY_BYTES), piece, repeat: 1 };
    run(assert_survives_bodies(CLIENTS, script));
}

/// Guards against the same when all bodies grow together.
#[test]
fn large_bodies_that_arrive_piece_by_piece_and_stop_short() {
    let (piece, repeat) = (vec![b'x'; 4096], MAX_BODY_BYTES / 4096 - 1);
    run(assert_survives_bodies(CLIENTS, Script { head: announced(MAX_BODY_BYTES), piece, repeat }));
}

/// Guards against the same for bodies of unknown length, in large chunks.
#[test]
fn chunked_bodies_in_large_chunks_that_never_end() {
    let (piece, repeat) = (chunk(CHUNK_BYTES), MAX_BODY_BYTES / CHUNK_BYTES);
    run(assert_survives_bodies(CLIENTS, Script { head: chunked(), piece, repeat }));
}

/// Guards against small chunks that each hold a buffer larger than themselves.
#[test]
fn chunked_bodies_in_tiny_chunks_that_never_end() {
    let script =
        Script { head: chunked(), piece: chunk(1).repeat(1000), repeat: TINY_CHUNKS / 1000 };
    run(assert_survives_bodies(CLIENTS, script));
}

/// Guards against connections that are kept for the rest of a body that is refused anyway.
#[test]
fn announced_bodies_far_over_the_limit() {
    let script = Script { head: announced(1 << 30), piece: vec![b'x'; 64 * 1024], repeat: 32 };
    run(assert_survives_bodies(400, script));
}

/// Guards against the part of a refused body that was read before it exceeded the limit.
#[test]
fn bodies_far_over_the_limit_that_are_not_announced() {
    let script = Script { head: chunked(), piece: chunk(CHUNK_BYTES), repeat: 160 };
    run(assert_survives_bodies(CLIENTS, script));
}
