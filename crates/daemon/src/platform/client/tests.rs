//! Reuse of the connection, and responses that never end.

use super::Client;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const INTERIM: &str = "HTTP/1.1 103 Early Hints\r\n\r\n";
const RESPONSE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Limit of a call, which no call of these tests reaches.
const LIMIT: Duration = Duration::from_secs(60);

/// How a server handles the requests of a connection.
#[derive(Clone, Copy)]
enum Behaviour {
    Answer,
    AnswerOnce,
    Endless,
}

async fn serve(mut stream: TcpStream, behaviour: Behaviour) -> std::io::Result<()> {
    let mut request = [0; 1024];
    while stream.read(&mut request).await? > 0 {
        while let Behaviour::Endless = behaviour {
            stream.write_all(INTERIM.repeat(100).as_bytes()).await?;
        }
        stream.write_all(RESPONSE.as_bytes()).await?;
        if let Behaviour::AnswerOnce = behaviour {
            break;
        }
    }
    Ok(())
}

/// Starts a server. Returns its address and its number of connections.
async fn start(behaviour: Behaviour) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("the listener is bound");
    let connections = Arc::new(AtomicUsize::new(0));
    let count = connections.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            count.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(serve(stream, behaviour));
        }
    });
    (address, connections)
}

#[tokio::test]
async fn get_several_in_turn_takes_one_connection() {
    let (address, connections) = start(Behaviour::Answer).await;
    let client = Client::new(address);
    for _ in 0..3 {
        let (head, body) = client.get("/hosts", LIMIT).await.expect("a response");
        assert_eq!((head.status.as_u16(), &body[..]), (200, &b"ok"[..]));
    }
    assert_eq!(connections.load(Ordering::Relaxed), 1);
}

#[tokio::test]
async fn get_after_the_server_closed_opens_a_connection() {
    let (address, connections) = start(Behaviour::AnswerOnce).await;
    let client = Client::new(address);
    for _ in 0..3 {
        client.get("/hosts", LIMIT).await.expect("a response");
        // Lets the end of the connection arrive.
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(connections.load(Ordering::Relaxed), 3);
}

// Guards against a server of the platform that keeps a daemon's thread busy.
#[tokio::test]
async fn get_from_a_server_that_never_ends_fails() {
    let (address, _) = start(Behaviour::Endless).await;
    let error = Client::new(address).get("/hosts", LIMIT).await;
    let error = error.expect_err("the response never ends");
    assert!(error.to_string().contains("calling"), "{error}");
}
