//! Bounds on what a response contains beside its body.

use super::{Sender, handshake_over};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::Request;
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex};

/// Bytes in transit between the two ends.
const PIPE_BYTES: usize = 64 * 1024;

const INTERIM: &str = "HTTP/1.1 103 Early Hints\r\n\r\n";
const EMPTY_RESPONSE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
const CHUNKED_HEAD: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

/// Chunks of a long response: more framing than is accepted beside a body that is empty.
const CHUNKS: usize = 256 * 1024;

/// Bytes of a block that is written without end.
const BLOCK_BYTES: usize = 16 * 1024;

/// Bytes of a long interim response, and of a body that exceeds the limit on heads.
const LONG_HEAD_BYTES: usize = 100 * 1024;
const LONG_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Reads a request and writes `start`, then `response` repeated. Returns the number of bytes that were taken.
async fn respond(
    mut stream: DuplexStream,
    start: &'static str,
    response: String,
    repeats: usize,
) -> usize {
    let mut request = [0; 1024];
    let _ = stream.read(&mut request).await;
    let _ = stream.write_all(start.as_bytes()).await;
    let mut written = 0;
    for _ in 0..repeats {
        if stream.write_all(response.as_bytes()).await.is_err() {
            break;
        }
        written += response.len();
    }
    written
}

/// Sends a request to a peer that writes `start`, then `response` repeated. Returns the length of the response's body, or
/// whether the response exceeded a limit beside its body; and the bytes that were read.
async fn exchange(
    start: &'static str,
    response: String,
    repeats: usize,
) -> (Result<usize, bool>, usize) {
    let (own, other) = duplex(PIPE_BYTES);
    let peer = tokio::spawn(respond(other, start, response, repeats));
    let opened = handshake_over::<_, Empty<Bytes>>(own).await;
    let (mut sender, connection): (Sender<_>, _) = opened.expect("the handshake succeeds");
    let driver = tokio::spawn(async move {
        let _ = connection.await;
    });
    let request = Request::get("/").body(Empty::new()).expect("a request");
    let body = match sender.send_request(request).await {
        Ok(response) => response.into_body().collect().await,
        Err(error) => Err(error),
    };
    let result = match body {
        Ok(body) => Ok(body.to_bytes().len()),
        Err(_) => Err(sender.is_limit_exceeded()),
    };
    drop(sender);
    driver.await.expect("the driver ends");
    (result, peer.await.expect("the peer ends"))
}

#[test_case(0; "none")]
#[test_case(16; "as_many_as_accepted")]
#[tokio::test]
async fn interim_responses_before_the_final_one_are_skipped(count: usize) {
    let response = INTERIM.repeat(count) + EMPTY_RESPONSE;
    assert_eq!(exchange("", response, 1).await.0, Ok(0));
}

// Guards against a peer that keeps a thread busy with interim responses.
#[test_case(INTERIM.to_owned(); "short")]
#[test_case(format!("HTTP/1.1 103 E\r\nx: {}\r\n\r\n", "a".repeat(LONG_HEAD_BYTES)); "long")]
#[tokio::test]
async fn interim_responses_without_end_close_the_connection(response: String) {
    let (result, read) = exchange("", response, usize::MAX).await;
    assert_eq!(result, Err(true));
    assert!(read <= 2 * super::framing::MAX_BYTES, "{read} bytes read");
}

#[tokio::test]
async fn body_longer_than_the_limit_on_heads_is_read() {
    let body = "a".repeat(LONG_BODY_BYTES);
    let response = format!("HTTP/1.1 200 OK\r\ncontent-length: {LONG_BODY_BYTES}\r\n\r\n{body}");
    assert_eq!(exchange("", response, 1).await.0, Ok(LONG_BODY_BYTES));
}

// Guards against a peer that keeps a thread busy between two bytes of a body.
#[test_case("", "0"; "size_of_the_first_chunk")]
#[test_case("1", " "; "padding_of_the_first_chunk")]
#[test_case("1\r\na\r\n", "0"; "size_of_the_second_chunk")]
#[test_case("1\r\na\r\n1", "\t"; "padding_of_the_second_chunk")]
#[tokio::test]
async fn chunk_head_without_end_closes_the_connection(start: &str, unit: &str) {
    let start: &'static str = format!("{CHUNKED_HEAD}{start}").leak();
    let (result, read) = exchange(start, unit.repeat(BLOCK_BYTES), usize::MAX).await;
    assert_eq!(result, Err(true));
    assert!(read <= 2 * super::framing::MAX_BYTES, "{read} bytes read");
}

// Guards against a limit on framing that honest responses exceed: chunks of a byte have the most.
#[test_case(1; "chunks_of_a_byte")]
#[test_case(16; "chunks_of_a_record")]
#[tokio::test]
async fn body_in_short_chunks_is_read(bytes: usize) {
    let chunk = format!("{bytes:x}\r\n{}\r\n", "a".repeat(bytes));
    let response = chunk.repeat(CHUNKS) + "0\r\n\r\n";
    let result = exchange(CHUNKED_HEAD, response, 1).await.0;
    assert_eq!(result, Ok(CHUNKS * bytes));
}
