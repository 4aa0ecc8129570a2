//! `status`: what runs where, and what is not as planned.

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

const LIMIT: Duration = Duration::from_secs(2);

/// Asks every agent and compares with the plan.
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
    let asked = endpoints.iter().map(|(_, agent)| describe(&channels, *agent));
    for ((name, agent), reply) in endpoints.iter().zip(join_all(asked).await) {
        let Some(reply) = reply else {
            println!("{name}: agent {agent} does not answer");
            continue;
        };
        print(name, &reply);
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

fn print(name: &str, reply: &DescribeReply) {
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

async fn describe(channels: &Channels, agent: SocketAddr) -> Option<DescribeReply> {
    let mut client = AgentClient::new(channels.to(agent));
    let answer = time::timeout(LIMIT, client.describe(DescribeRequest {})).await;
    Some(answer.ok()?.ok()?.into_inner())
}
