//! Passes reports on from daemon to daemon, until all of them know them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::event::Event;
use crate::peers::PeerError;
use crate::shared::Shared;

/// Number of daemons to which each daemon passes a report on. With four, a report reaches nearly all
/// daemons within a few hops, and the others from those before them in the order of addresses.
const RECEIVERS: usize = 4;
/// Time for which reports are collected before they are sent, which bounds the number of messages
/// when many leafs change at once.
pub(crate) const COLLECT_TIME: Duration = Duration::from_millis(100);
/// Maximum number of reports in a message.
pub(crate) const REPORTS_MAX: usize = 64;

/// Passes reports on with `send` until the process ends.
pub(crate) async fn pass_on<T, F>(
    shared: Arc<Shared>,
    mut reports: mpsc::Receiver<T>,
    send: impl Fn(SocketAddr, Arc<Vec<T>>) -> F,
) where
    F: Future<Output = Result<(), PeerError>> + 'static,
{
    while let Some(first) = reports.recv().await {
        sleep(COLLECT_TIME).await;
        let mut batch = vec![first];
        while batch.len() < REPORTS_MAX
            && let Ok(report) = reports.try_recv()
        {
            batch.push(report);
        }
        let batch = Arc::new(batch);
        for daemon in receivers(&shared) {
            let call = send(daemon, Arc::clone(&batch));
            spawn_local(async move {
                if let Err(error) = call.await {
                    Event::DaemonUnreachable {
                        daemon,
                        error: &error,
                    }
                    .log();
                }
            });
        }
    }
}

/// Returns the daemons to which a batch is sent.
fn receivers(shared: &Shared) -> Vec<SocketAddr> {
    let Some(daemons) = &shared.daemons else {
        return Vec::new();
    };
    let daemons = daemons.lock();
    daemons.report_receivers(RECEIVERS, rand::random(), shared.now())
}
