//! Holds documents to the code that they describe.

use std::{env, fs, path::Path};

use goldcrestpitch::{
    cli::Goldcrestpitch,
    core::config::Key,
    errors::Code,
    settings::{
        AgentSettings, EngineAgentSettings, EntrySettings, GatewaySettings, SettingsError,
        SettingsReader,
    },
};

/// Compares a generated document; `UPDATE_DOCS=1` rewrites it.
fn hold(file: &str, wanted: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(file);
    if env::var_os("UPDATE_DOCS").is_some() {
        fs::write(&path, wanted).unwrap();
    }
    let stored = fs::read_to_string(&path).unwrap_or_default();
    assert!(stored == wanted, "{file} is stale: run with UPDATE_DOCS=1");
}

#[test]
fn error_table_is_current() {
    let mut text = String::from(
        "# Result codes\n\n\
         Every refusal is JSON: `{\"error\":{\"code\":…,\"name\":…,\"message\":…,\"outcome\":…,\
         \"retry_after_ms\":…}}`.\nThe outcome in a refusal goes before the one in this table: \
         it is worse when an earlier\nattempt of the same request may have run. \
         `not_run` is said only when it is proven.\n\n\
         1xxx: the caller changes the request. 2xxx: the caller comes back after `Retry-After`.\n\
         3xxx: the fleet; the caller comes back, the operator looks at `status`.\n\
         4xxx: the request may have run; without an idempotency key the caller decides.\n\
         5xxx: `config`; 6xxx and 7xxx: the start of a process, with no HTTP status.\n\n\
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
    hold("docs/errors.md", &text);
}

#[test]
fn key_table_is_current() {
    let mut text = String::from(
        "# Configuration keys\n\nEach key has a default for the whole fleet; the last column \
         names the items that may have an\nexception, the strongest first.\n\n\
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
    hold("docs/operators/keys.md", &text);
}

#[test]
fn codes_are_unique_and_found() {
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

/// Fills in a settings template as the platform does, as far as ours go.
fn filled(file: &str, values: &[(&str, &str)]) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(file);
    let mut text = fs::read_to_string(path).unwrap();
    for (placeholder, value) in values {
        text = text.replace(placeholder, value);
    }
    assert!(!text.contains("{{"), "{file} has a placeholder that nothing fills in:\n{text}");
    text
}

const ZONES: &str = "{{#Zones}}{{@}}={{.}}{{,}}{{/Zones}}";
const SEEDS: &str = "{{#SeedNodes}}{{.}}{{,}}{{/SeedNodes}}";

#[test]
fn templates_of_the_platform_give_whole_settings() {
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
        ("{{Platform.Address}}", "10.200.1.7:8142"),
        ("{{TimingBounds.RetryBudgetRatio}}", "0.2"),
        ("{{TimingBounds.BudgetWindowS}}", "10"),
        ("{{TimingBounds.BudgetSlack}}", "58"),
        ("{{TimingBounds.GraceS}}", "8"),
        ("{{Service}}", "llm"),
        ("{{app}}", "10.1.0.40:8145"),
    ];
    let gateway = filled("deploy/gateway.ini", &values);
    let settings = GatewaySettings::read(SettingsReader::from_text("g", &gateway)).unwrap();
    assert_eq!((settings.seeds.len(), settings.zones.len()), (2, 2));
    assert_eq!(settings.bounds.retry_slack, 58.0);
    let agent = filled("deploy/engine-agent.ini", &values);
    assert!(EngineAgentSettings::read(SettingsReader::from_text("a", &agent)).is_ok());
    // Without seeds, as on the first of all VMs.
    let alone = gateway.replace("10.1.0.38:8144,10.2.0.40:8144", "");
    let settings = GatewaySettings::read(SettingsReader::from_text("g", &alone)).unwrap();
    assert!(settings.seeds.is_empty());
}

#[test]
fn all_faults_of_a_gateways_settings_are_listed_at_once() {
    let text = "[gateway]\nname = g\nzone = north\nzones = east, west=r\nlisten = host:80\n\
                ready_listen = 10.0.0.1:2\npeer_listen = 10.0.0.1:3\n\
                admin_listen = 10.0.0.1:2\nseeds = 10.0.0.1\n\
                [bounds]\nretry_ratio = -1\ngrace_s = soon\n";
    let errors = GatewaySettings::read(SettingsReader::from_text("g.ini", text)).unwrap_err();
    let lines: Vec<String> = errors.iter().map(SettingsError::to_string).collect();
    insta::assert_snapshot!(lines.join("\n"));
}

/// Only the adapter knows the platform's names of headers, paths and fields.
#[test]
fn the_platforms_names_stay_in_its_folder() {
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
            // The stand-ins speak the platform's protocol by themselves.
            if path.ends_with("src/platform") || path.ends_with("src/fakes") {
                continue;
            }
            if path.is_dir() {
                folders.push(path);
                continue;
            }
            let text = fs::read_to_string(&path).unwrap().to_lowercase();
            for name in names {
                assert!(!text.contains(name), "{} names {name}", path.display());
            }
        }
    }
}

#[test]
fn all_faults_of_a_settings_file_are_listed_at_once() {
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
        let text = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "{file}: {text}");
    }
}
