//! A process of the system on a thread of its own, which can be stopped,
//! killed or paused without the others noticing anything but that.

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

/// What a node is told.
#[derive(Clone, Copy, Debug)]
enum Command {
    Stop,
    Kill,
    Pause(Duration),
}

/// A running node.
#[derive(Debug)]
pub struct Node {
    commands: mpsc::UnboundedSender<Command>,
    ended: oneshot::Receiver<()>,
    thread: Option<JoinHandle<()>>,
}

const SHUTDOWN_LIMIT: Duration = Duration::from_millis(10);

impl Node {
    /// Starts a process: `start` gives back the process and what the caller is to know of it.
    ///
    /// # Errors
    /// What `start` fails with.
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
        let (end, ended) = oneshot::channel();
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
                        // Blocks the only thread: timers, sockets and tasks all stand still.
                        Command::Pause(time) => thread::sleep(time),
                    }
                }
            });
            runtime.shutdown_timeout(SHUTDOWN_LIMIT);
            let _ = end.send(());
        })?;
        let info = info.await.map_err(|_| io::Error::other("the node ended at its start"))??;
        Ok((Self { commands, ended, thread: Some(thread) }, info))
    }

    /// Stops the process gracefully and waits for its end, up to a limit.
    pub async fn stop(self, limit: Duration) -> bool {
        self.end(Command::Stop, limit).await
    }

    /// Ends the process at once: its tasks are dropped and its sockets closed.
    pub async fn kill(self) {
        self.end(Command::Kill, Duration::from_secs(2)).await;
    }

    /// Lets the process stand still for a time.
    pub fn pause(&self, time: Duration) {
        let _ = self.commands.send(Command::Pause(time));
    }

    async fn end(mut self, command: Command, limit: Duration) -> bool {
        let _ = self.commands.send(command);
        let in_time = time::timeout(limit, &mut self.ended).await.is_ok();
        if in_time && let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
        in_time
    }
}
