//! Command line arguments, parsed by xflags.

#[allow(missing_docs, clippy::use_self)]
mod parsed {
    use std::net::SocketAddr;

    xflags::xflags! {
        /// Serves many models on fewer accelerators.
        cmd goldcrestpitch {
            /// Prints the version or this help.
            default cmd about {
                /// Prints the version.
                optional --version
            }
            /// Runs an entry, which accepts callers' requests.
            cmd entry {
                /// INI file with the settings.
                required settings: String
            }
            /// Runs the agent beside an endpoint.
            cmd agent {
                /// INI file with the settings.
                required settings: String
            }
            /// Runs a gateway, which forwards callers' requests according to the configured routes.
            cmd gateway {
                /// INI file with the settings [default: the file named by GOLDCRESTPITCH_SETTINGS].
                optional settings: String
            }
            /// Runs the agent beside a model engine, which sends orders to the engine.
            cmd engine-agent {
                /// INI file with the settings [default: the file named by GOLDCRESTPITCH_SETTINGS].
                optional settings: String
            }
            /// Checks a settings file and lists all its errors.
            cmd check-settings {
                /// `entry`, `agent`, `gateway` or `engine-agent`.
                required role: String
                /// INI file with the settings.
                required file: String
            }
            /// Shows the state of every endpoint and where it differs from the plan.
            cmd status {
                /// Address of the append-only log.
                required --log address: SocketAddr
            }
            /// Runs a small fleet on loopback and injects failures.
            cmd demo {
                /// Keeps the fleet running and prints example requests.
                optional --serve
            }
            /// Runs a benchmark; `slopes` measures the slopes given in docs/CAPACITY.md.
            cmd bench {
                /// `overhead`, `slopes`, `claims`, `routing`, `overload` or `propagation`.
                required what: String
            }
            /// Reads or changes the configuration: get | set KEY VALUE |
            /// except KIND=NAME KEY VALUE | drop KIND=NAME KEY | retire KIND NAME |
            /// release FINGERPRINT | history | check FILE | import FILE.
            cmd config {
                /// Address of the append-only log; not needed for `check`.
                optional --log address: SocketAddr
                /// Operator name that is recorded with a change.
                optional --operator name: String
                /// Revision of the path that the change is based on [default: the current one].
                optional --base revision: u64
                /// Reason for an exception.
                optional --reason text: String
                /// Subcommand and its arguments.
                repeated words: String
            }
        }
    }

    impl Goldcrestpitch {
        /// Returns the help text of all commands.
        pub fn help() -> &'static str {
            Self::HELP_
        }
    }
}

pub use parsed::{Config, Goldcrestpitch, GoldcrestpitchCmd as Command};
