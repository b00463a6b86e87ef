//! Worker threads for the async executor.

use std::future::Future;
use std::num::NonZeroUsize;
use std::sync::Arc;
use std::thread;

use smol::Executor;
use smol::channel::bounded;

/// The shared executor that runs the tasks of a process.
pub type Tasks = Arc<Executor<'static>>;

/// Runs `tasks` on `workers` threads until `main` completes, and returns its output.
///
/// Worker threads then stop; unfinished tasks are no longer polled.
pub fn run_until<T>(tasks: &Tasks, workers: NonZeroUsize, main: impl Future<Output = T>) -> T {
    let (stop, stopped) = bounded::<()>(1);
    thread::scope(|scope| {
        for _ in 1..workers.get() {
            let stopped = stopped.clone();
            scope.spawn(move || smol::block_on(tasks.run(stopped.recv())));
        }
        let result = smol::block_on(tasks.run(main));
        drop(stop);
        result
    })
}
