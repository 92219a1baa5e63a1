//! Encoding of every message between daemons.
//!
//! Two versions run side by side during a rolling upgrade. A change of an existing line of the
//! snapshots would make them incompatible: make it a new message in a new method, at the end.

mod samples;

use bytes::{Bytes, BytesMut};
use monsoonring_wire::codec::Body;
use monsoonring_wire::peer::{ClientCodec, PeerRequest, PeerResponse, ServerCodec};
use std::fmt::Write;
use std::io;
use std::pin::Pin;
use std::time::Instant;
use tarpc::tokio_serde::{Deserializer, Serializer};
use tarpc::{ClientMessage, Request, Response, ServerError, context, trace};

const ID: u64 = 3;

/// Returns a call whose deadline has passed, so that its encoding is the same in each run.
fn call(message: PeerRequest) -> ClientMessage<PeerRequest> {
    let mut context = context::current();
    context.deadline = Instant::now();
    context.trace_context = trace::Context::default();
    let id = ID;
    ClientMessage::Request(Request {
        context,
        id,
        message,
    })
}

fn write_call(message: &ClientMessage<PeerRequest>) -> Bytes {
    let written = Pin::new(&mut ClientCodec::default()).serialize(message);
    written.expect("the call can be encoded")
}

fn read_call(bytes: &[u8]) -> io::Result<ClientMessage<Body<PeerRequest>>> {
    Pin::new(&mut ServerCodec::default()).deserialize(&BytesMut::from(bytes))
}

fn write_response(message: Result<PeerResponse, ServerError>) -> Bytes {
    let response = Response {
        request_id: ID,
        message,
    };
    let written = Pin::new(&mut ServerCodec::default()).serialize(&response);
    written.expect("the response can be encoded")
}

fn read_response(bytes: &[u8]) -> Response<PeerResponse> {
    let read = Pin::new(&mut ClientCodec::default()).deserialize(&BytesMut::from(bytes));
    read.expect("the response can be decoded")
}

fn read_body(bytes: &[u8]) -> Body<PeerRequest> {
    match read_call(bytes).expect("the head can be decoded") {
        ClientMessage::Request(request) => request.message,
        other => unreachable!("expected a call: {other:?}"),
    }
}

fn push_line(golden: &mut String, name: &str, bytes: &[u8]) {
    write!(golden, "{name} ").expect("text");
    for byte in bytes {
        write!(golden, "{byte:02x}").expect("text");
    }
    golden.push('\n');
}

#[test]
fn call_encoding_is_stable() {
    let mut golden = String::new();
    for (name, request) in samples::requests() {
        let expected = format!("{:?}", Body::Known(&request));
        let bytes = write_call(&call(request));
        push_line(&mut golden, name, &bytes);
        assert_eq!(format!("{:?}", read_body(&bytes)), expected);
    }
    let cancel = ClientMessage::Cancel {
        trace_context: trace::Context::default(),
        request_id: ID,
    };
    push_line(&mut golden, "cancel", &write_call(&cancel));
    insta::assert_snapshot!("calls", golden);
}

#[test]
fn response_encoding_is_stable() {
    let mut golden = String::new();
    for (name, response) in samples::responses() {
        let expected = format!("{response:?}");
        let bytes = write_response(Ok(response));
        push_line(&mut golden, name, &bytes);
        let read = read_response(&bytes).message.expect("an answer");
        assert_eq!(format!("{read:?}"), expected);
    }
    let error = ServerError::new(io::ErrorKind::Unsupported, "no".to_owned());
    push_line(&mut golden, "error", &write_response(Err(error)));
    insta::assert_snapshot!("answers", golden);
}

/// Position of the method number in an encoded call.
const METHOD_POSITION: usize = 22;

/// A method number that this version does not know.
const UNKNOWN_METHOD: u8 = 200;

#[test]
fn read_call_of_newer_version_is_unknown() {
    let (_, request) = samples::requests().remove(0);
    let mut bytes = write_call(&call(request)).to_vec();
    assert_eq!(bytes[METHOD_POSITION], 0, "the number of the first method");
    bytes[METHOD_POSITION] = UNKNOWN_METHOD;
    assert!(matches!(read_body(&bytes), Body::Unknown));
}

#[test]
fn read_call_with_trailing_bytes_is_unknown() {
    let (_, request) = samples::requests().remove(0);
    let mut bytes = write_call(&call(request)).to_vec();
    bytes.push(0);
    assert!(matches!(read_body(&bytes), Body::Unknown));
}

// Guards against a panic of the connection's task, which fails all calls of that peer: `tarpc` adds
// the time to the deadline to the current time while decoding, which can overflow.
#[test]
fn read_call_with_overflowing_deadline_is_rejected() {
    let (_, request) = samples::requests().remove(0);
    let bytes = write_call(&call(request));
    let overflowing = [&[0, 253], u64::MAX.to_le_bytes().as_slice(), &bytes[2..]].concat();
    let error = read_call(&overflowing).expect_err("the call is rejected");
    assert_eq!(error.kind(), io::ErrorKind::InvalidData);
}
