//! Signal handling: SIGTERM and SIGINT request a planned stop.

use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;

/// Returns a channel that receives a message for each stop signal.
pub(crate) fn stop_signals() -> std::io::Result<mpsc::UnboundedReceiver<()>> {
    let (sender, receiver) = mpsc::unbounded_channel();
    for kind in [SignalKind::terminate(), SignalKind::interrupt()] {
        let mut signals = signal(kind)?;
        let sender = sender.clone();
        tokio::spawn(async move {
            while signals.recv().await.is_some() {
                if sender.send(()).is_err() {
                    return;
                }
            }
        });
    }
    Ok(receiver)
}
