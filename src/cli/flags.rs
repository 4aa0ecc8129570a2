//! The arguments, parsed by xflags.

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
            /// Runs an entry, which takes callers' requests.
            cmd entry {
                /// INI file with the settings.
                required settings: String
            }
            /// Runs the agent beside an endpoint.
            cmd agent {
                /// INI file with the settings.
                required settings: String
            }
            /// Runs a gateway, which forwards callers' requests by the operator's routes.
            cmd gateway {
                /// INI file with the settings; else the file named by GOLDCRESTPITCH_SETTINGS.
                optional settings: String
            }
            /// Runs the agent beside a model engine, which gives the engine orders.
            cmd engine-agent {
                /// INI file with the settings; else the file named by GOLDCRESTPITCH_SETTINGS.
                optional settings: String
            }
            /// Checks a settings file and lists all its errors.
            cmd check-settings {
                /// `entry`, `agent`, `gateway` or `engine-agent`.
                required role: String
                /// INI file with the settings.
                required file: String
            }
            /// Shows what runs where and what is not as planned.
            cmd status {
                /// Address of the log.
                required --log address: SocketAddr
            }
            /// Runs a small fleet on loopback while things fail.
            cmd demo {
                /// Leaves the fleet up and prints calls to try.
                optional --serve
            }
            /// Measures overhead and the slopes of docs/CAPACITY.md.
            cmd bench {
                /// `overhead`, `slopes`, `claims`, `routing`, `overload` or `propagation`.
                required what: String
            }
            /// Reads or changes the configuration: get | set KEY VALUE |
            /// except KIND=NAME KEY VALUE | drop KIND=NAME KEY | retire KIND NAME |
            /// release FINGERPRINT | history | check FILE | import FILE.
            cmd config {
                /// Address of the log; not needed by `check`.
                optional --log address: SocketAddr
                /// Name under which changes are made.
                optional --operator name: String
                /// Revision of the path that the change is based on; the current one when absent.
                optional --base revision: u64
                /// Why an exception is made.
                optional --reason text: String
                /// What to do and with what.
                repeated words: String
            }
        }
    }

    impl Goldcrestpitch {
        /// The help text.
        pub fn help() -> &'static str {
            Self::HELP_
        }
    }
}

pub use parsed::{Config, Goldcrestpitch, GoldcrestpitchCmd as Command};
