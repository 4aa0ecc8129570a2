//! Checks that documentation, settings files and help texts match the code.

use std::{env, fs, path::Path, time::Duration};

use goldcrestpitch::{
    cli::Goldcrestpitch,
    core::config::Key,
    errors::Code,
    gateway::AccountSettings,
    settings::{
        AgentSettings, EngineAgentSettings, EntrySettings, GatewaySettings, SettingsError,
        SettingsReader,
    },
};

/// Compares a generated page with its committed file; `UPDATE_DOCS=1` rewrites the file.
fn assert_current(file: &str, expected: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(file);
    if env::var_os("UPDATE_DOCS").is_some() {
        fs::write(&path, expected).unwrap();
    }
    let stored = fs::read_to_string(&path).unwrap_or_default();
    assert!(stored == expected, "{file} is stale: run with UPDATE_DOCS=1");
}

#[test]
fn error_table_is_current() {
    let mut text = String::from(
        "# Result codes\n\n\
         A refusal is returned as JSON: `{\"error\":{\"code\":…,\"name\":…,\"message\":…,\
         \"outcome\":…,\"retry_after_ms\":…}}`.\nThe outcome in a refusal takes precedence over \
         the one in this table: it is worse if an\nearlier attempt of the same \
         request may have run. `not_run` is returned only if it is proven.\n\n\
         1xxx: the caller must change the request. 2xxx: the caller retries after `Retry-After`.\n\
         3xxx: a problem of the fleet; the caller retries, the operator checks `status`.\n\
         4xxx: the request may have run; without an idempotency key the caller decides \
         whether to\nretry.\n\
         5xxx: `config` commands. 6xxx and 7xxx: process startup, without an HTTP status.\n\n\
         | code | name | HTTP | outcome | meaning |\n| --- | --- | --- | --- | --- |\n",
    );
    for code in Code::ALL {
        let status = if code.status() == 0 { "-".to_owned() } else { code.status().to_string() };
        text.push_str(&format!(
            "| {} | {} | {status} | {} | {} |\n",
            code.number(),
            code.name(),
            code.outcome().as_str(),
            code.meaning()
        ));
    }
    assert_current("docs/errors.md", &text);
}

#[test]
fn key_table_is_current() {
    let mut text = String::from(
        "# Configuration keys\n\nEach key has a default for the whole fleet. The last column \
         lists the kinds of items for\nwhich an exception can be set, the one with the highest \
         precedence first.\n\n\
         | key | built in | range | meaning | exceptions |\n| --- | --- | --- | --- | --- |\n",
    );
    for key in Key::ALL {
        let (min, max) = key.range();
        let scopes: Vec<String> = key.scopes().iter().map(ToString::to_string).collect();
        text.push_str(&format!(
            "| `{key}` | {} | {min} to {max} | {} | {} |\n",
            key.default_value(),
            key.doc(),
            scopes.join(", ")
        ));
    }
    assert_current("docs/operators/keys.md", &text);
}

#[test]
fn codes_are_unique_and_found_by_number() {
    for (i, code) in Code::ALL.iter().enumerate() {
        assert_eq!(Code::from_number(code.number()), Some(*code));
        assert!(
            Code::ALL[..i].iter().all(|c| c.number() < code.number()),
            "{code} is not in order"
        );
    }
}

#[test]
fn shipped_settings_are_complete() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let read = |name: &str| SettingsReader::from_file(root.join(name).to_str().unwrap());
    assert_eq!(EntrySettings::read(read("settings/entry.ini")).err(), None);
    assert_eq!(AgentSettings::read(read("settings/agent.ini")).err(), None);
    assert_eq!(GatewaySettings::read(read("settings/gateway.ini")).err(), None);
    assert_eq!(EngineAgentSettings::read(read("settings/engine-agent.ini")).err(), None);
}

/// Fills in the placeholders of a settings template as the platform does. Supports only the
/// placeholders that our templates use.
fn fill_template(file: &str, values: &[(&str, &str)]) -> String {
    fill_template_with_sections(file, values, &[])
}

/// Like [`fill_template`]. The values of `sections` are present; other conditional sections, from
/// `{{#NAME}}` to `{{/NAME}}`, are left out with their content.
fn fill_template_with_sections(
    file: &str,
    values: &[(&str, &str)],
    sections: &[(&str, &str)],
) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(file);
    let mut text = fs::read_to_string(path).unwrap();
    for (placeholder, value) in values {
        text = text.replace(placeholder, value);
    }
    for (name, value) in sections {
        for tag in [format!("{{{{#{name}}}}}"), format!("{{{{/{name}}}}}")] {
            assert_eq!(text.matches(&tag).count(), 1, "{file}: {tag}");
            text = text.replace(&tag, "");
        }
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    while let Some(begin) = text.find("{{#") {
        let name = text[begin + 3..].split("}}").next().unwrap().to_owned();
        let end_tag = format!("{{{{/{name}}}}}");
        let end = begin + text[begin..].find(&end_tag).expect(&name) + end_tag.len();
        text.replace_range(begin..end, "");
    }
    assert!(!text.contains("{{"), "{file} has an unknown placeholder:\n{text}");
    text
}

const ZONES: &str = "{{#Zones}}{{@}}={{.}}{{,}}{{/Zones}}";
const SEEDS: &str = "{{#SeedNodes}}{{.}}{{,}}{{/SeedNodes}}";

#[test]
fn filled_in_templates_are_valid_settings() {
    let values = [
        ("{{Node}}", "edge-1"),
        ("{{Zone}}", "east"),
        (ZONES, "east=r1,west=r2"),
        ("{{ListenAddrs.Front}}", "10.1.0.38:8149"),
        ("{{ListenAddrs.Ready}}", "10.1.0.38:8141"),
        ("{{ListenAddrs.Control}}", "10.1.0.38:8144"),
        ("{{BindIp}}", "10.1.0.38"),
        ("{{InternalPortRange.0}}", "7380"),
        ("{{InternalPortRange.1}}", "7381"),
        (SEEDS, "10.1.0.38:8144,10.2.0.40:8144"),
        ("{{Bootstrap}}", "true"),
        ("{{Platform.Address}}", "10.200.1.7:8142"),
        ("{{TimingBounds.RetryBudgetRatio}}", "0.2"),
        ("{{TimingBounds.BudgetWindowS}}", "10"),
        ("{{TimingBounds.BudgetSlack}}", "58"),
        ("{{TimingBounds.GraceS}}", "8"),
        ("{{Limits.MemoryMb}}", "112"),
        ("{{Limits.MaxFds}}", "2870"),
        ("{{Service}}", "llm"),
        ("{{app}}", "10.1.0.40:8145"),
    ];
    let gateway = fill_template("deploy/gateway.ini", &values);
    let settings = GatewaySettings::read(SettingsReader::from_text("g", &gateway)).unwrap();
    assert_eq!((settings.seeds.len(), settings.zones.len()), (2, 2));
    assert_eq!(settings.bounds.retry_slack, 58.0);
    assert_eq!(settings.limits.memory_bytes, 112 << 20);
    assert_eq!(settings.limits.descriptors, 2870);
    assert!(settings.first_start);
    assert_eq!(settings.accounts, AccountSettings::default());
    // Deployments with client accounts have these values in addition.
    let sections = [
        ("TimingBounds.FailClosed", "true"),
        ("TimingBounds.RevokeMs", "4000"),
        ("TimingBounds.QuotaWindowS", "6"),
        ("TimingBounds.QuotaOverage", "0.2"),
        ("TimingBounds.QuotaSlack", "900"),
    ];
    let with_accounts = fill_template_with_sections("deploy/gateway.ini", &values, &sections);
    let settings = GatewaySettings::read(SettingsReader::from_text("g", &with_accounts)).unwrap();
    let expected = AccountSettings {
        fail_closed: true,
        revoke: Duration::from_secs(4),
        quota_window: Duration::from_secs(6),
        quota_overage: 0.2,
        quota_slack: 900.0,
    };
    assert_eq!(settings.accounts, expected);
    let agent = fill_template("deploy/engine-agent.ini", &values);
    assert!(EngineAgentSettings::read(SettingsReader::from_text("a", &agent)).is_ok());
    // The list of seeds is empty on the first VM of a system.
    let without_seeds = gateway.replace("10.1.0.38:8144,10.2.0.40:8144", "");
    let settings = GatewaySettings::read(SettingsReader::from_text("g", &without_seeds)).unwrap();
    assert!(settings.seeds.is_empty());
}

#[test]
fn all_errors_of_gateway_settings_are_reported_together() {
    let text = "[gateway]\nname = g\nzone = north\nzones = east, west=r\nlisten = host:80\n\
                ready_listen = 10.0.0.1:2\npeer_listen = 10.0.0.1:3\n\
                admin_listen = 10.0.0.1:2\nseeds = 10.0.0.1\n\
                [bounds]\nretry_ratio = -1\ngrace_s = soon\n";
    let errors = GatewaySettings::read(SettingsReader::from_text("g.ini", text)).unwrap_err();
    let lines: Vec<String> = errors.iter().map(SettingsError::to_string).collect();
    insta::assert_snapshot!(lines.join("\n"));
}

/// Names of the platform's headers, paths and fields appear only in the platform adapter
/// and the fakes.
#[test]
fn platform_names_appear_only_in_the_adapter() {
    let names = [
        "x-expect-instance",
        "x-request-priority",
        "x-not-executed",
        "x-token-counts",
        "x-prompt-prefix",
        "x-response-signature",
        "kv-from",
        "/-/report",
        "/-/order",
        "/-/log-",
        "keyed.op",
        "keyed.servers",
        "keyed.status",
    ];
    let mut folders = vec![Path::new(env!("CARGO_MANIFEST_DIR")).join("src")];
    while let Some(folder) = folders.pop() {
        for entry in fs::read_dir(folder).unwrap() {
            let path = entry.unwrap().path();
            // The fakes implement the platform's side of the protocol.
            if path.ends_with("src/platform") || path.ends_with("src/fakes") {
                continue;
            }
            if path.is_dir() {
                folders.push(path);
                continue;
            }
            let text = fs::read_to_string(&path).unwrap().to_lowercase();
            for name in names {
                assert!(!text.contains(name), "{} contains {name}", path.display());
            }
        }
    }
}

#[test]
fn all_errors_of_entry_settings_are_reported_together() {
    let text = "[entry]\nname = e\nregion = r\nlisten = localhost:80\npeer_listen = 127.0.0.1:1\n\
                admin_listen = 127.0.0.1:1\ndrain_notice_ms = 3s\nspeed = 9\n\
                [platform]\nlog = 127.0.0.1:2\n[logs]\nlevels = loud\n";
    let errors = EntrySettings::read(SettingsReader::from_text("entry.ini", text)).unwrap_err();
    let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn help_text() {
    insta::assert_snapshot!(Goldcrestpitch::help());
}

#[test]
fn shipped_configurations_are_accepted() {
    for name in ["stundenwerk", "sapporo"] {
        let file = format!("settings/{name}.ini");
        let output = std::process::Command::new(env!("CARGO_BIN_EXE_goldcrestpitch"))
            .args(["config", "check", &file])
            .current_dir(env!("CARGO_MANIFEST_DIR"))
            .output()
            .unwrap();
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "{file}: {stderr}");
    }
}
