//! What the stand-ins' processes have in common.

use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr};
use std::num::NonZeroUsize;
use std::sync::Arc;

use bendhinge_http::{Body, ServeLimits, Server, Tasks, run_until, wait_for_termination};
use hyper::body::Incoming;
use hyper::{Request, Response};

/// Serves `handler` on a free loopback port until the process is asked to stop.
pub fn run<F, R>(name: &str, workers: NonZeroUsize, tasks: &Tasks, handler: F) -> std::io::Result<()>
where
    F: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Response<Body>> + Send + 'static,
{
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    run_until(tasks, workers, async {
        let server = Server::bind(address, ServeLimits::default(), Arc::clone(tasks)).await?;
        println!("listening {name} {}", server.local_addr()?);
        tasks.spawn(server.run(handler)).detach();
        // A stand-in ends at once, as an upstream that is killed does.
        wait_for_termination().await;
        Ok(())
    })
}
