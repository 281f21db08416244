//! Permits for single requests to leafs that take too few requests to divide them among all daemons.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use medlarpin_core::routing::{RateAccess, StatedRate};
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::timeout;
use wire::peer_capnp::route_peer;

use crate::leaf_rate_reports::{LeafRateReport, read_report, write_report};
use crate::leaf_rates::LeafRates;
use crate::peer_pool::PeerPool;
use crate::peers::{PeerError, millis_u32};
use crate::shared::Shared;

/// Time limit of a call, so that a daemon that hangs costs a request little of its time.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(100);

/// Answer of the daemon that permits the requests to a leaf.
#[derive(Debug)]
pub(crate) struct PermitAnswer {
    /// Time to wait before asking again if the request is not permitted.
    pub(crate) wait: Option<Duration>,
    /// What that daemon knows of the leaf's rate, if it can be read.
    pub(crate) known: Option<LeafRateReport>,
}

/// A question for another daemon, and where its answer is sent.
#[derive(Debug)]
struct PermitQuestion {
    issuer: SocketAddr,
    /// What this daemon knows of the leaf's rate.
    known: LeafRateReport,
    reply: oneshot::Sender<Result<PermitAnswer, PeerError>>,
}

/// Hands questions to the task that holds the connections to other daemons.
#[derive(Debug)]
pub(crate) struct LeafPermits {
    questions: mpsc::UnboundedSender<PermitQuestion>,
}

/// The task that asks other daemons for permits.
#[derive(Debug)]
pub(crate) struct LeafPermitTask {
    questions: mpsc::UnboundedReceiver<PermitQuestion>,
}

impl LeafPermits {
    pub(crate) fn new() -> (Self, LeafPermitTask) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (
            Self { questions: sender },
            LeafPermitTask {
                questions: receiver,
            },
        )
    }

    /// Asks for permission to send one request; `known` is what this daemon knows of the leaf's rate.
    pub(crate) async fn ask(
        &self,
        issuer: SocketAddr,
        known: LeafRateReport,
    ) -> Result<PermitAnswer, PeerError> {
        let (reply, answer) = oneshot::channel();
        let question = PermitQuestion {
            issuer,
            known,
            reply,
        };
        // The receiving task runs until the process ends, so this fails only at shutdown.
        let is_sent = self.questions.send(question).is_ok();
        match answer.await {
            Ok(answer) if is_sent => answer,
            _ => Err(PeerError::TimedOut(Duration::ZERO)),
        }
    }
}

impl LeafPermitTask {
    /// Asks until the process ends. The connections are bound to this task's thread.
    pub(crate) async fn run(mut self, shared: Arc<Shared>) {
        let pool = Rc::new(PeerPool::default());
        while let Some(question) = self.questions.recv().await {
            let pool = Rc::clone(&pool);
            let shared = Arc::clone(&shared);
            spawn_local(async move {
                let asked = ask(&pool, question.issuer, &question.known, &shared);
                let answer = timeout(PERMIT_TIMEOUT, asked).await;
                let answer = answer.unwrap_or(Err(PeerError::TimedOut(PERMIT_TIMEOUT)));
                if answer.is_err() {
                    pool.remove(question.issuer);
                }
                // Fails only if the caller has disconnected, in which case no request is sent.
                let _ = question.reply.send(answer);
            });
        }
    }
}

async fn ask(
    pool: &PeerPool,
    issuer: SocketAddr,
    known: &LeafRateReport,
    shared: &Shared,
) -> Result<PermitAnswer, PeerError> {
    let client = pool.client(issuer, shared).await;
    let client = client.ok_or(PeerError::TimedOut(PERMIT_TIMEOUT))?;
    let mut request = client.permit_leaf_request_request();
    write_report(known, shared.now(), request.get().init_rate());
    let response = request.send().promise.await?;
    let reply = response.get()?;
    let wait = Duration::from_millis(reply.get_wait_ms().into());
    Ok(PermitAnswer {
        wait: (!reply.get_is_permitted()).then_some(wait),
        known: read_report(reply.get_known_rate()?, shared.now())?,
    })
}

/// Answers another daemon that asks for a permit.
pub(crate) fn answer(
    shared: &Shared,
    params: route_peer::permit_leaf_request_params::Reader<'_>,
    mut results: route_peer::PermitLeafRequestResults,
) -> Result<(), capnp::Error> {
    let now = shared.now();
    let unknown = || capnp::Error::failed("the leaf or its rate is unknown here".to_owned());
    let asked = read_report(params.get_rate()?, now)?.ok_or_else(unknown)?;
    let leaf = shared.leafs.find(&asked.leaf).ok_or_else(unknown)?;
    LeafRates::new(shared).record_statement(&leaf, asked.statement());
    let (stated, heard_at) = leaf.known_rate();
    let wait = stated.and_then(|rate| leaf.take_request(RateAccess::issuer(rate), now));
    shared.metrics.record_permit(wait.is_none());
    let known = LeafRateReport {
        leaf: asked.leaf,
        stated: stated.map_or(StatedRate::Unlimited, StatedRate::Limited),
        heard_at: heard_at.unwrap_or(now),
    };
    let mut reply = results.get();
    reply.set_is_permitted(wait.is_none());
    reply.set_wait_ms(wait.map_or(0, |wait| millis_u32(wait).max(1)));
    write_report(&known, now, reply.init_known_rate());
    Ok(())
}
