//! Load generator: callers that send queries until stopped.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use tokio::task::JoinSet;

use super::config;
use super::http::Reply;
use super::{Fleet, WAIT_TIMEOUT, wait_until};

/// Interval of the simulated load balancer's readiness checks; well below the daemons' shutdown
/// grace of 2 s.
const READINESS_INTERVAL: Duration = Duration::from_millis(100);
/// Number of distinct query texts; callers repeat them, like real callers do.
const DISTINCT_TEXTS: u64 = 7;

/// A query that was sent, and its reply; `None` if the connection was refused or lost.
#[derive(Debug)]
pub struct Sent {
    pub daemon: usize,
    pub text: String,
    pub reply: Option<Reply>,
}

#[derive(Debug)]
struct Shared {
    fleet: Arc<Fleet>,
    /// Daemons that the load balancer considers ready, by position.
    ready: Vec<AtomicBool>,
    stopped: AtomicBool,
    started: AtomicU64,
    answered: AtomicU64,
    deadline_ms: u64,
}

/// A running load, whose callers go through a simulated load balancer that follows the daemons'
/// readiness.
#[derive(Debug)]
pub struct Load {
    shared: Arc<Shared>,
    callers: JoinSet<Vec<Sent>>,
}

impl Load {
    /// Starts callers that each send one query after another.
    pub fn start(fleet: &Arc<Fleet>, callers: usize, deadline_ms: u64) -> Self {
        let shared = Arc::new(Shared {
            fleet: Arc::clone(fleet),
            ready: (0..fleet.len()).map(|_| AtomicBool::new(true)).collect(),
            stopped: AtomicBool::new(false),
            started: AtomicU64::new(0),
            answered: AtomicU64::new(0),
            deadline_ms,
        });
        let mut tasks = JoinSet::new();
        for _ in 0..callers {
            tasks.spawn(Arc::clone(&shared).run_caller());
        }
        for daemon in 0..fleet.len() {
            tasks.spawn(Arc::clone(&shared).check_readiness(daemon));
        }
        Self {
            shared,
            callers: tasks,
        }
    }

    /// Waits until `count` more queries have been answered or have failed.
    pub async fn wait_answers(&self, count: u64) {
        let target = self.shared.answered.load(Ordering::Relaxed) + count;
        wait_until("more queries are answered", WAIT_TIMEOUT, async || {
            self.shared.answered.load(Ordering::Relaxed) >= target
        })
        .await;
    }

    /// Stops the callers and returns all queries that they sent.
    pub async fn stop(self) -> Vec<Sent> {
        self.shared.stopped.store(true, Ordering::Relaxed);
        self.callers
            .join_all()
            .await
            .into_iter()
            .flatten()
            .collect()
    }
}

impl Shared {
    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }

    async fn run_caller(self: Arc<Self>) -> Vec<Sent> {
        let mut sent = Vec::new();
        while !self.is_stopped() {
            let number = self.started.fetch_add(1, Ordering::Relaxed);
            let Some(daemon) = self.choose_daemon(number) else {
                tokio::time::sleep(READINESS_INTERVAL).await;
                continue;
            };
            let text = format!("lot {}", number % DISTINCT_TEXTS);
            let body = config::query(&text, self.deadline_ms);
            let reply = self.fleet.try_query(daemon, &body).await;
            self.answered.fetch_add(1, Ordering::Relaxed);
            sent.push(Sent {
                daemon,
                text,
                reply,
            });
        }
        sent
    }

    /// Chooses a ready daemon in round-robin order.
    fn choose_daemon(&self, number: u64) -> Option<usize> {
        let ready: Vec<usize> = (0..self.ready.len())
            .filter(|daemon| self.ready[*daemon].load(Ordering::Relaxed))
            .collect();
        let count = u64::try_from(ready.len()).ok().filter(|count| *count > 0)?;
        ready.get(usize::try_from(number % count).ok()?).copied()
    }

    async fn check_readiness(self: Arc<Self>, daemon: usize) -> Vec<Sent> {
        while !self.is_stopped() {
            let ready = self.fleet.is_ready(daemon).await;
            self.ready[daemon].store(ready, Ordering::Relaxed);
            tokio::time::sleep(READINESS_INTERVAL).await;
        }
        Vec::new()
    }
}
