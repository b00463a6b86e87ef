//! A loopback proxy that harms what passes through it.

use std::io;
use std::net::{Shutdown, SocketAddr};
use std::os::fd::OwnedFd;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bendhinge_http::Tasks;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use rustix::net::sockopt::set_socket_reuseport;
use rustix::net::{AddressFamily, SocketFlags, SocketType, connect_unspec};
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
    /// Keeps the port while nothing listens on it.
    _reserved: Arc<OwnedFd>,
    /// Where it is reached.
    pub address: SocketAddr,
}

/// Binds a socket to an address to which further ones may be bound in this way.
fn bind_shared(address: SocketAddr) -> io::Result<OwnedFd> {
    let flags = SocketFlags::CLOEXEC | SocketFlags::NONBLOCK;
    let socket = rustix::net::socket_with(AddressFamily::INET, SocketType::STREAM, flags, None)?;
    set_socket_reuseport(&socket, true)?;
    rustix::net::bind(&socket, &address)?;
    Ok(socket)
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    const BACKLOG: i32 = 128;
    let socket = bind_shared(address)?;
    rustix::net::listen(&socket, BACKLOG)?;
    std::net::TcpListener::from(socket).try_into()
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
        let socket = bind_shared(address)?;
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
    pub fn start(tasks: &Tasks, target: SocketAddr) -> io::Result<Self> {
        let reserved = bind_shared(SocketAddr::from((std::net::Ipv4Addr::LOCALHOST, 0)))?;
        let address = std::net::TcpListener::from(reserved.try_clone()?).local_addr()?;
        let listener = listen(address)?;
        let harm = Arc::new(Mutex::new(Harm::None));
        let accepted = Arc::default();
        let accepting = accept(listener, target, Arc::clone(&harm), Arc::clone(&accepted), Arc::clone(tasks));
        let accepting = Arc::new(Mutex::new(Some(tasks.spawn(accepting))));
        let reserved = Arc::new(reserved);
        Ok(Self { harm, accepting, accepted, target, tasks: Arc::clone(tasks), _reserved: reserved, address })
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
    /// If it cannot listen again.
    pub async fn hang_new(&self) {
        self.refuse_new().await;
        let listener = FullListener::bind(self.address).await.expect("its own port is reserved");
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
    /// If it cannot listen again.
    pub async fn accept_new(&self) {
        self.refuse_new().await;
        let listener = listen(self.address).expect("its own port is reserved");
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
