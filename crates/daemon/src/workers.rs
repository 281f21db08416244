//! The worker pool.
//!
//! A worker is a thread with a current-thread runtime and a `LocalSet`, because capnp-rpc's types
//! are not `Send`. An RPC connection stays on the worker that opened or accepted it. State shared
//! between workers is in [`Shared`](crate::shared::Shared).

use std::fmt;
use std::net::TcpStream;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::JoinHandle;

use client_connections::PeerPlace;
use displaydoc::Display;
use parking_lot::Mutex;
use thiserror::Error;
use tokio::runtime;
use tokio::sync::mpsc;
use tokio::task::LocalSet;

use crate::logging::SHUTDOWN;
use crate::peers::{PeerPool, serve_peer};
use crate::shared::Shared;

/// State available to the tasks of one worker.
#[derive(Debug)]
pub struct Worker {
    /// Tables shared by all workers.
    pub shared: Arc<Shared>,
    /// RPC connections of this worker.
    pub peers: PeerPool,
}

type LocalFuture = Pin<Box<dyn Future<Output = ()>>>;

/// A function that creates a task on the worker's `LocalSet`.
type LocalTask = Box<dyn FnOnce(Rc<Worker>) -> LocalFuture + Send>;

enum Job {
    Run(LocalTask),
    Accept(TcpStream, PeerPlace),
    Stop,
}

/// Why the worker pool could not start.
#[derive(Debug, Display, Error)]
pub enum WorkerError {
    /// cannot start a worker thread: {0}
    Thread(std::io::Error),
    /// cannot create a worker's runtime: {0}
    Runtime(std::io::Error),
}

/// The threads that run queries, gather from leafs and talk to peers.
pub struct WorkerPool {
    senders: Vec<mpsc::UnboundedSender<Job>>,
    threads: Mutex<Vec<JoinHandle<()>>>,
    next: AtomicUsize,
}

impl WorkerPool {
    /// Starts the threads.
    ///
    /// # Errors
    ///
    /// Fails if a thread or a runtime cannot be created.
    pub fn start(shared: &Arc<Shared>, workers: usize) -> Result<Self, WorkerError> {
        let mut senders = Vec::with_capacity(workers);
        let mut threads = Vec::with_capacity(workers);
        for index in 0..workers.max(1) {
            let (sender, receiver) = mpsc::unbounded_channel();
            let runtime = runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .map_err(WorkerError::Runtime)?;
            let shared = Arc::clone(shared);
            let thread = std::thread::Builder::new()
                .name(format!("worker-{index}"))
                .spawn(move || run_worker(&runtime, shared, receiver))
                .map_err(WorkerError::Thread)?;
            senders.push(sender);
            threads.push(thread);
        }
        Ok(Self {
            senders,
            threads: Mutex::new(threads),
            next: AtomicUsize::new(0),
        })
    }

    /// Starts a task on the next worker, round robin.
    pub fn spawn<F, T>(&self, task: F)
    where
        F: FnOnce(Rc<Worker>) -> T + Send + 'static,
        T: Future<Output = ()> + 'static,
    {
        self.send(Job::Run(Box::new(move |worker| Box::pin(task(worker)))));
    }

    /// Passes an accepted RPC connection to the next worker, round robin.
    pub fn accept(&self, stream: TcpStream, place: PeerPlace) {
        self.send(Job::Accept(stream, place));
    }

    /// Stops all workers and waits for their threads.
    pub fn stop(&self) {
        for sender in &self.senders {
            // Fails only if the worker has already stopped.
            let _ = sender.send(Job::Stop);
        }
        let threads = std::mem::take(&mut *self.threads.lock());
        for thread in threads {
            if thread.join().is_err() {
                log::error!(target: SHUTDOWN, "A worker thread panicked.");
            }
        }
    }

    fn send(&self, job: Job) {
        let index = self.next.fetch_add(1, Ordering::Relaxed) % self.senders.len();
        if self.senders[index].send(job).is_err() {
            log::debug!(target: SHUTDOWN, "A job was dropped because its worker has stopped.");
        }
    }
}

impl fmt::Debug for WorkerPool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("WorkerPool")
            .field("workers", &self.senders.len())
            .finish_non_exhaustive()
    }
}

fn run_worker(
    runtime: &runtime::Runtime,
    shared: Arc<Shared>,
    mut jobs: mpsc::UnboundedReceiver<Job>,
) {
    let worker = Rc::new(Worker {
        peers: PeerPool::new(shared.clients.messages.clone()),
        shared,
    });
    let local = LocalSet::new();
    local.block_on(runtime, async move {
        while let Some(job) = jobs.recv().await {
            match job {
                Job::Run(task) => {
                    tokio::task::spawn_local(task(Rc::clone(&worker)));
                }
                Job::Accept(stream, place) => {
                    tokio::task::spawn_local(serve_peer(Rc::clone(&worker), stream, place));
                }
                Job::Stop => break,
            }
        }
    });
}
