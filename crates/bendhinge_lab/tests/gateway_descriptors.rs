//! A gateway without a free descriptor.

mod gateway_common;

use std::net::TcpStream;
use std::time::Duration;

use bendhinge_lab::gateways::{FleetShape, GatewayFleet, Told, until};
use gateway_common::{call, run, send};
use rustix::process::Signal;
use smol::Timer;

const MAX_DESCRIPTORS: u64 = 60;
const STOP: &str = "[stop]\ngrace_s = 3\naccept_ms = 100\n";

/// Guards against a gateway that tries without a pause to accept a connection of a peer, and does nothing else.
#[test]
fn a_gateway_recovers_once_it_has_descriptors_again() {
    const EXIT_TIMEOUT: Duration = Duration::from_secs(20);
    run(|tasks| async move {
        let shape = FleetShape { gateways: 2, engines: 0, services: 1 };
        let mut fleet = GatewayFleet::start(&tasks, shape, STOP).await;
        assert_eq!(send(&fleet, &call("/safe/x")).await.told, Told::Whole);
        fleet.gateway(0).limit_descriptors(MAX_DESCRIPTORS);
        let idle = |_| TcpStream::connect(fleet.callers(0)).unwrap();
        let idle: Vec<_> = (0..MAX_DESCRIPTORS).map(idle).collect();
        // It connects to the first one when it starts.
        fleet.gateways[1].as_mut().expect("it runs").kill();
        fleet.restart(1);
        Timer::after(Duration::from_secs(1)).await;
        drop(idle);
        until(async || send(&fleet, &call("/safe/x")).await.told == Told::Whole).await;
        fleet.gateway(0).signal(Signal::TERM);
        let mut process = fleet.gateways[0].take().expect("it runs");
        let end = smol::unblock(move || process.wait(EXIT_TIMEOUT)).await;
        assert!(end.is_some_and(|status| status.success()), "{end:?}");
    });
}
