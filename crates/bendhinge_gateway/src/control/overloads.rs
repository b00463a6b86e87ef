//! Sends reports of overloaded upstreams to other gateways at once.

use std::rc::Rc;
use std::time::Duration;

use bendhinge_fleet::Origin;
use smol::Timer;
use smol::channel::Receiver;

use super::ControlPlane;
use super::exchange::exchange_with;
use super::message::MessageContent;

/// Minimum time between two messages to the same gateway. Reports within it are sent together.
const MIN_INTERVAL: Duration = Duration::from_millis(200);

/// Sends new reports along the relay tree. Returns when the channel is closed.
pub(super) async fn push_overloads(control: Rc<ControlPlane>, changes: Receiver<()>) {
    let mut sent = 0;
    while changes.recv().await.is_ok() {
        let now = bendhinge_clock::now();
        let store_failing = control.is_store_failing();
        let targets = control.roster.borrow().push_targets(Origin::Peer, store_failing, now);
        let since = sent;
        for address in targets {
            let batch = control.context.upstreams.overloads_for(address, since, now);
            sent = batch.last_sequence;
            if batch.entries.is_empty() {
                continue;
            }
            let task_control = Rc::clone(&control);
            let content = MessageContent::Overloads { since };
            let task = async move { exchange_with(&task_control, address, content).await };
            control.executor.spawn(task).detach();
        }
        Timer::after(MIN_INTERVAL).await;
    }
}
