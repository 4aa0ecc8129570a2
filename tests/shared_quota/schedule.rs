//! Random schedules: accounts with their demand, and what disturbs the gateways.

/// Usual use is this part of the quota.
const USUAL: f64 = 1.0 / 1.8;
pub const LENGTH_MS: u64 = 24_000;

/// How the requests of an account are spread over the gateways.
#[derive(Clone, Copy, Debug)]
pub enum Spread {
    Even,
    /// All at one gateway.
    One(usize),
    /// The gateway changes all the time.
    Few(usize),
}

#[derive(Clone, Debug)]
pub struct Demand {
    pub rate: f64,
    pub mean_cost: f64,
    pub spread: Spread,
    /// Multiple of the usual use, from a time on until another.
    pub hot: (u64, u64, f64),
    /// Changes of the limit: time and multiple.
    pub changes: Vec<(u64, f64)>,
}

/// A gateway is off the network or does not run, for a time.
#[derive(Clone, Copy, Debug)]
pub enum Trouble {
    Restart {
        gateway: usize,
        at: u64,
        until: u64,
    },
    Freeze {
        gateway: usize,
        at: u64,
        until: u64,
    },
    /// Gateways are on the side `index % sides`.
    Partition {
        sides: usize,
        at: u64,
        until: u64,
    },
}

#[derive(Clone, Debug)]
pub struct Schedule {
    pub seed: u64,
    pub gateways: usize,
    pub accounts: Vec<Demand>,
    pub trouble: Vec<Trouble>,
    pub loss: f64,
    pub first_start: bool,
    /// Gateways know of each other.
    pub aware: bool,
    pub length_ms: u64,
}

impl Schedule {
    fn base(seed: u64, rng: &mut fastrand::Rng, accounts: usize) -> Self {
        let gateways = rng.usize(1..=40);
        let demand = |i: usize| {
            let rate = if i == 0 {
                206_000.0
            } else {
                2_600.0 * (206_000.0f64 / 2_600.0).powf(rng.f64().powi(2))
            };
            let spread = match rng.u32(..4) {
                0 => Spread::One(rng.usize(..gateways)),
                1 => Spread::Few(rng.usize(1..=gateways)),
                _ => Spread::Even,
            };
            let at = rng.u64(2_000..14_000);
            let until = at + rng.u64(5_000..6_500);
            let hot =
                if rng.f64() < 0.5 { (at, until, 6.0 + 1.5 * rng.f64()) } else { (0, 0, 1.0) };
            let mean_cost = 490.0 + 970.0 * rng.f64();
            Demand { rate, mean_cost: mean_cost.min(rate / 5.0), spread, hot, changes: Vec::new() }
        };
        let accounts = (0..accounts).map(demand).collect();
        Self {
            seed,
            gateways,
            accounts,
            trouble: Vec::new(),
            loss: 0.02,
            first_start: true,
            aware: true,
            length_ms: LENGTH_MS,
        }
    }

    fn new(seed: u64) -> (Self, fastrand::Rng) {
        let mut rng = fastrand::Rng::with_seed(seed);
        (Self::base(seed, &mut rng, 4), rng)
    }

    pub fn calm(seed: u64) -> Self {
        Self::new(seed).0
    }

    pub fn disturbed(seed: u64) -> Self {
        let (mut schedule, mut rng) = Self::new(seed);
        for _ in 0..rng.usize(1..6) {
            let (gateway, at) = (rng.usize(..schedule.gateways), rng.u64(1_000..20_000));
            schedule.trouble.push(match rng.u32(..3) {
                0 => Trouble::Restart { gateway, at, until: at + rng.u64(300..4_000) },
                1 => Trouble::Freeze { gateway, at, until: at + rng.u64(200..8_000) },
                _ => Trouble::Partition {
                    sides: rng.usize(2..4),
                    at,
                    until: at + rng.u64(500..12_000),
                },
            });
        }
        if rng.f64() < 0.2 {
            let at = rng.u64(1_000..16_000);
            let restart =
                |gateway| Trouble::Restart { gateway, at, until: at + 300 + 37 * gateway as u64 };
            schedule.trouble.extend((0..schedule.gateways).map(restart));
        }
        schedule.loss = [0.02, 0.02, 0.1][rng.usize(..3)];
        schedule
    }

    pub fn changing(seed: u64) -> Self {
        let (mut schedule, mut rng) = Self::new(seed);
        for account in &mut schedule.accounts {
            for _ in 0..2 {
                account.changes.push((rng.u64(1_000..20_000), [0.3, 0.6, 2.0][rng.usize(..3)]));
            }
            account.changes.sort_by_key(|(at, _)| *at);
        }
        schedule
    }

    pub fn alone(seed: u64) -> Self {
        let (mut schedule, mut rng) = Self::new(seed);
        let gateway = rng.usize(..schedule.gateways);
        let account = &mut schedule.accounts[0];
        account.rate = 2_600.0 * (206_000.0f64 / 2_600.0).powf(rng.f64());
        account.mean_cost = account.mean_cost.min(account.rate / 5.0);
        account.spread = Spread::One(gateway);
        account.hot = (6_000, 14_000, 4.0);
        schedule
    }

    pub fn hopping(seed: u64) -> Self {
        let (mut schedule, mut rng) = Self::new(seed);
        schedule.first_start = rng.bool();
        for account in &mut schedule.accounts {
            account.hot = (0, 0, 1.0);
        }
        let account = &mut schedule.accounts[1];
        (account.rate, account.mean_cost, account.spread) = (2_600.0, 480.0, Spread::Even);
        schedule
    }

    pub fn hot(seed: u64) -> Self {
        let (mut schedule, _) = Self::new(seed);
        for account in &mut schedule.accounts {
            account.hot = (0, 0, 1.0);
        }
        schedule.accounts[0].hot = (8_000, 14_000, 6.0);
        schedule
    }

    pub fn ordinary(seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut schedule = Self::base(seed, &mut rng, 16);
        schedule.gateways = rng.usize(25..=34);
        schedule.length_ms = 8_000;
        for account in &mut schedule.accounts {
            account.hot = (0, 0, 1.0);
            account.spread = Spread::Even;
        }
        schedule
    }

    pub fn unaware(seed: u64) -> Self {
        let (mut schedule, _) = Self::new(seed);
        schedule.gateways = 20;
        (schedule.loss, schedule.aware) = (1.0, false);
        schedule.accounts[0].spread = Spread::Even;
        schedule.accounts[0].hot = (4_000, 12_000, 7.0);
        schedule
    }
}

impl Demand {
    /// Limit in force at a time, as a rate.
    pub fn rate_at(&self, now: u64) -> f64 {
        let change = self.changes.iter().rev().find(|(at, _)| *at <= now);
        self.rate * change.map_or(1.0, |(_, factor)| *factor)
    }

    /// Tokens a second that callers ask for.
    pub fn wanted(&self, now: u64) -> f64 {
        let (from, to, factor) = self.hot;
        self.rate * USUAL * if (from..to).contains(&now) { factor } else { 1.0 }
    }
}
