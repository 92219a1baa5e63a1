//! Memory of bodies that are read.

use super::{Memory, read};
use bytes::Bytes;
use futures::FutureExt;
use futures::stream;
use http_body_util::{Full, StreamBody};
use hyper::body::Frame;
use std::convert::Infallible;
use std::pin::pin;
use std::task::{Context, Poll, Waker};

const MIB: usize = 1024 * 1024;

/// Limit of a process: a quarter of it, 64 MiB, is for incomplete bodies.
const PROCESS_LIMIT: usize = 256 * MIB;

type FrameResult = Result<Frame<Bytes>, Infallible>;

fn frame(bytes: usize) -> FrameResult {
    Ok(Frame::data(Bytes::from(vec![b'a'; bytes])))
}

/// Polls a body that is never complete until it waits or ends. Returns its future with the result.
fn poll_once<F: Future<Output = Option<Bytes>>>(
    future: std::pin::Pin<&mut F>,
) -> Poll<Option<Bytes>> {
    future.poll(&mut Context::from_waker(Waker::noop()))
}

#[test]
fn read_frames_in_order() {
    let memory = Memory::new(None);
    let frames = ["first ", "second ", "third"];
    let frames =
        frames.map(|text| FrameResult::Ok(Frame::data(Bytes::from_static(text.as_bytes()))));
    let body = read(StreamBody::new(stream::iter(frames)), &memory).now_or_never();
    assert_eq!(body, Some(Some(Bytes::from_static(b"first second third"))));
    assert_eq!(memory.used(), 0);
}

#[test]
fn read_single_frame() {
    let memory = Memory::new(None);
    let body = read(Full::new(Bytes::from_static(b"all")), &memory).now_or_never();
    assert_eq!(body, Some(Some(Bytes::from_static(b"all"))));
}

#[test]
fn read_body_without_end_fails() {
    let memory = Memory::new(Some(PROCESS_LIMIT));
    let body = StreamBody::new(stream::repeat_with(|| frame(MIB)));
    assert_eq!(read(body, &memory).now_or_never(), Some(None));
    assert_eq!(memory.used(), 0);
}

// Guards against servers that together take a host's memory, and with it the short answers of others.
#[test]
fn read_many_bodies_without_end_leaves_memory_for_short_ones() {
    let memory = Memory::new(Some(PROCESS_LIMIT));
    let mut failed = 0;
    let mut reading = Vec::new();
    for _ in 0..100 {
        // Each server writes 15 MiB at most and then falls silent.
        let frames = stream::iter((0..15).map(|_| frame(MIB)));
        let frames = futures::StreamExt::chain(frames, stream::pending());
        let mut body = Box::pin(read(StreamBody::new(Box::pin(frames)), &memory));
        match poll_once(body.as_mut()) {
            Poll::Ready(result) => {
                assert_eq!(result, None);
                failed += 1;
            }
            Poll::Pending => reading.push(body),
        }
    }
    assert!(failed > 0 && !reading.is_empty(), "{failed} of 100 fail");
    assert!(
        memory.used() <= PROCESS_LIMIT / 4,
        "{} bytes",
        memory.used()
    );
    let short = read(Full::new(Bytes::from(vec![b'a'; 64 * 1024])), &memory);
    assert!(matches!(poll_once(pin!(short)), Poll::Ready(Some(_))));
    drop(reading);
    assert_eq!(memory.used(), 0);
}
