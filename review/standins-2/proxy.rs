//! A link from one gateway to one runner, which can be cut with a reset.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Requests that passed a link: the name of the link and the request's id.
pub type Passed = Arc<Mutex<Vec<(String, String)>>>;

#[derive(Clone)]
pub struct Link {
    name: String,
    pub address: SocketAddr,
    target: SocketAddr,
    is_cut: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
    passed: Passed,
}

impl Link {
    pub fn start(name: &str, target: SocketAddr, passed: &Passed) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let link = Self {
            name: name.to_owned(),
            address,
            target,
            is_cut: Arc::default(),
            open: Arc::default(),
            passed: Arc::clone(passed),
        };
        link.listen(listener)?;
        Ok(link)
    }

    /// Accepts connections until the link is cut.
    fn listen(&self, listener: TcpListener) -> std::io::Result<()> {
        listener.set_nonblocking(true)?;
        let link = self.clone();
        thread::spawn(move || {
            while !link.is_cut.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => link.forward(stream),
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
        });
        Ok(())
    }

    /// Resets the open connections and refuses new ones.
    pub fn cut(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    pub fn heal(&self) -> std::io::Result<()> {
        let listener = TcpListener::bind(self.address)?;
        self.is_cut.store(false, Ordering::SeqCst);
        self.listen(listener)
    }

    fn forward(&self, near: TcpStream) {
        let Ok(far) = TcpStream::connect(self.target) else { return };
        let _ = near.set_nonblocking(false);
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let (Ok(near_reader), Ok(far_reader)) = (near.try_clone(), far.try_clone()) else { return };
        let mut open = self.open.lock().unwrap();
        open.extend([&near, &far].into_iter().filter_map(|stream| stream.try_clone().ok()));
        drop(open);
        let link = self.clone();
        thread::spawn(move || copy(near_reader, far, |bytes| link.record(bytes)));
        thread::spawn(move || copy(far_reader, near, |_| ()));
    }

    /// Records the ids of the requests in `bytes`.
    fn record(&self, bytes: &[u8]) {
        let text = String::from_utf8_lossy(bytes).to_ascii_lowercase();
        for line in text.lines() {
            if let Some(id) = line.strip_prefix("request-id: ") {
                self.passed.lock().unwrap().push((self.name.clone(), id.trim().to_owned()));
            }
        }
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream, seen: impl Fn(&[u8])) {
    let mut buffer = vec![0; 16 << 10];
    while let Ok(length) = from.read(&mut buffer) {
        if length == 0 {
            break;
        }
        seen(&buffer[..length]);
        if to.write_all(&buffer[..length]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}
