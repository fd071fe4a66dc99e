//! Signal handlers and the start of the drain.

use std::sync::Arc;

use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio_util::sync::CancellationToken;

/// Drain flag shared by all tasks of a process; once set, it stays set.
#[derive(Debug, Clone, Default)]
pub struct Shutdown {
    token: Arc<CancellationToken>,
}

impl Shutdown {
    /// Starts the drain; later calls have no effect.
    pub fn drain(&self) {
        self.token.cancel();
    }

    /// Returns whether the process is draining.
    pub fn is_draining(&self) -> bool {
        self.token.is_cancelled()
    }

    /// Waits until the drain starts.
    pub async fn wait(&self) {
        self.token.cancelled().await;
    }

    /// Starts the drain on SIGTERM or SIGINT.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal handlers cannot be installed.
    pub fn watch_signals(&self) -> std::io::Result<()> {
        let mut term = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let shutdown = self.clone();
        tokio::spawn(async move {
            let name = tokio::select! {
                _ = term.recv() => "SIGTERM",
                _ = interrupt.recv() => "SIGINT",
            };
            log::info!(signal = name; "drain_started");
            shutdown.drain();
        });
        Ok(())
    }

    /// Runs `reload` on every SIGHUP.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal handler cannot be installed.
    pub fn watch_reload<Reload>(mut reload: Reload) -> std::io::Result<()>
    where
        Reload: FnMut() + Send + 'static,
    {
        let mut hangup = signal(SignalKind::hangup())?;
        tokio::spawn(async move {
            while hangup.recv().await.is_some() {
                reload();
            }
        });
        Ok(())
    }
}
