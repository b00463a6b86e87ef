//! Connections that are no longer in use are closed at both ends.

use std::net::{Ipv4Addr, Shutdown, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bendhinge_fleet::{ListUpdate, UpstreamList};
use bendhinge_peer::{
    CachedPartsPage, FleetClient, FleetService, HeldVersion, ObservedCachedPart, PeerConnection, PeerKey,
    PeerMessage, TrafficCounters, serve_fleet,
};
use bytes::Bytes;
use smol::channel::{Receiver, bounded};
use smol::net::{TcpListener, TcpStream};
use smol::{LocalExecutor, Timer};

/// A gateway without any data.
struct EmptyGateway;

impl FleetService for EmptyGateway {
    fn exchange(&self, message: PeerMessage) -> PeerMessage {
        message
    }

    fn rules(&self) -> Option<(HeldVersion, Bytes)> {
        None
    }

    fn recent_list(&self, _: u64) -> Option<Arc<UpstreamList>> {
        None
    }

    fn partial_list(&self) -> Option<Arc<UpstreamList>> {
        None
    }

    fn upstreams(&self, _: Option<u64>) -> Option<(HeldVersion, ListUpdate)> {
        None
    }

    fn cached_parts(&self, _: CachedPartsPage) -> Option<Vec<ObservedCachedPart>> {
        None
    }
}

/// Waits until `traffic` counts `expected` open connections; panics after a timeout.
async fn wait_for_open_connections(traffic: &TrafficCounters, expected: u64) {
    for _ in 0..2_000 {
        if traffic.open_connections() == expected {
            return;
        }
        Timer::after(Duration::from_millis(5)).await;
    }
    panic!("{} connections are open, expected {expected}", traffic.open_connections());
}

/// A serving gateway and the settings of its clients.
struct TestServer {
    key: PeerKey,
    address: SocketAddr,
    server_traffic: Arc<TrafficCounters>,
    client_traffic: Arc<TrafficCounters>,
    executor: Rc<LocalExecutor<'static>>,
}

impl TestServer {
    /// Starts a gateway on `executor`.
    async fn start(executor: &Rc<LocalExecutor<'static>>) -> Self {
        let key = PeerKey::new("a key for this test alone");
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let server_traffic = Arc::new(TrafficCounters::default());
        let serving = serve_fleet(
            listener,
            key.clone(),
            Rc::new(EmptyGateway),
            Arc::clone(&server_traffic),
            Rc::clone(executor),
        );
        executor.spawn(serving).detach();
        Self { key, address, server_traffic, client_traffic: Arc::default(), executor: Rc::clone(executor) }
    }

    /// Connects a client to `address`.
    async fn client(&self, address: SocketAddr) -> FleetClient {
        let timeout = Duration::from_secs(20);
        FleetClient::connect(address, &self.key, timeout, &self.client_traffic, &self.executor).await.unwrap()
    }

    /// Waits until both ends have closed all connections.
    async fn wait_until_closed(&self) {
        wait_for_open_connections(&self.client_traffic, 0).await;
        wait_for_open_connections(&self.server_traffic, 0).await;
    }
}

#[test]
fn dropping_the_last_clone_of_a_client_closes_its_connection() {
    let executor = Rc::new(LocalExecutor::new());
    smol::block_on(executor.run(async {
        let gateway = TestServer::start(&executor).await;
        for _ in 0..20 {
            let client = gateway.client(gateway.address).await;
            assert_eq!(client.rules().await.unwrap(), None);
            let clone = client.clone();
            drop(client);
            assert_eq!(clone.rules().await.unwrap(), None, "a clone keeps the connection open");
        }
        gateway.wait_until_closed().await;
    }));
}

/// Forwards one connection to `server` until `cut` receives a message, then closes both sides.
async fn forward_connection(listener: &TcpListener, server: SocketAddr, cut: Receiver<()>) {
    let (inbound, _) = listener.accept().await.unwrap();
    let outbound = TcpStream::connect(server).await.unwrap();
    let forwarding = async {
        let _ = smol::future::zip(
            smol::io::copy(inbound.clone(), outbound.clone()),
            smol::io::copy(outbound.clone(), inbound.clone()),
        )
        .await;
    };
    let cut_requested = async {
        let _ = cut.recv().await;
    };
    smol::future::or(forwarding, cut_requested).await;
    let _ = inbound.shutdown(Shutdown::Both);
    let _ = outbound.shutdown(Shutdown::Both);
}

#[test]
fn dropping_a_client_while_its_connection_is_cut_does_not_panic() {
    let executor = Rc::new(LocalExecutor::new());
    smol::block_on(executor.run(async {
        let gateway = TestServer::start(&executor).await;
        let server = gateway.address;
        let proxy = Rc::new(TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap());
        let address = proxy.local_addr().unwrap();
        for yields in 0..60 {
            let (cut, cut_receiver) = bounded(1);
            let proxy = Rc::clone(&proxy);
            let forwarding = async move { forward_connection(&proxy, server, cut_receiver).await };
            let forwarding = executor.spawn(forwarding);
            let client = gateway.client(address).await;
            assert_eq!(client.rules().await.unwrap(), None);
            cut.send(()).await.unwrap();
            for _ in 0..yields {
                smol::future::yield_now().await;
            }
            drop(client);
            forwarding.await;
        }
        gateway.wait_until_closed().await;
    }));
}
