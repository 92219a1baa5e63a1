//! The bytes of every message between daemons.
//!
//! Two versions run beside each other during a roll-out. A golden file that changes in its existing
//! lines means that they would misunderstand each other: the change has to become a new message in a
//! new method, at the end.

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

/// A call whose time is over, so that its bytes are the same each time.
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
    written.expect("it can be written")
}

fn read_call(bytes: &[u8]) -> io::Result<ClientMessage<Body<PeerRequest>>> {
    Pin::new(&mut ServerCodec::default()).deserialize(&BytesMut::from(bytes))
}

fn write_answer(message: Result<PeerResponse, ServerError>) -> Bytes {
    let response = Response {
        request_id: ID,
        message,
    };
    let written = Pin::new(&mut ServerCodec::default()).serialize(&response);
    written.expect("it can be written")
}

fn read_answer(bytes: &[u8]) -> Response<PeerResponse> {
    let read = Pin::new(&mut ClientCodec::default()).deserialize(&BytesMut::from(bytes));
    read.expect("it can be read")
}

fn heard(bytes: &[u8]) -> Body<PeerRequest> {
    match read_call(bytes).expect("the head can be read") {
        ClientMessage::Request(request) => request.message,
        other => unreachable!("a call: {other:?}"),
    }
}

fn line(golden: &mut String, name: &str, bytes: &[u8]) {
    write!(golden, "{name} ").expect("text");
    for byte in bytes {
        write!(golden, "{byte:02x}").expect("text");
    }
    golden.push('\n');
}

#[test]
fn calls_have_the_bytes_that_they_had() {
    let mut golden = String::new();
    for (name, request) in samples::requests() {
        let expected = format!("{:?}", Body::Known(&request));
        let bytes = write_call(&call(request));
        line(&mut golden, name, &bytes);
        assert_eq!(format!("{:?}", heard(&bytes)), expected);
    }
    let cancel = ClientMessage::Cancel {
        trace_context: trace::Context::default(),
        request_id: ID,
    };
    line(&mut golden, "cancel", &write_call(&cancel));
    insta::assert_snapshot!("calls", golden);
}

#[test]
fn answers_have_the_bytes_that_they_had() {
    let mut golden = String::new();
    for (name, response) in samples::responses() {
        let expected = format!("{response:?}");
        let bytes = write_answer(Ok(response));
        line(&mut golden, name, &bytes);
        let read = read_answer(&bytes).message.expect("an answer");
        assert_eq!(format!("{read:?}"), expected);
    }
    let error = ServerError::new(io::ErrorKind::Unsupported, "no".to_owned());
    line(&mut golden, "error", &write_answer(Err(error)));
    insta::assert_snapshot!("answers", golden);
}

/// Position of the method's number in a call.
const METHOD: usize = 22;

/// A number that no method has.
const LATER: u8 = 200;

#[test]
fn read_call_of_a_later_version_is_unknown() {
    let (_, request) = samples::requests().remove(0);
    let mut bytes = write_call(&call(request)).to_vec();
    assert_eq!(bytes[METHOD], 0, "the number of the first method");
    bytes[METHOD] = LATER;
    assert!(matches!(heard(&bytes), Body::Unknown));
}

#[test]
fn read_call_that_goes_on_is_unknown() {
    let (_, request) = samples::requests().remove(0);
    let mut bytes = write_call(&call(request)).to_vec();
    bytes.push(0);
    assert!(matches!(heard(&bytes), Body::Unknown));
}

// Symptom: a connection's task panics, and all calls of that peer fail.
// Events: a call comes with a time that is longer than the clock can tell.
// Cause: the library adds the time to the clock as it reads the call.
#[test]
fn read_call_with_endless_time_is_refused() {
    let (_, request) = samples::requests().remove(0);
    let bytes = write_call(&call(request));
    let endless = [&[0, 253], u64::MAX.to_le_bytes().as_slice(), &bytes[2..]].concat();
    let error = read_call(&endless).expect_err("it is refused");
    assert_eq!(error.kind(), io::ErrorKind::InvalidData);
}
