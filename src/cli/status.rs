//! The `status` command: shows the state of every endpoint and where it differs from the
//! placement plan.

use std::{net::SocketAddr, time::Duration};

use futures_util::future::join_all;
use tokio::time;

use crate::{
    cli::{EXIT_FAILED, EXIT_OK},
    core::{
        config::{Item, ItemKind},
        placement::static_plan,
    },
    fleet,
    platform::Store,
    rpc::{
        Channels,
        pb::{DescribeReply, DescribeRequest, agent_client::AgentClient},
    },
};

/// Maximum time for an agent to answer.
const DESCRIBE_TIMEOUT: Duration = Duration::from_secs(2);

/// Queries every agent, compares the replies with the plan and returns the exit code.
pub(super) async fn run(log: SocketAddr) -> u8 {
    let fold = match fleet::read_config(&Store::new(log)).await {
        Ok(fold) => fold,
        Err(refusal) => {
            eprintln!("{refusal}");
            return EXIT_FAILED;
        }
    };
    let state = fold.state();
    let plan = static_plan(state);
    println!("revision {}", state.revision);
    let channels = Channels::default();
    let endpoints: Vec<(&str, SocketAddr)> = state
        .items(ItemKind::Endpoint)
        .filter_map(|(name, item)| match item {
            Item::Endpoint { agent, .. } => Some((name, *agent)),
            _ => None,
        })
        .collect();
    let queries = endpoints.iter().map(|(_, agent)| describe(&channels, *agent));
    for ((name, agent), reply) in endpoints.iter().zip(join_all(queries).await) {
        let Some(reply) = reply else {
            println!("{name}: agent {agent} does not answer");
            continue;
        };
        print_endpoint(name, &reply);
        for model in plan.models_of(name) {
            let prefix = format!("model/{model}/");
            if !reply.resident.iter().any(|r| r.starts_with(&prefix)) {
                println!("  not as planned: {model} is not loaded");
            }
        }
    }
    for model in plan.on_demand() {
        println!("{model}: loaded on demand, no engine has room for it");
    }
    for (fingerprint, suspect) in &state.suspects {
        println!("request {fingerprint}: {} endpoint crashes", suspect.crashes);
    }
    EXIT_OK
}

fn print_endpoint(name: &str, reply: &DescribeReply) {
    let state = match (reply.draining, reply.endpoint_up) {
        (true, _) => "leaving",
        (_, true) => "up",
        (_, false) => "down",
    };
    println!(
        "{name}: {state}, revision {}, {} of {} MiB, {} running, {} waiting, holds {}",
        reply.revision,
        reply.used_mib,
        reply.capacity_mib,
        reply.running,
        reply.queued,
        reply.resident.join(" "),
    );
    if !reply.moving.is_empty() {
        println!("  moving: {}", reply.moving.join(" "));
    }
}

/// Queries one agent; returns `None` if it fails or does not answer in time.
async fn describe(channels: &Channels, agent: SocketAddr) -> Option<DescribeReply> {
    let mut client = AgentClient::new(channels.to(agent));
    let reply = time::timeout(DESCRIBE_TIMEOUT, client.describe(DescribeRequest {})).await;
    Some(reply.ok()?.ok()?.into_inner())
}
