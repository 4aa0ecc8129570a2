//! Holds documents to the code that they describe.

use std::{env, fs, path::Path};

use goldcrestpitch::{
    cli::Goldcrestpitch,
    core::config::Key,
    errors::Code,
    settings::{AgentSettings, EntrySettings, Reader},
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
    let read = |name: &str| Reader::from_file(root.join(name).to_str().unwrap());
    assert_eq!(EntrySettings::read(read("settings/entry.ini")).err(), None);
    assert_eq!(AgentSettings::read(read("settings/agent.ini")).err(), None);
}

#[test]
fn all_faults_of_a_settings_file_are_listed_at_once() {
    let text = "[entry]\nname = e\nregion = r\nlisten = localhost:80\npeer_listen = 127.0.0.1:1\n\
                admin_listen = 127.0.0.1:1\ndrain_notice_ms = 3s\nspeed = 9\n\
                [platform]\nlog = 127.0.0.1:2\n[logs]\nlevels = loud\n";
    let faults = EntrySettings::read(Reader::from_text("entry.ini", text)).unwrap_err();
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
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
