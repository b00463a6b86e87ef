//! A connection that nobody uses any more is closed at both ends.

use std::net::{Ipv4Addr, Shutdown, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bendhinge_fleet::{ListUpdate, UpstreamList};
use bendhinge_peer::{
    FleetClient, FleetDuties, Known, ObservedRead, PeerConnection, PeerKey, PeerMessage, ReadsPage, Traffic,
    serve_fleet,
};
use bytes::Bytes;
use smol::channel::{Receiver, bounded};
use smol::net::{TcpListener, TcpStream};
use smol::{LocalExecutor, Timer};

/// A gateway that knows nothing.
struct Newcomer;

impl FleetDuties for Newcomer {
    fn exchange(&self, message: PeerMessage) -> PeerMessage {
        message
    }

    fn rules(&self) -> Option<(Known, Bytes)> {
        None
    }

    fn list(&self, _: u64) -> Option<Arc<UpstreamList>> {
        None
    }

    fn list_part(&self) -> Option<Arc<UpstreamList>> {
        None
    }

    fn upstreams(&self, _: Option<u64>) -> Option<(Known, ListUpdate)> {
        None
    }

    fn reads(&self, _: ReadsPage) -> Option<Vec<ObservedRead>> {
        None
    }
}

/// Waits until `traffic` counts `open` connections; a test that waits in vain is ended here.
async fn until_open(traffic: &Traffic, open: u64) {
    for _ in 0..2_000 {
        if traffic.open_connections() == open {
            return;
        }
        Timer::after(Duration::from_millis(5)).await;
    }
    panic!("{} connections are open, expected {open}", traffic.open_connections());
}

/// A gateway that is asked, and what asks it.
struct Pair {
    key: PeerKey,
    address: SocketAddr,
    asked: Arc<Traffic>,
    asking: Arc<Traffic>,
    executor: Rc<LocalExecutor<'static>>,
}

impl Pair {
    /// A gateway that is asked on `executor`.
    async fn start(executor: &Rc<LocalExecutor<'static>>) -> Self {
        let key = PeerKey::new("a key for this test alone");
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let asked = Arc::new(Traffic::default());
        let serving =
            serve_fleet(listener, key.clone(), Rc::new(Newcomer), Arc::clone(&asked), Rc::clone(executor));
        executor.spawn(serving).detach();
        Self { key, address, asked, asking: Arc::default(), executor: Rc::clone(executor) }
    }

    /// A client of what listens at `address`.
    async fn client(&self, address: SocketAddr) -> FleetClient {
        let time = Duration::from_secs(20);
        FleetClient::connect(address, &self.key, time, &self.asking, &self.executor).await.unwrap()
    }

    /// Waits until no connection is open at either end.
    async fn until_closed(&self) {
        until_open(&self.asking, 0).await;
        until_open(&self.asked, 0).await;
    }
}

#[test]
fn a_dropped_client_closes_its_connection() {
    let executor = Rc::new(LocalExecutor::new());
    smol::block_on(executor.run(async {
        let pair = Pair::start(&executor).await;
        for _ in 0..20 {
            let client = pair.client(pair.address).await;
            assert_eq!(client.rules().await.unwrap(), None);
            let other = client.clone();
            drop(client);
            assert_eq!(other.rules().await.unwrap(), None, "a clone keeps the connection");
        }
        pair.until_closed().await;
    }));
}

/// Passes one connection on to `server` until told to cut both ends.
async fn pass_on(listener: &TcpListener, server: SocketAddr, cut: Receiver<()>) {
    let (near, _) = listener.accept().await.unwrap();
    let far = TcpStream::connect(server).await.unwrap();
    let passing = async {
        let _ = smol::future::zip(
            smol::io::copy(near.clone(), far.clone()),
            smol::io::copy(far.clone(), near.clone()),
        )
        .await;
    };
    let cutting = async {
        let _ = cut.recv().await;
    };
    smol::future::or(passing, cutting).await;
    let _ = near.shutdown(Shutdown::Both);
    let _ = far.shutdown(Shutdown::Both);
}

#[test]
fn a_client_may_be_dropped_while_its_connection_is_cut() {
    let executor = Rc::new(LocalExecutor::new());
    smol::block_on(executor.run(async {
        let pair = Pair::start(&executor).await;
        let server = pair.address;
        let proxy = Rc::new(TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap());
        let address = proxy.local_addr().unwrap();
        for turns in 0..60 {
            let (cut, told_to_cut) = bounded(1);
            let proxy = Rc::clone(&proxy);
            let passing = async move { pass_on(&proxy, server, told_to_cut).await };
            let passing = executor.spawn(passing);
            let client = pair.client(address).await;
            assert_eq!(client.rules().await.unwrap(), None);
            cut.send(()).await.unwrap();
            for _ in 0..turns {
                smol::future::yield_now().await;
            }
            drop(client);
            passing.await;
        }
        pair.until_closed().await;
    }));
}
