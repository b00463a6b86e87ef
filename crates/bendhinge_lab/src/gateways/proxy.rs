//! A loopback proxy that harms what passes through it.

use std::io;
use std::net::{Shutdown, SocketAddr};
use std::os::fd::OwnedFd;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bendhinge_http::Tasks;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use rustix::net::sockopt::set_socket_reuseaddr;
use rustix::net::{AddressFamily, SocketType, connect_unspec};
use smol::net::{TcpListener, TcpStream};
use smol::{Task, Timer};

/// What happens to bytes on their way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Harm {
    /// Nothing.
    #[default]
    None,
    /// They arrive later.
    Delay(Duration),
    /// Connections are reset.
    Reset,
    /// Bytes towards the target are held back for as long as this lasts.
    CutThere,
    /// Bytes back from the target are.
    CutBack,
    /// Both are.
    Silence,
}

impl Harm {
    const fn holds(self, direction: Direction) -> bool {
        matches!(
            (self, direction),
            (Self::Silence, _) | (Self::CutThere, Direction::There) | (Self::CutBack, Direction::Back)
        )
    }
}

#[derive(Clone, Copy, Debug)]
enum Direction {
    There,
    Back,
}

/// A proxy; cheap to clone.
#[derive(Clone)]
pub struct Proxy {
    harm: Arc<Mutex<Harm>>,
    accepting: Arc<Mutex<Option<Task<()>>>>,
    accepted: Arc<Mutex<Vec<TcpStream>>>,
    target: SocketAddr,
    tasks: Tasks,
    /// Where it is reached.
    pub address: SocketAddr,
}

/// A listening socket whose queue is full, so that further connections get no answer.
struct FullListener {
    _socket: OwnedFd,
    _queued: Vec<TcpStream>,
}

impl FullListener {
    /// Listens on `address` and fills the queue.
    async fn bind(address: SocketAddr) -> io::Result<Self> {
        const CONNECT_TIME: Duration = Duration::from_millis(100);
        let socket = rustix::net::socket(AddressFamily::INET, SocketType::STREAM, None)?;
        set_socket_reuseaddr(&socket, true)?;
        rustix::net::bind(&socket, &address)?;
        rustix::net::listen(&socket, 0)?;
        let mut queued = Vec::new();
        let connect = async || {
            let connecting = async { TcpStream::connect(address).await.ok() };
            let timeout = async {
                Timer::after(CONNECT_TIME).await;
                None
            };
            connecting.or(timeout).await
        };
        while let Some(connection) = connect().await {
            queued.push(connection);
        }
        Ok(Self { _socket: socket, _queued: queued })
    }
}

impl Proxy {
    /// Starts a proxy in front of `target` on a free port.
    pub async fn start(tasks: &Tasks, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((std::net::Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let harm = Arc::new(Mutex::new(Harm::None));
        let accepted = Arc::default();
        let accepting = accept(listener, target, Arc::clone(&harm), Arc::clone(&accepted), Arc::clone(tasks));
        let accepting = Arc::new(Mutex::new(Some(tasks.spawn(accepting))));
        Ok(Self { harm, accepting, accepted, target, tasks: Arc::clone(tasks), address })
    }

    /// Refuses new connections; open ones stay.
    pub async fn refuse_new(&self) {
        let accepting = self.accepting.lock().unwrap().take();
        if let Some(accepting) = accepting {
            accepting.cancel().await;
        }
    }

    /// Answers no new connection; open ones stay.
    ///
    /// # Panics
    ///
    /// If its port was taken by another process.
    pub async fn hang_new(&self) {
        self.refuse_new().await;
        let listener = FullListener::bind(self.address).await.expect("its own port is free");
        let holding = async move {
            let _listener = listener;
            std::future::pending::<()>().await;
        };
        *self.accepting.lock().unwrap() = Some(self.tasks.spawn(holding));
    }

    /// Accepts new connections again.
    ///
    /// # Panics
    ///
    /// If its port was taken by another process.
    pub async fn accept_new(&self) {
        self.refuse_new().await;
        let listener = TcpListener::bind(self.address).await.expect("its own port is free");
        let (harm, accepted) = (Arc::clone(&self.harm), Arc::clone(&self.accepted));
        let accepting = accept(listener, self.target, harm, accepted, Arc::clone(&self.tasks));
        *self.accepting.lock().unwrap() = Some(self.tasks.spawn(accepting));
    }

    /// Resets all open connections.
    pub fn reset_open(&self) {
        for connection in self.accepted.lock().unwrap().drain(..) {
            reset(&connection);
        }
    }

    /// What it stands for has ended: its connections are closed, and further ones refused.
    pub async fn end(&self) {
        self.refuse_new().await;
        for connection in self.accepted.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    /// Sets what happens from now on.
    pub fn set(&self, harm: Harm) {
        *self.harm.lock().unwrap() = harm;
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    harm: Arc<Mutex<Harm>>,
    accepted: Arc<Mutex<Vec<TcpStream>>>,
    tasks: Tasks,
) {
    while let Ok((near, _)) = listener.accept().await {
        keep(&accepted, near.clone());
        let Ok(far) = TcpStream::connect(target).await else { continue };
        let there = pass(near.clone(), far.clone(), Direction::There, Arc::clone(&harm));
        let back = pass(far, near, Direction::Back, Arc::clone(&harm));
        tasks.spawn(there).detach();
        tasks.spawn(back).detach();
    }
}

/// Keeps a connection for as long as it stands.
fn keep(accepted: &Mutex<Vec<TcpStream>>, near: TcpStream) {
    let mut accepted = accepted.lock().unwrap();
    accepted.retain(|known| known.peer_addr().is_ok());
    accepted.push(near);
}

/// Resets a connection at once, although other handles of it are open.
fn reset(connection: &TcpStream) {
    let _ = connect_unspec(connection);
}

async fn pass(mut from: TcpStream, mut to: TcpStream, direction: Direction, harm: Arc<Mutex<Harm>>) {
    const LOOK: Duration = Duration::from_millis(5);
    const PIECE: usize = 16 << 10;
    let mut piece = vec![0; PIECE];
    while let Ok(length @ 1..) = from.read(&mut piece).await {
        loop {
            let now = *harm.lock().unwrap();
            if !now.holds(direction) {
                break;
            }
            Timer::after(LOOK).await;
        }
        let now = *harm.lock().unwrap();
        if let Harm::Delay(time) = now {
            Timer::after(time).await;
        }
        if now == Harm::Reset {
            reset(&from);
            reset(&to);
            return;
        }
        if to.write_all(&piece[..length]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
}
