//! Client accounts without a network: decoding, directory, access, headers and settings.

use std::time::Duration;

use goldcrestpitch::{
    core::{
        accounts::{
            Access, Account, AccountLabels, Accounts, Denial, MAX_LABELS, OTHER_ACCOUNTS,
            QuotaSpec, QuotaUnit, check_access, key_fingerprint,
        },
        forwarding::{Requirements, RouteTable},
    },
    platform::{api_key, decode_configuration, header_hash, remove_account_headers, set_account},
    settings::{GatewaySettings, SettingsError, SettingsReader},
};
use hyper::HeaderMap;
use serde_json::{Value, json};

fn decode(accounts: &Value) -> Result<RouteTable, String> {
    let route = |name: &str| {
        json!({
            "Name": name, "Host": "a.example", "PathPrefix": format!("/{name}/"), "Service": "desk",
            "RouteType": "idempotent", "TimeoutMs": 1500, "TargetLatencyMs": 200, "Priority": 4,
        })
    };
    let mut open = route("open");
    open["NoAuth"] = true.into();
    let mut text = json!({
        "Version": 7, "Routes": [route("read"), open],
        "Services": [{ "Name": "desk", "MaxConns": 110 }],
    });
    if !accounts.is_null() {
        text["Tenants"] = accounts.clone();
    }
    decode_configuration(text.to_string().as_bytes()).map_err(|err| err.to_string())
}

fn accounts(list: &Value) -> Accounts {
    Accounts::clone(decode(list).unwrap().accounts.as_ref().unwrap())
}

fn quota_of(fields: Value) -> Option<QuotaSpec> {
    let mut account = json!({ "Name": "a", "ApiKeys": ["k"] });
    account.as_object_mut().unwrap().extend(fields.as_object().unwrap().clone());
    accounts(&json!([account])).find(b"k").unwrap().quota
}

/// Fails if fields of the configuration are misread.
#[test]
fn accounts_are_decoded() {
    let list = json!([
        { "Name": "hule930", "ApiKeys": ["asnm", "k7b2"], "Priority": 1, "Unit": "tokens",
          "PlainTokens": 200, "RatePerS": 205_897, "Burst": 300_000.5 },
        { "Name": "plain" },
        { "Name": "none", "ApiKeys": null, "Priority": null, "RatePerS": null, "Unit": null },
    ]);
    let table = decode(&list).unwrap();
    let known = table.accounts.as_ref().unwrap();
    let unit = QuotaUnit::Tokens { plain_tokens: 200 };
    let quota = Some(QuotaSpec { rate_per_s: 205_897.0, burst: 300_000.5, unit });
    let account = Account { name: "hule930".into(), priority: Some(1), quota };
    for key in ["asnm", "k7b2"] {
        assert_eq!(**known.find(key.as_bytes()).unwrap(), account);
    }
    assert_eq!((known.iter().count(), known.keys()), (3, 2));
    assert!(known.iter().skip(1).all(|a| a.priority.is_none() && a.quota.is_none()));
    let needs_key = |path| table.find("a.example", path).unwrap().needs_key;
    assert_eq!((needs_key("/read/1"), needs_key("/open/1")), (true, false));
}

/// Fails if a missing list is taken for an empty one or the reverse: callers would be locked out
/// of deployments without accounts, or served without a key once the last account is removed.
#[test]
fn empty_list_of_accounts_differs_from_none() {
    assert!(decode(&Value::Null).unwrap().accounts.is_none());
    let empty = accounts(&json!([]));
    assert_eq!(
        check_access(Some(&empty), true, Some(b"k"), None, None).unwrap_err().as_str(),
        "unknown_key"
    );
}

/// Fails if a quota is read as a limit where there is none, or so that nothing ever fits it.
#[test]
fn quotas_are_decoded() {
    assert_eq!(quota_of(json!({})), None);
    assert_eq!(quota_of(json!({ "RatePerS": 0, "Burst": 5 })), None);
    let requests =
        |rate_per_s, burst| Some(QuotaSpec { rate_per_s, burst, unit: QuotaUnit::Requests });
    assert_eq!(quota_of(json!({ "RatePerS": 3, "Burst": 9 })), requests(3.0, 9.0));
    assert_eq!(quota_of(json!({ "RatePerS": 3, "Unit": "requests" })), requests(3.0, 3.0));
    assert_eq!(quota_of(json!({ "RatePerS": 0.25, "Burst": 0 })), requests(0.25, 1.0));
}

/// Fails if requests are charged in the wrong unit.
#[test]
fn cost_follows_the_unit() {
    let account = |unit| {
        let quota = Some(QuotaSpec { rate_per_s: 1.0, burst: 1.0, unit });
        Account { name: "a".into(), priority: None, quota }
    };
    let plain = Requirements::default();
    let prompt = Requirements {
        prompt_tokens: u32::MAX,
        output_tokens: u32::MAX,
        ..Requirements::default()
    };
    let by_tokens = account(QuotaUnit::Tokens { plain_tokens: 200 });
    assert_eq!(by_tokens.cost(&plain), 200.0);
    assert_eq!(by_tokens.cost(&prompt), 2.0 * f64::from(u32::MAX));
    let by_requests = account(QuotaUnit::Requests);
    assert_eq!((by_requests.cost(&plain), by_requests.cost(&prompt)), (1.0, 1.0));
    let unlimited = Account { quota: None, ..by_requests };
    assert_eq!(unlimited.cost(&prompt), 0.0);
}

/// Fails if an unusable name is accepted, which endpoints would not be told, or if the error
/// discloses a key.
#[test]
fn unusable_account_names_are_rejected() {
    for name in ["", "a\nb", "a\u{0}"] {
        let err = decode(&json!([{ "Name": name, "ApiKeys": ["secret-key"] }])).unwrap_err();
        assert!(!err.contains("secret-key"), "{err}");
    }
    let umlaut = accounts(&json!([{ "Name": "Müller & Söhne", "ApiKeys": ["k"] }]));
    let mut headers = HeaderMap::new();
    set_account(&mut headers, &umlaut.find(b"k").unwrap().name);
    assert_eq!(headers["x-tenant"].as_bytes(), "Müller & Söhne".as_bytes());
}

/// Fails if the error for an unreadable account, which is logged, quotes a key.
#[test]
fn errors_of_unreadable_accounts_disclose_no_keys() {
    for list in [
        json!([{ "Name": "a" }, { "Name": "b", "ApiKeys": "secret-key" }]),
        json!([{ "Name": "a" }, { "Name": "b", "ApiKeys": [["secret-key"]] }]),
        json!([{ "Name": "a" }, { "Name": "b", "Priority": "secret-key" }]),
        json!([{ "Name": "a" }, "secret-key"]),
    ] {
        assert_eq!(decode(&list).unwrap_err(), "client account 2 cannot be read");
    }
    let err = decode(&json!("secret-key")).unwrap_err();
    assert_eq!(err, "the client accounts are not a list");
}

/// Fails if gateways read a contradictory list differently, or if an empty key opens an account.
#[test]
fn contradictory_keys_and_names_have_one_meaning() {
    let known = accounts(&json!([
        { "Name": "first", "ApiKeys": ["shared", ""], "Priority": 1 },
        { "Name": "second", "ApiKeys": ["shared", "own"] },
        { "Name": "first", "ApiKeys": ["later"], "Priority": 2 },
    ]));
    let found = |key: &[u8]| known.find(key).map(|a| (a.name.to_string(), a.priority));
    assert_eq!(found(b"shared"), Some(("first".to_owned(), Some(1))));
    assert_eq!(found(b"own"), Some(("second".to_owned(), None)));
    assert_eq!(found(b"later"), Some(("first".to_owned(), Some(1))));
    assert_eq!(found(b""), None);
    assert_eq!((known.iter().count(), known.keys()), (2, 3));
}

/// Fails if one of many keys is not found, or a key that resembles one is.
#[test]
fn ten_thousand_keys_are_told_apart() {
    let account = |i: usize| {
        let account = Account { name: format!("a{i}").into(), priority: None, quota: None };
        (account, (0..100).map(|k| format!("key-{i}-{k}")).collect())
    };
    let known = Accounts::new((0..100).map(account));
    assert_eq!(known.keys(), 10_000);
    for i in 0..100 {
        for k in 0..100 {
            let key = format!("key-{i}-{k}");
            assert_eq!(*known.find(key.as_bytes()).unwrap().name, format!("a{i}"));
            assert!(known.find(&key.as_bytes()[1..]).is_none());
            assert!(known.find(format!("{key} ").as_bytes()).is_none());
        }
    }
}

/// Fails if keys or their digests get into log lines that print the directory.
#[test]
fn directory_prints_no_keys() {
    let known = accounts(&json!([{ "Name": "a", "ApiKeys": ["secret-key"] }]));
    let text =
        format!("{known:?} {:?}", decode(&json!([{ "Name": "a", "ApiKeys": ["secret-key"] }])));
    assert!(!text.contains("secret-key"), "{text}");
    assert!(!text.contains("by_key"), "{text}");
}

/// Fails if a gateway that fails closed trusts keys that it could not confirm, or one that does
/// not refuses requests because of an outage.
#[test]
fn access_depends_on_the_age_only_where_it_is_limited() {
    let known = accounts(&json!([{ "Name": "a", "ApiKeys": ["k"] }]));
    let check = |needs_key, key: &'static [u8], age_ms: Option<u64>, max_ms: Option<u64>| {
        let [age, max] = [age_ms, max_ms].map(|ms| ms.map(Duration::from_millis));
        let access = check_access(Some(&known), needs_key, Some(key), age, max);
        access.map(|access| access.account_name().map(|name| name.to_string()))
    };
    let served = Ok(Some("a".to_owned()));
    for age in [None, Some(0), Some(5001)] {
        assert_eq!(check(true, b"k", age, None), served);
        assert_eq!(check(false, b"x", age, Some(5000)), Ok(None));
    }
    assert_eq!(check(true, b"k", Some(5000), Some(5000)), served);
    // An unknown key may have been added since.
    for (key, age) in [(&b"k"[..], Some(5001)), (b"k", None), (b"x", None)] {
        assert_eq!(check(true, key, age, Some(5000)), Err(Denial::Outdated));
    }
    let unknown = Denial::UnknownKey(key_fingerprint(b"x"));
    assert_eq!(check(true, b"x", Some(0), Some(5000)), Err(unknown));
    assert_eq!(
        check_access(None, true, None, None, Some(Duration::ZERO)),
        Ok(Access::Unrestricted)
    );
}

/// Fails if values that are no single bearer key are taken for one.
#[test]
fn key_is_read_from_one_bearer_header() {
    let key = |values: &[&str]| {
        let mut headers = HeaderMap::new();
        for value in values {
            headers.append("authorization", value.parse().unwrap());
        }
        api_key(&headers).map(|key| String::from_utf8(key.to_vec()).unwrap())
    };
    for value in ["Bearer k", "bearer k", "BEARER   k "] {
        assert_eq!(key(&[value]).as_deref(), Some("k"), "{value:?}");
    }
    for values in [
        &[][..],
        &["k"],
        &["Bearer"],
        &["Bearer "],
        &["Bearerk"],
        &["Basic k"],
        &["Bearer k", "Bearer k"],
    ] {
        assert_eq!(key(values), None, "{values:?}");
    }
}

/// Fails if crashes are blamed on all accounts alike, or their records depend on the key.
#[test]
fn header_hash_tells_accounts_apart_and_not_keys() {
    let hash = |key: &str, name: &str| {
        let mut headers = HeaderMap::new();
        headers.insert("authorization", format!("Bearer {key}").parse().unwrap());
        headers.insert("x-tenant", "claimed".parse().unwrap());
        remove_account_headers(&mut headers);
        set_account(&mut headers, name);
        header_hash(&headers)
    };
    assert_eq!(hash("k1", "a"), hash("k2", "a"));
    assert_ne!(hash("k1", "a"), hash("k1", "b"));
}

/// Fails if configurations with ever new accounts let the metrics grow.
#[test]
fn labels_of_accounts_are_bounded() {
    let mut labels = AccountLabels::default();
    let mut used = std::collections::HashSet::new();
    for i in 0..1000 {
        used.insert(labels.label(&format!("a{i}").into()));
    }
    assert_eq!(used.len(), MAX_LABELS + 1);
    assert!(used.contains(OTHER_ACCOUNTS));
}

fn settings(accounts: &str) -> Result<GatewaySettings, Vec<SettingsError>> {
    let text = format!(
        "[gateway]\nname = g\nzone = east\nlisten = 10.0.0.1:1\nready_listen = 10.0.0.1:2\n\
         peer_listen = 10.0.0.1:3\nadmin_listen = 10.0.0.1:4\n[store]\naddress = 10.0.0.2:1\n\
         {accounts}"
    );
    GatewaySettings::read(SettingsReader::from_text("g.ini", &text))
}

/// Fails if settings are not read, or wrong ones are accepted.
#[test]
fn settings_are_read_and_checked() {
    let absent = settings("").unwrap().accounts;
    assert_eq!(absent, goldcrestpitch::gateway::AccountSettings::default());
    assert_eq!(settings("[accounts]\n").unwrap().accounts, absent);
    let given = settings(
        "[accounts]\nfail_closed = true\nrevoke_ms = 4000\nquota_window_s = 6.5\n\
         quota_overage = 0.2\nquota_slack = 900\n",
    );
    let given = given.unwrap().accounts;
    assert!(given.fail_closed);
    assert_eq!(given.revoke, Duration::from_secs(4));
    assert_eq!(given.quota_window, Duration::from_millis(6500));
    assert_eq!((given.quota_overage, given.quota_slack), (0.2, 900.0));
    let wrong = "[accounts]\nfail_closed = maybe\nrevoke_ms = -1\nquota_window_s = 0\n\
                 quota_overage = 11\nquota_slack = many\nquota = 1\n";
    let errors: Vec<String> = settings(wrong).unwrap_err().iter().map(|e| e.key.clone()).collect();
    let keys =
        ["revoke_ms", "fail_closed", "quota_overage", "quota_slack", "quota_window_s", "quota"];
    assert_eq!(errors, keys);
}
