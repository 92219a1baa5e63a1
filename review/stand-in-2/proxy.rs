//! A proxy whose open connections can go silent: they stay open, and carry nothing any more.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    /// Connections with a lower generation are silent.
    generation: Arc<AtomicU64>,
}

impl Proxy {
    pub fn start(target: SocketAddr) -> Result<Self, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
        let proxy = Self {
            address: listener.local_addr().map_err(|error| error.to_string())?,
            generation: Arc::default(),
        };
        let accepting = proxy.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(server) = TcpStream::connect(target) else {
                    continue;
                };
                let _ = client.set_nodelay(true);
                let _ = server.set_nodelay(true);
                if let (Ok(to_client), Ok(to_server)) = (client.try_clone(), server.try_clone()) {
                    accepting.forward(client, to_server);
                    accepting.forward(server, to_client);
                }
            }
        });
        Ok(proxy)
    }

    /// Makes all open connections silent for good; new ones work.
    pub fn silence(&self) {
        self.generation.fetch_add(1, Ordering::SeqCst);
    }

    fn forward(&self, mut from: TcpStream, mut to: TcpStream) {
        let generation = self.generation.clone();
        let own = generation.load(Ordering::SeqCst);
        thread::spawn(move || {
            let mut buffer = vec![0; 64 * 1024];
            loop {
                let count = from.read(&mut buffer).unwrap_or(0);
                if generation.load(Ordering::SeqCst) != own {
                    // Keeps both ends open.
                    thread::sleep(Duration::from_secs(600));
                    return;
                }
                if count == 0 || to.write_all(&buffer[..count]).is_err() {
                    let _ = to.shutdown(std::net::Shutdown::Both);
                    return;
                }
            }
        });
    }
}
