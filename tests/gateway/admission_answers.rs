//! Agents that answer late when they are asked for the admission of a prompt.

use std::{
    cell::RefCell,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use goldcrestpitch::{
    core::admission::Answer,
    gossip::{AdmissionAnswer, AdmissionRequest, Body, EngineStatus, Socket},
};
use tokio::time;

use crate::{
    run,
    scripted_endpoint::{ReceivedRequest, ScriptedEndpoint, http_response},
    test_gateway::{TestGateway, route},
};

/// An engine and the socket of its agent.
struct Engine {
    endpoint: ScriptedEndpoint,
    agent: Socket,
}

impl Engine {
    /// Starts an engine on a VM of its own, since its agent has the port of the gateway there.
    async fn start(vm: u8, gateway: &TestGateway) -> Self {
        let ip = IpAddr::from([127, 0, 2, vm]);
        let script = |request: &ReceivedRequest| http_response("200 OK", request.id(), "fine");
        let endpoint = ScriptedEndpoint::start_at(SocketAddr::new(ip, 0), script).await;
        let agent = SocketAddr::new(ip, gateway.peer_address.port());
        let agent = Socket::bind(agent).await.unwrap();
        gateway.register(&format!("i-{vm}"), endpoint.address, "ready", 1).await;
        Self { endpoint, agent }
    }

    fn send_status(&self, gateway: &TestGateway, sequence: u64) {
        let status = EngineStatus {
            engine: self.endpoint.address.to_string(),
            sequence,
            started_ms: 1,
            admits: true,
            ..EngineStatus::default()
        };
        self.agent.send(gateway.peer_address, Body::EngineStatus(status));
    }

    fn answer(&self, gateway: &TestGateway, request: &AdmissionRequest, answer: Answer) {
        let answer = AdmissionAnswer::new(request.question, answer);
        self.agent.send(gateway.peer_address, Body::AdmissionAnswer(answer));
    }

    /// The next message on admission.
    async fn next(&self) -> AdmissionRequest {
        loop {
            if let Ok((_, Body::AdmissionRequest(request))) = self.agent.receive().await {
                return request;
            }
        }
    }
}

/// Guards against a prompt that is sent to an engine without room because the agent of another one,
/// which was asked before, answers late.
#[test]
fn late_answer_of_an_agent_does_not_admit_a_prompt_at_another_engine() {
    run(async {
        let gateway = TestGateway::start_unconfigured().await;
        let mut read = route("/read/", "idempotent", 2);
        read["TimeoutMs"] = 30_000.into();
        gateway.configure(1, &[read]).await;
        let engines = [Engine::start(1, &gateway).await, Engine::start(2, &gateway).await];
        gateway.wait_for_version(1).await;
        gateway.wait_for_endpoints(2).await;
        let statuses = async {
            for sequence in 1.. {
                engines.iter().for_each(|e| e.send_status(&gateway, sequence));
                time::sleep(Duration::from_millis(100)).await;
            }
        };
        // The request that the agents were asked about, and the number of the engine without room.
        let asked = RefCell::new(None);
        let agents = async {
            // The agent that is asked first is silent until the other one is asked.
            let (first, question) = tokio::select! {
                question = engines[0].next() => (0, question),
                question = engines[1].next() => (1, question),
            };
            *asked.borrow_mut() = Some((question.request.clone(), 1 - first));
            let (silent, full) = (&engines[first], &engines[1 - first]);
            let second = full.next().await;
            silent.answer(&gateway, &question, Answer::Admitted);
            full.answer(&gateway, &second, Answer::Full(Duration::from_secs(20)));
            let repeated = loop {
                let request = silent.next().await;
                if !request.withdrawn && request.question != question.question {
                    break request;
                }
            };
            silent.answer(&gateway, &repeated, Answer::Admitted);
            std::future::pending::<()>().await;
        };
        // Requests are sent at once until the gateway knows that the agents admit prompts.
        let caller = async {
            let mut number = 0;
            loop {
                let headers = format!(
                    "x-request-id: q{number}\r\nx-deadline-ms: 30000\r\nx-token-counts: 1000,10\r\n"
                );
                let response = gateway.send("GET", "/read/1", &headers, "").await;
                if asked.borrow().is_some() {
                    return response;
                }
                number += 1;
            }
        };
        let response = tokio::select! {
            response = caller => response,
            () = statuses => unreachable!(),
            () = agents => unreachable!(),
        };
        assert_eq!(response.status, 200);
        let (request, full) = asked.take().unwrap();
        let received = engines[full].endpoint.requests();
        assert!(received.iter().all(|r| r.id() != request), "{request} was not admitted");
    });
}
