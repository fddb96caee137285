//! Dedicated thread for futures that are not `Send`.

use std::future::Future;
use std::thread::JoinHandle;

use tokio::task::LocalSet;

/// Runs a future, and the local tasks that it spawns, on a new named thread until the future completes.
pub fn spawn<M, F>(name: String, make: M) -> std::io::Result<JoinHandle<()>>
where
    M: FnOnce() -> F + Send + 'static,
    F: Future<Output = ()> + 'static,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    std::thread::Builder::new()
        .name(name)
        .spawn(move || LocalSet::new().block_on(&runtime, make()))
}
