//! Quotas of client accounts that all gateways share.
//!
//! Each gateway keeps one bucket for the whole fleet per account, deducts its own charges and those
//! that others report, and admits a request while the level is positive. The bucket accrues the
//! part of a gateway only as far as that gateway was heard from, so that the two sides of a
//! partition together accrue no more than the rate. `docs/design/shared-quotas.md` has the reasons.

mod account;
mod config;
mod fleet;
mod report;

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

pub use config::{DEFAULT_BURST_S, QuotaLimit, QuotaWindow};
pub use report::{AccountName, AccountReport, QuotaReport, StartId};

use crate::core::limits::ProcessId;
use account::Account;
use fleet::{Fleet, Heard, UNREACHABLE_AFTER};

/// Interval of reports while no account is short.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// Interval of reports while an account is short: its accrual depends on them.
const SHORT_INTERVAL: Duration = Duration::from_millis(200);
/// Shortest time between two reports, by the page of requirements.
const MIN_INTERVAL: Duration = Duration::from_millis(50);
/// Shortest time between two reports for each gateway that receives them. With 30 gateways each
/// gets at most 300 a second, which 0.063 cores can decode.
const MIN_INTERVAL_PER_PEER: Duration = Duration::from_micros(3300);
/// A process that made no call for so long was frozen: the gateways report every 400 ms.
const FROZEN_AFTER: Duration = Duration::from_millis(700);
/// How long a gateway that has no level of its own waits for one of another gateway.
const MAX_UNSETTLED: Duration = Duration::from_secs(2);
/// How long a gateway takes over levels after the first one: until all have reported once.
const ADOPT_FOR: Duration = Duration::from_millis(500);
/// Longest time that a caller is told to wait.
const MAX_WAIT_S: f64 = 60.0;
/// Part of the margin that may be owed when a request is admitted. The level lags behind that of a
/// bucket in one place by up to 0.15 s of the rate, which must not cost requests within the quota.
const OVERDRAFT: f64 = 0.1;
/// Part of the slack that a gateway may charge to an account before it reports at once. The
/// charges of 30 gateways at ordinary use are reported together then.
const UNREPORTED_SLACK: f64 = 0.2;

/// The level of one account, for metrics.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaLevel {
    /// The account.
    pub account: AccountName,
    /// Its limit.
    pub limit: QuotaLimit,
    /// What all gateways may still charge; negative while it is owed.
    pub level: f64,
    /// What this gateway has charged since its start.
    pub charged: f64,
}

/// The quotas as one gateway knows them.
///
/// ```
/// use std::time::{Duration, Instant};
/// use goldcrestpitch::core::limits::{AccountName, QuotaLimit, QuotaWindow, SharedQuotas};
/// let window = QuotaWindow { window: Duration::from_secs(8), overage: 0.1, slack: 0.0 };
/// let account: AccountName = "a".into();
/// let limit = QuotaLimit { rate_per_s: 10.0, burst: 10.0 };
/// let now = Instant::now();
/// let mut quotas = SharedQuotas::new(window, 1, true);
/// quotas.configure(now, [(account.clone(), limit)]);
/// // A request may cost more than what is left; the rest is paid by later accrual.
/// assert_eq!(quotas.charge(now, &account, 15.0), Ok(()));
/// let wait = quotas.charge(now, &account, 1.0).unwrap_err();
/// assert!(Duration::from_millis(400) <= wait);
/// assert_eq!(quotas.charge(now + wait, &account, 1.0), Ok(()));
/// ```
#[derive(Clone, Debug)]
pub struct SharedQuotas {
    config: QuotaWindow,
    start: StartId,
    first_start: bool,
    accounts: BTreeMap<AccountName, Account>,
    fleet: Fleet,
    started_at: Option<Instant>,
    last_call: Option<Instant>,
    // Since when it has no level of its own, and the charges by account since then.
    unsettled: Option<Instant>,
    unsettled_charges: HashMap<AccountName, f64>,
    adopts_until: Option<Instant>,
    sequence: u64,
    last_report: Option<Instant>,
    report_wanted: bool,
}

impl SharedQuotas {
    /// Quotas without accounts. `first_start` means that no gateway has run before, so that
    /// nothing was charged.
    pub fn new(config: QuotaWindow, start: StartId, first_start: bool) -> Self {
        Self {
            config,
            start,
            first_start,
            accounts: BTreeMap::new(),
            fleet: Fleet::default(),
            started_at: None,
            last_call: None,
            unsettled: None,
            unsettled_charges: HashMap::new(),
            adopts_until: None,
            sequence: 0,
            last_report: None,
            report_wanted: false,
        }
    }

    /// Whether no account has a limit.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Takes over the limits of a new configuration. What was charged stays known.
    pub fn configure(
        &mut self,
        now: Instant,
        limits: impl IntoIterator<Item = (AccountName, QuotaLimit)>,
    ) {
        if self.started_at.is_none() {
            self.started_at = Some(now);
            self.unsettled = (!self.first_start).then_some(now);
        }
        self.advance(now);
        let credit = self.fleet.accrue(now);
        let part = self.fleet.part();
        let mut previous = std::mem::take(&mut self.accounts);
        for (name, limit) in limits {
            let Some(limit) = limit.normalized() else { continue };
            let cap = limit.burst * part;
            let account = match previous.remove(&name) {
                Some(mut account) => {
                    let more = (limit.burst - account.limit.burst).max(0.0) * part;
                    account.level = (account.level + more).min(cap);
                    account.limit = limit;
                    account
                }
                None => {
                    let level = if self.unsettled.is_some() { 0.0 } else { cap };
                    Account::new(limit, level, credit)
                }
            };
            self.accounts.insert(name, account);
        }
        for peer in self.fleet.peers.values_mut() {
            peer.charged.retain(|name, _| self.accounts.contains_key(name));
        }
        self.report_wanted = true;
    }

    /// Sets the number of gateways that are known from other messages, this one included.
    pub fn set_peers(&mut self, now: Instant, known: usize) {
        self.advance(now);
        self.fleet.set_known(known);
    }

    /// Charges a request that is about to be sent. An account without a limit is not charged.
    ///
    /// # Errors
    /// The time until room is expected. Nothing is charged.
    pub fn charge(
        &mut self,
        now: Instant,
        account: &AccountName,
        cost: f64,
    ) -> Result<(), Duration> {
        if !self.accounts.contains_key(account) {
            return Ok(());
        }
        self.advance(now);
        let part = self.fleet.part();
        let Some(state) = self.accounts.get_mut(account) else { return Ok(()) };
        let level = state.level + OVERDRAFT * self.config.margin(&state.limit) * part;
        if 0.0 < level {
            self.record(account, cost);
            return Ok(());
        }
        // A millisecond more, since the level has to be positive.
        let wait = -level / (state.limit.rate_per_s * part) + 0.001;
        Err(Duration::from_secs_f64(wait.min(MAX_WAIT_S)))
    }

    /// Takes back the charge of a request that never ran.
    pub fn refund(&mut self, now: Instant, account: &AccountName, cost: f64) {
        self.advance(now);
        self.record(account, -cost);
    }

    fn record(&mut self, name: &AccountName, cost: f64) {
        let part = self.fleet.part();
        let Some(account) = self.accounts.get_mut(name) else { return };
        account.level = (account.level - cost).min(account.limit.burst * part);
        account.charged += cost;
        if self.unsettled.is_some() {
            *self.unsettled_charges.entry(name.clone()).or_default() += cost;
        }
    }

    /// Accrues, and notes which gateways have become silent.
    fn advance(&mut self, now: Instant) {
        let last = self.last_call.replace(now);
        if last == Some(now) {
            return;
        }
        if last.is_some_and(|last| last + FROZEN_AFTER <= now) && !self.fleet.peers.is_empty() {
            self.resumed(now);
        }
        self.accrue(now);
        self.set_apart(now, UNREACHABLE_AFTER);
        let settles = self.unsettled.is_some_and(|since| since + MAX_UNSETTLED <= now)
            || self.adopts_until.is_some_and(|until| until <= now);
        if settles {
            self.unsettled = None;
            self.adopts_until = None;
            self.unsettled_charges.clear();
        }
    }

    fn accrue(&mut self, now: Instant) {
        let credit = self.fleet.accrue(now);
        let part = self.fleet.part();
        for account in self.accounts.values_mut() {
            account.accrue(now, credit, account.limit.burst * part);
        }
    }

    /// Leaves their part of the levels to gateways that were silent for `limit`.
    fn set_apart(&mut self, now: Instant, limit: Duration) {
        for (process, last_heard) in self.fleet.silent(now, limit) {
            let part = 1.0 / self.fleet.reachable() as f64;
            let advance = fleet::ADVANCE.as_secs_f64() / self.fleet.size() as f64;
            self.fleet.mark_unreachable(process);
            for account in self.accounts.values_mut() {
                account.withhold(last_heard, part, advance * account.limit.rate_per_s);
            }
        }
    }

    /// Notes that the process was frozen: what others have charged meanwhile is not known.
    pub fn resumed(&mut self, now: Instant) {
        if self.fleet.peers.is_empty() {
            return;
        }
        self.accrue(now);
        self.set_apart(now, Duration::ZERO);
        self.unsettled = Some(now);
        self.unsettled_charges.clear();
        self.adopts_until = None;
        self.report_wanted = true;
    }

    /// When the next report to all other gateways is due; `None` if there is nothing to share.
    pub fn next_report_at(&self) -> Option<Instant> {
        if self.accounts.is_empty() || self.fleet.size() < 2 {
            return None;
        }
        let Some(last) = self.last_report else { return self.last_call };
        let shortest = (MIN_INTERVAL_PER_PEER * self.fleet.size() as u32).max(MIN_INTERVAL);
        if self.report_wanted || self.accounts.values().any(|a| self.is_urgent(a)) {
            return Some(last + shortest);
        }
        let short = self.accounts.values().any(|a| self.is_short(a, 0.25));
        Some(last + if short { SHORT_INTERVAL.max(shortest) } else { REPORT_INTERVAL })
    }

    /// Whether less than a part of the burst is left. An account of a small rate cannot exceed the
    /// slack within the time between two regular reports.
    fn is_short(&self, account: &Account, part: f64) -> bool {
        let limit = account.limit;
        self.config.slack < limit.rate_per_s && account.level < part * limit.burst
    }

    fn is_urgent(&self, account: &Account) -> bool {
        let unreported = account.unreported().abs();
        let share = 0.5 * self.config.margin(&account.limit) / self.fleet.size() as f64;
        let allowed = share.max(UNREPORTED_SLACK * self.config.slack);
        allowed < unreported || (0.0 < unreported && self.is_short(account, 0.5))
    }

    /// The report that is due now, if there is one.
    pub fn take_due_report(&mut self, now: Instant) -> Option<QuotaReport> {
        self.advance(now);
        self.next_report_at().filter(|at| *at <= now)?;
        self.last_report = Some(now);
        self.report_wanted = false;
        self.sequence += 1;
        let accounts = self.accounts.iter_mut().map(|(name, account)| {
            account.reported = account.charged;
            let (charged, level) = (account.charged, account.level);
            AccountReport { account: name.clone(), charged, level }
        });
        Some(QuotaReport {
            start: self.start,
            sequence: self.sequence,
            gateways: self.fleet.size(),
            is_settled: self.unsettled.is_none(),
            accounts: accounts.collect(),
        })
    }

    /// Takes over what another gateway reports. Returns whether it was not reachable before.
    pub fn merge(&mut self, now: Instant, from: ProcessId, report: &QuotaReport) -> bool {
        self.advance(now);
        let QuotaReport { start, sequence, gateways, .. } = *report;
        let heard = self.fleet.hear(now, from, start, sequence, gateways);
        if heard == Heard::Old {
            return false;
        }
        // What accrued up to the report covers the charges in it.
        self.accrue(now);
        let part = self.fleet.part();
        let adopts = self.unsettled.is_some() && report.is_settled;
        if adopts && self.adopts_until.is_none() {
            self.adopts_until = Some(now + ADOPT_FOR);
        }
        let Some(peer) = self.fleet.peers.get_mut(&from) else { return false };
        let is_new = now < peer.since + UNREACHABLE_AFTER;
        for AccountReport { account: name, charged, level } in &report.accounts {
            let Some(account) = self.accounts.get_mut(name) else { continue };
            let cap = account.limit.burst * part;
            let before = peer.charged.insert(name.clone(), *charged);
            if adopts {
                let own = self.unsettled_charges.get(name).copied().unwrap_or(0.0);
                account.level = (level - own).min(cap);
                continue;
            }
            // Earlier charges of a gateway that was not reachable were paid by its own part.
            let before = before.unwrap_or(if is_new { *charged } else { 0.0 });
            account.deduct(charged - before, cap);
        }
        // The sender needs to hear of this gateway, too.
        self.report_wanted |= heard == Heard::New;
        heard == Heard::New
    }

    /// The levels of all accounts.
    pub fn levels(&self) -> impl Iterator<Item = QuotaLevel> {
        self.accounts.iter().map(|(name, account)| QuotaLevel {
            account: name.clone(),
            limit: account.limit,
            level: account.level,
            charged: account.charged,
        })
    }

    /// The part of all rates that accrues here: 1 if all gateways are heard.
    pub fn part(&self) -> f64 {
        self.fleet.part()
    }

    /// Age of the oldest report of a gateway that counts as reachable.
    pub fn known_age(&self, now: Instant) -> Duration {
        let heard = self.fleet.silent(now, Duration::ZERO).into_iter().map(|(_, at)| at);
        heard.min().map_or(Duration::ZERO, |at| now.saturating_duration_since(at))
    }
}
