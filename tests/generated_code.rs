//! Checks that the committed RPC code matches the protocol file it is generated from.

use std::{env, fs, path::Path};

const GENERATED: &str = "src/rpc/generated/goldcrestpitch.v1.rs";

/// `UPDATE_GENERATED=1` rewrites the committed file.
#[test]
fn generated_code_is_current() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let descriptors =
        protox::compile([root.join("proto/goldcrestpitch.proto")], [root.join("proto")])
            .expect("failed to compile the protocol file");
    let dir = env::temp_dir().join(format!("goldcrestpitch-rpc-{}", std::process::id()));
    fs::create_dir_all(&dir).unwrap();
    tonic_prost_build::configure()
        .out_dir(&dir)
        .bytes(".")
        .compile_fds(descriptors)
        .expect("failed to generate the RPC code");
    let generated = fs::read_to_string(dir.join("goldcrestpitch.v1.rs")).unwrap();
    fs::remove_dir_all(&dir).unwrap();
    let committed = root.join(GENERATED);
    if env::var_os("UPDATE_GENERATED").is_some() {
        fs::write(&committed, &generated).unwrap();
    }
    let stored = fs::read_to_string(&committed).unwrap_or_default();
    assert!(generated == stored, "{GENERATED} is stale: run with UPDATE_GENERATED=1");
}
