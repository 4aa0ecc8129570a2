//! Runs one process of the system on its own thread and runtime, so that it can be
//! stopped, killed or paused without affecting the other processes directly.

use std::{
    future::Future,
    io,
    thread::{self, JoinHandle},
    time::Duration,
};

use tokio::{
    runtime::Builder,
    sync::{mpsc, oneshot},
    time,
};

/// Commands to the thread of a node.
#[derive(Clone, Copy, Debug)]
enum Command {
    Stop,
    Kill,
    Pause(Duration),
}

/// Handle to a process that runs on its own thread.
#[derive(Debug)]
pub struct Node {
    commands: mpsc::UnboundedSender<Command>,
    ended: oneshot::Receiver<()>,
    thread: Option<JoinHandle<()>>,
}

const RUNTIME_SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(10);

impl Node {
    /// Starts a process on a new thread. `start` returns the process, which stays on the
    /// thread, and information that is handed to the caller, such as its address. `stop`
    /// stops the process gracefully.
    ///
    /// # Errors
    /// The error of `start`, or a failure to create the thread or its runtime.
    pub async fn spawn<P, I, S, F>(
        name: &str,
        start: impl FnOnce() -> S + Send + 'static,
        stop: impl FnOnce(P) -> F + Send + 'static,
    ) -> io::Result<(Self, I)>
    where
        P: 'static,
        I: Send + 'static,
        S: Future<Output = io::Result<(P, I)>>,
        F: Future<Output = ()>,
    {
        let (commands, mut rx) = mpsc::unbounded_channel();
        let (info_tx, info) = oneshot::channel();
        let (ended_tx, ended) = oneshot::channel();
        let thread = thread::Builder::new().name(name.to_owned()).spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build();
            let Ok(runtime) = runtime else { return };
            runtime.block_on(async {
                let process = match start().await {
                    Ok((process, info)) => {
                        let _ = info_tx.send(Ok(info));
                        process
                    }
                    Err(err) => {
                        let _ = info_tx.send(Err(err));
                        return;
                    }
                };
                while let Some(command) = rx.recv().await {
                    match command {
                        Command::Stop => return stop(process).await,
                        Command::Kill => return,
                        // Blocks the only thread of the runtime: no timer, socket or task runs.
                        Command::Pause(duration) => thread::sleep(duration),
                    }
                }
            });
            runtime.shutdown_timeout(RUNTIME_SHUTDOWN_TIMEOUT);
            let _ = ended_tx.send(());
        })?;
        let info = info.await.map_err(|_| io::Error::other("the node exited during startup"))??;
        Ok((Self { commands, ended, thread: Some(thread) }, info))
    }

    /// Stops the process gracefully; returns false when it has not ended within the timeout.
    pub async fn stop(self, timeout: Duration) -> bool {
        self.end(Command::Stop, timeout).await
    }

    /// Ends the process without a graceful stop: its tasks are dropped and its sockets closed.
    pub async fn kill(self) {
        self.end(Command::Kill, Duration::from_secs(2)).await;
    }

    /// Suspends the process for `duration`.
    pub fn pause(&self, duration: Duration) {
        let _ = self.commands.send(Command::Pause(duration));
    }

    async fn end(mut self, command: Command, timeout: Duration) -> bool {
        let _ = self.commands.send(command);
        let in_time = time::timeout(timeout, &mut self.ended).await.is_ok();
        if in_time && let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
        in_time
    }
}
