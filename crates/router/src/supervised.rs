use std::convert::Infallible;
use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::event::Event;

/// Delay before a background task is started again, so that one that panics at once does not use up
/// the processor.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Runs a background task that is meant to run until the process ends, and starts it again if it
/// panics. Without it, the process would go on serving with a state that is no longer updated.
///
/// Must be called within a `LocalSet`.
pub async fn run_supervised<T>(name: &str, start: impl Fn() -> T) -> Infallible
where
    T: Future<Output = ()> + 'static,
{
    loop {
        let ended = spawn_local(start()).await;
        let error = ended.map_or_else(|error| error.to_string(), |()| "the task ended".to_owned());
        Event::TaskRestarted {
            task: name,
            error: &error,
        }
        .log();
        sleep(RESTART_DELAY).await;
    }
}
