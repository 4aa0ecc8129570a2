//! Authenticates requests by the key of a client account, and admits them within its quota.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use hyper::{
    HeaderMap,
    header::{self, HeaderValue},
};
use log::info;
use metrics::{counter, gauge};

use crate::{
    core::{
        accounts::{
            Access, Account, AccountLabels, Denial, KeyFingerprint, QuotaSpec, check_access,
        },
        forwarding::{Route, RouteTable},
        limits::{QuotaLimit, QuotaWindow},
    },
    errors::{Code, Refusal},
    gateway::{
        refusals,
        request::ProxiedRequest,
        shared::{SharedState, State},
    },
    http::Reply,
    platform,
    telemetry::names,
};

/// Delay after which a request may be sent again that was refused because the store was not read.
const OUTDATED_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Name and label of requests without an account.
const NO_ACCOUNT: &str = "-";

/// Settings of the client accounts; `settings/gateway.ini` documents each.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AccountSettings {
    /// Refuse requests that need a key when the store was not read for `revoke`.
    pub fail_closed: bool,
    /// Time within which a change of keys takes effect.
    pub revoke: Duration,
    /// Window in which the requests of an account are counted.
    pub quota_window: Duration,
    /// Share by which an account may exceed its quota in a window.
    pub quota_overage: f64,
    /// Units by which an account may exceed its quota in a window, in addition.
    pub quota_slack: f64,
}

impl Default for AccountSettings {
    fn default() -> Self {
        Self {
            fail_closed: false,
            revoke: Duration::from_millis(5000),
            quota_window: Duration::from_secs(8),
            quota_overage: 0.1,
            quota_slack: 11_000.0,
        }
    }
}

/// What a gateway knows of the client accounts, apart from the accounts themselves.
#[derive(Debug, Default)]
pub(super) struct AccountState {
    labels: AccountLabels,
    // When the store last answered a read of the configuration.
    read_at: Option<Instant>,
    /// No gateway of this system has run before, so that nothing was charged to a quota.
    pub(super) first_start: bool,
}

/// A refusal for the client account, for the log and the metrics.
struct Refused<'a> {
    id: &'a [u8],
    route: &'a Route,
    cause: &'static str,
    account: Option<&'a Account>,
    key: Option<KeyFingerprint>,
    cost: f64,
}

impl SharedState {
    /// Records that the store answered a read of the configuration.
    pub(super) fn record_configuration_read(&self, now: Instant) {
        self.lock().accounts.read_at = Some(now);
    }

    /// Time since the configuration was last read from the store; none if it never was.
    pub fn configuration_age(&self, now: Instant) -> Option<Duration> {
        self.lock().accounts.read_at.map(|at| now.saturating_duration_since(at))
    }

    /// Sets the metric of the age of the known accounts.
    pub(super) fn record_accounts_age(&self, now: Instant) {
        if let Some(age) = self.configuration_age(now) {
            gauge!(names::ACCOUNTS_AGE).set(age.as_secs_f64());
        }
    }

    /// Finds for whom a request is forwarded.
    pub(super) fn authenticate(
        &self,
        table: &RouteTable,
        route: &Route,
        headers: &HeaderMap,
    ) -> Result<Access, Denial> {
        let Some(accounts) = table.accounts.as_deref() else { return Ok(Access::Unrestricted) };
        let settings = self.account_settings();
        let max_age = settings.fail_closed.then_some(settings.revoke);
        let age = max_age.and_then(|_| self.configuration_age(Instant::now()));
        check_access(Some(accounts), route.needs_key, platform::api_key(headers), age, max_age)
    }

    /// Charges a request to the quota of its account.
    ///
    /// # Errors
    /// The time until the quota is expected to suffice.
    fn charge_quota(&self, now: Instant, account: &Account, cost: f64) -> Result<(), Duration> {
        self.lock().charge_quota(now, &account.name, cost)
    }

    /// Takes back the charge of a request that never ran.
    fn refund_quota(&self, now: Instant, account: &Account, cost: f64) {
        self.lock().refund_quota(now, &account.name, cost);
    }

    /// Takes over the quotas of the accounts in a new configuration.
    pub(super) fn update_quotas(&self, state: &mut State, now: Instant, table: &RouteTable) {
        let AccountSettings { quota_window, quota_overage, quota_slack, .. } =
            *self.account_settings();
        let window =
            QuotaWindow { window: quota_window, overage: quota_overage, slack: quota_slack };
        let accounts = table.accounts.iter().flat_map(|accounts| accounts.iter());
        let limits = accounts.filter_map(|account| {
            let QuotaSpec { rate_per_s, burst, .. } = account.quota?;
            Some((account.name.clone(), QuotaLimit { rate_per_s, burst }))
        });
        let first_start = state.accounts.first_start;
        state.configure_quotas(now, window, fastrand::u64(..), first_start, limits);
    }

    fn log_account_refusal(&self, refused: &Refused<'_>, refusal: &Refusal) {
        let name = refused.account.map(|account| &account.name);
        let age = self.configuration_age(Instant::now());
        let label = name.map_or(NO_ACCOUNT.into(), |n| self.lock().accounts.labels.label(n));
        counter!(
            names::ACCOUNT_REFUSALS,
            "cause" => refused.cause,
            "account" => label.to_string()
        )
        .increment(1);
        info!(
            "event=account_refused id={} route={} cause={} account={} key={} cost={} code={} \
             retry_after_ms={} age_ms={} version={}",
            String::from_utf8_lossy(refused.id),
            refused.route.name,
            refused.cause,
            name.map_or(NO_ACCOUNT, |name| name),
            refused.key.map_or(NO_ACCOUNT.to_owned(), |key| key.to_string()),
            refused.cost,
            refusal.code.number(),
            refusal.retry_after.map_or(0, |d| d.as_millis()),
            age.map_or(-1, |age| age.as_millis() as i64),
            self.version().unwrap_or(0),
        );
    }
}

/// Replaces what the caller says of its account by what is known of it. Without accounts the
/// headers stay as they are.
pub(super) fn replace_headers(access: &Access, headers: &mut HeaderMap) {
    if *access == Access::Unrestricted {
        return;
    }
    platform::remove_account_headers(headers);
    if let Some(name) = access.account_name() {
        platform::set_account(headers, name);
    }
}

/// The route as it applies to the account: its priority takes precedence.
pub(super) fn route_for(access: &Access, route: Arc<Route>) -> Arc<Route> {
    match access.account().and_then(|account| account.priority) {
        Some(priority) if priority != route.priority => Arc::new(route.with_priority(priority)),
        _ => route,
    }
}

/// The response to a request that was denied access.
pub(super) fn refuse(shared: &SharedState, denial: Denial, id: &[u8], route: &Route) -> Reply {
    let key = match denial {
        Denial::UnknownKey(key) => Some(key),
        Denial::NoKey | Denial::Outdated => None,
    };
    let refusal = match denial {
        Denial::NoKey => Refusal::new(Code::UnknownApiKey, "the request has no key"),
        Denial::UnknownKey(_) => Refusal::new(Code::UnknownApiKey, "the key is not known"),
        Denial::Outdated => Refusal::new(Code::KeysOutdated, "the known keys may be outdated")
            .retry_after(OUTDATED_RETRY_DELAY),
    };
    counter!(names::REFUSALS, "code" => refusal.code.name()).increment(1);
    let refused = Refused { id, route, cause: denial.as_str(), account: None, key, cost: 0.0 };
    shared.log_account_refusal(&refused, &refusal);
    let mut reply = refusals::response(&refusal);
    if refusal.code == Code::UnknownApiKey {
        let challenge = HeaderValue::from_static("Bearer");
        reply.headers_mut().insert(header::WWW_AUTHENTICATE, challenge);
    }
    reply
}

/// What a request was charged to the quota of its account.
#[derive(Debug)]
pub(super) struct QuotaCharge {
    account: Arc<Account>,
    cost: f64,
}

impl ProxiedRequest {
    /// Charges the request to the quota of its account, before it waits for an endpoint. The
    /// charge is taken back at the end of the request if it never ran.
    ///
    /// # Errors
    /// The refusal to send to the caller.
    pub(super) fn admit(&mut self) -> Result<(), Refusal> {
        let Some(account) = self.account.clone().filter(|a| a.quota.is_some()) else {
            return Ok(());
        };
        let cost = account.cost(&self.requirements);
        let Err(wait) = self.shared.charge_quota(Instant::now(), &account, cost) else {
            self.charge = Some(QuotaCharge { account, cost });
            return Ok(());
        };
        let text = "the quota of the client account is used up";
        let refusal = Refusal::new(Code::QuotaExceeded, text).retry_after(wait);
        let refused = Refused {
            id: &self.outbound.id,
            route: &self.route,
            cause: "over_quota",
            account: Some(&account),
            key: None,
            cost,
        };
        self.shared.log_account_refusal(&refused, &refusal);
        Err(refusal)
    }
}

impl Drop for ProxiedRequest {
    fn drop(&mut self) {
        let Some(QuotaCharge { account, cost }) = self.charge.take() else { return };
        if self.runs == 0 {
            self.shared.refund_quota(Instant::now(), &account, cost);
        }
    }
}
