//! Periodic timers, all driven by one task.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use tokio::{
    sync::mpsc,
    time::{self, Instant},
};

/// Receives the ticks of one subscription. Ticks that are not received before the next
/// one is due are merged into one.
#[derive(Debug)]
pub struct Ticks {
    rx: mpsc::Receiver<()>,
}

impl Ticks {
    /// Waits for the next tick.
    pub async fn next(&mut self) {
        if self.rx.recv().await.is_none() {
            // The service stops only when the process ends, so there are no more ticks.
            std::future::pending::<()>().await;
        }
    }
}

struct Subscription {
    period: Duration,
    tx: mpsc::Sender<()>,
}

/// Handle of the timer service. Clones refer to the same service.
///
/// ```
/// # #[tokio::main(flavor = "current_thread", start_paused = true)]
/// # async fn main() {
/// use std::time::Duration;
/// use goldcrestpitch::timers::Timers;
/// let timers = Timers::start();
/// let mut ticks = timers.every(Duration::from_secs(1));
/// ticks.next().await;
/// # }
/// ```
#[derive(Clone, Debug)]
pub struct Timers {
    subscribe: mpsc::UnboundedSender<Subscription>,
}

impl std::fmt::Debug for Subscription {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Subscription({:?})", self.period)
    }
}

impl Timers {
    /// Starts the service in the current runtime. It stops when all handles are dropped.
    pub fn start() -> Self {
        let (subscribe, rx) = mpsc::unbounded_channel();
        tokio::spawn(run(rx));
        Self { subscribe }
    }

    /// Subscribes to a tick every `period`; the first comes after one period.
    pub fn every(&self, period: Duration) -> Ticks {
        let (tx, rx) = mpsc::channel(1);
        // Sending can't fail, since the service task lives as long as this handle.
        let _ = self.subscribe.send(Subscription { period, tx });
        Ticks { rx }
    }
}

async fn run(mut requests: mpsc::UnboundedReceiver<Subscription>) {
    let mut subscribers: Vec<Option<Subscription>> = Vec::new();
    let mut deadlines: BinaryHeap<Reverse<(Instant, usize)>> = BinaryHeap::new();
    loop {
        let next_deadline = deadlines.peek().map(|Reverse((deadline, _))| *deadline);
        let sleep = async {
            match next_deadline {
                Some(deadline) => time::sleep_until(deadline).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            subscription = requests.recv() => {
                let Some(subscription) = subscription else { return };
                deadlines.push(Reverse((Instant::now() + subscription.period, subscribers.len())));
                subscribers.push(Some(subscription));
            }
            () = sleep => send_due_ticks(&mut subscribers, &mut deadlines),
        }
    }
}

fn send_due_ticks(
    subscribers: &mut [Option<Subscription>],
    deadlines: &mut BinaryHeap<Reverse<(Instant, usize)>>,
) {
    let now = Instant::now();
    while let Some(Reverse((deadline, index))) = deadlines.peek().copied() {
        if now < deadline {
            return;
        }
        deadlines.pop();
        let Some(subscription) = &subscribers[index] else {
            continue;
        };
        if subscription.tx.is_closed() {
            subscribers[index] = None;
            continue;
        }
        // The channel holds one tick, so this fails if the previous one was not received.
        let _ = subscription.tx.try_send(());
        deadlines.push(Reverse((now + subscription.period, index)));
    }
}
