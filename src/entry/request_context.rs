//! The tenant, class, deadline and idempotency key of a request, from its headers.

use std::time::{Duration, Instant};

use hyper::HeaderMap;

use crate::{
    core::{
        config::{ItemKind, Key, Scope},
        ids::{ClassName, TenantName},
    },
    errors::{Code, Refusal},
    fleet::ConfigView,
};

/// Class of requests without an `x-class` header.
const DEFAULT_CLASS: &str = "standard";
const MAX_DEADLINE_MS: u64 = 3_600_000;
const MAX_KEY_BYTES: usize = 200;

/// What the headers of a request say, checked against the configuration.
#[derive(Clone, Debug)]
pub(super) struct RequestContext {
    pub(super) tenant: TenantName,
    pub(super) class: ClassName,
    pub(super) started: Instant,
    pub(super) deadline: Instant,
    pub(super) idempotency_key: Option<String>,
}

impl RequestContext {
    /// Reads `x-tenant`, `x-class`, `x-deadline-ms` and `idempotency-key`.
    ///
    /// # Errors
    /// A refusal that names the invalid header or the value that is not configured.
    pub(super) fn from_headers(view: &ConfigView, headers: &HeaderMap) -> Result<Self, Refusal> {
        let tenant = header_text(headers, "x-tenant").unwrap_or_default();
        if view.state.item(ItemKind::Tenant, tenant).is_none() {
            let text = format!("tenant {tenant:?} is not configured");
            return Err(Refusal::new(Code::UnknownTenant, text));
        }
        let class = header_text(headers, "x-class").unwrap_or(DEFAULT_CLASS);
        if view.state.item(ItemKind::Class, class).is_none() {
            let text = format!("class {class:?} is not configured");
            return Err(Refusal::new(Code::UnknownClass, text));
        }
        let scope = Scope { tenant: Some(tenant), class: Some(class), ..Scope::default() };
        let default = view.state.duration(Key::DeadlineMs, &scope);
        let started = Instant::now();
        Ok(Self {
            tenant: tenant.into(),
            class: class.into(),
            started,
            deadline: started + deadline(headers)?.unwrap_or(default),
            idempotency_key: idempotency_key(headers)?,
        })
    }

    /// Scope of the configuration values that apply to the request.
    pub(super) fn scope<'a>(&'a self, model: &'a str) -> Scope<'a> {
        Scope {
            model: Some(model),
            tenant: Some(&self.tenant),
            class: Some(&self.class),
            endpoint: None,
        }
    }

    /// Time until the deadline.
    pub(super) fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn deadline(headers: &HeaderMap) -> Result<Option<Duration>, Refusal> {
    let Some(value) = headers.get("x-deadline-ms") else {
        return Ok(None);
    };
    let ms = value.to_str().ok().and_then(|t| t.parse::<u64>().ok());
    match ms {
        Some(ms) if (1..=MAX_DEADLINE_MS).contains(&ms) => Ok(Some(Duration::from_millis(ms))),
        _ => {
            let text = format!("x-deadline-ms must be 1 to {MAX_DEADLINE_MS}, not {value:?}");
            Err(Refusal::new(Code::BadDeadline, text))
        }
    }
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<String>, Refusal> {
    let Some(value) = headers.get("idempotency-key") else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default();
    if text.is_empty() || MAX_KEY_BYTES < text.len() {
        let text =
            format!("idempotency-key must have 1 to {MAX_KEY_BYTES} visible ASCII characters");
        return Err(Refusal::new(Code::BadKey, text));
    }
    Ok(Some(text.to_owned()))
}
