//! A loopback proxy that harms what passes through it.

use std::io;
use std::net::{Shutdown, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bendhinge_http::Tasks;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use rustix::net::connect_unspec;
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
    /// Where it is reached.
    pub address: SocketAddr,
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
        Ok(Self { harm, accepting, accepted, address })
    }

    /// What it stands for has ended: its connections are closed, and further ones refused.
    pub async fn end(&self) {
        let accepting = self.accepting.lock().unwrap().take();
        if let Some(accepting) = accepting {
            accepting.cancel().await;
        }
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
