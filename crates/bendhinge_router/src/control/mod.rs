//! All that passes between routers, and from the platform and the upstreams' reports: one
//! thread with one executor, where the objects of `capnp-rpc` live.

mod calls;
mod duties;
mod exchange;
mod housekeeping;
mod loads;
mod platform;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bendhinge_ids::{BoxName, RouterInstance};
use bendhinge_peer::{PeerClient, PeerPool, PeerPoolTimeouts};
use smol::LocalExecutor;
use smol::channel::Receiver;
use smol::net::TcpListener;

pub(crate) use calls::{ControlCall, acquire, claim, send};

use crate::node::Node;

/// How long a router that gave no answer is not asked again.
const PAUSE_AFTER_FAILURE: Duration = Duration::from_millis(500);

/// What the tasks of this thread share.
#[derive(Clone)]
struct Control {
    node: Arc<Node>,
    peers: Rc<PeerPool<PeerClient>>,
    executor: Rc<LocalExecutor<'static>>,
}

/// Runs everything between routers until `stopped` is closed.
pub(crate) fn run(
    node: &Arc<Node>,
    listener: TcpListener,
    calls: Receiver<ControlCall>,
    stopped: &Receiver<()>,
) {
    let executor = Rc::new(LocalExecutor::new());
    let limits = PeerPoolTimeouts { call: node.settings.control.call, backoff: PAUSE_AFTER_FAILURE };
    let key = node.settings.keys.peers.clone();
    let peers = PeerPool::new(key, limits, Arc::clone(&node.traffic), Rc::clone(&executor));
    let control = Control { node: Arc::clone(node), peers: Rc::new(peers), executor: Rc::clone(&executor) };
    let serving = bendhinge_peer::serve(
        listener,
        node.settings.keys.peers.clone(),
        Rc::new(duties::Duties::new(Arc::clone(node))),
        Arc::clone(&node.traffic),
        Rc::clone(&executor),
    );
    executor.spawn(serving).detach();
    executor.spawn(calls::run(control.clone(), calls)).detach();
    executor.spawn(exchange::run(control.clone())).detach();
    executor.spawn(platform::watch_configuration(control.clone())).detach();
    executor.spawn(platform::watch_members(control.clone())).detach();
    executor.spawn(loads::run(control.clone())).detach();
    executor.spawn(housekeeping::run(control)).detach();
    let _ = smol::block_on(executor.run(stopped.recv()));
}

/// The life in which another router was last heard of.
pub(crate) fn life_of(node: &Node, name: &BoxName) -> Option<RouterInstance> {
    let version = node.membership.lock().unwrap().exchange.version(name)?;
    Some(RouterInstance { name: name.clone(), incarnation: version.incarnation })
}
