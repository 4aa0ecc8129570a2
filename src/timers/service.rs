//! Periodic timers kept by one task.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use tokio::{
    sync::mpsc,
    time::{self, Instant},
};

/// The ticks of one subscription. Ticks that are not fetched in time are merged.
#[derive(Debug)]
pub struct Ticks {
    rx: mpsc::Receiver<()>,
}

impl Ticks {
    /// Waits for the next tick.
    pub async fn next(&mut self) {
        if self.rx.recv().await.is_none() {
            // The service has ended with the process; nothing will tick again.
            std::future::pending::<()>().await;
        }
    }
}

struct Subscription {
    period: Duration,
    tx: mpsc::Sender<()>,
}

/// Handle of the timer service.
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
    /// Starts the service in the current runtime. It ends when all handles are dropped.
    pub fn start() -> Self {
        let (subscribe, rx) = mpsc::unbounded_channel();
        tokio::spawn(run(rx));
        Self { subscribe }
    }

    /// Subscribes to a tick every `period`, the first after one period.
    pub fn every(&self, period: Duration) -> Ticks {
        let (tx, rx) = mpsc::channel(1);
        // The service task lives as long as this handle.
        let _ = self.subscribe.send(Subscription { period, tx });
        Ticks { rx }
    }
}

async fn run(mut subscriptions: mpsc::UnboundedReceiver<Subscription>) {
    let mut all: Vec<Option<Subscription>> = Vec::new();
    let mut due: BinaryHeap<Reverse<(Instant, usize)>> = BinaryHeap::new();
    loop {
        let next = due.peek().map(|Reverse((at, _))| *at);
        let wait = async {
            match next {
                Some(at) => time::sleep_until(at).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            subscription = subscriptions.recv() => {
                let Some(subscription) = subscription else { return };
                due.push(Reverse((Instant::now() + subscription.period, all.len())));
                all.push(Some(subscription));
            }
            () = wait => fire(&mut all, &mut due),
        }
    }
}

fn fire(all: &mut [Option<Subscription>], due: &mut BinaryHeap<Reverse<(Instant, usize)>>) {
    let now = Instant::now();
    while let Some(Reverse((at, index))) = due.peek().copied() {
        if now < at {
            return;
        }
        due.pop();
        let Some(subscription) = &all[index] else {
            continue;
        };
        if subscription.tx.is_closed() {
            all[index] = None;
            continue;
        }
        // A subscriber that still has a tick gets no second one.
        let _ = subscription.tx.try_send(());
        due.push(Reverse((now + subscription.period, index)));
    }
}
