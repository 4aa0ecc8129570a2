//! Names of the metrics. Metrics that are given by tenant and class have only the class label
//! for requests that a gateway forwards.

/// Time to the first token in seconds, by tenant and class.
pub const FIRST_TOKEN: &str = "goldcrestpitch_first_token_seconds";
/// Time between tokens in seconds, by tenant and class; for forwarded streams, the longest
/// gap of each stream.
pub const TOKEN_GAP: &str = "goldcrestpitch_token_gap_seconds";
/// Duration of whole requests in seconds, by tenant and class.
pub const REQUEST: &str = "goldcrestpitch_request_seconds";
/// Time in an endpoint's queue in seconds, by tenant and class.
pub const QUEUE: &str = "goldcrestpitch_queue_seconds";
/// Requests that ended, with any outcome, by tenant and class.
pub const REQUESTS: &str = "goldcrestpitch_requests_total";
/// Requests that met their latency targets, by tenant and class.
pub const ATTAINED: &str = "goldcrestpitch_attained_total";
/// Requests sent to endpoints that name a limit, by endpoint.
pub const LIMITED_SENDS: &str = "goldcrestpitch_limited_sends_total";
/// Tokens of the prompts that were sent to endpoints, where the prompts name their segments.
pub const PROMPT_TOKENS: &str = "goldcrestpitch_prompt_tokens_total";
/// Those of them that the endpoint was believed to keep.
pub const KEPT_TOKENS: &str = "goldcrestpitch_kept_prompt_tokens_total";
/// Endpoints that have said in a response that they leave.
pub const LEAVING: &str = "goldcrestpitch_leaving_endpoints_total";
/// Refusals in which an endpoint asked for rest, by endpoint.
pub const RESTS: &str = "goldcrestpitch_rests_total";
/// Streams that callers resume, by outcome.
pub const RESUMPTIONS: &str = "goldcrestpitch_resumptions_total";
/// Refused requests, by result code.
pub const REFUSALS: &str = "goldcrestpitch_refusals_total";
/// Requests refused for their client account, by cause and account; at most 32 accounts have a
/// label of their own.
pub const ACCOUNT_REFUSALS: &str = "goldcrestpitch_account_refusals_total";
/// Time since the client accounts were last read from the store, in seconds.
pub const ACCOUNTS_AGE: &str = "goldcrestpitch_accounts_age_seconds";
/// Retries (attempts after the first), by reason; in a gateway, by whether the retry budget
/// allowed them.
pub const RETRIES: &str = "goldcrestpitch_retries_total";
/// Part of the shared retry allowance that a gateway may use: 0 while it does not know the others.
pub const RETRY_SHARE: &str = "goldcrestpitch_retry_share";
/// Confirmed orders, by kind of resource and direction.
pub const MOVES: &str = "goldcrestpitch_moves_total";
/// Bytes of responses from another region.
pub const CROSS_REGION: &str = "goldcrestpitch_cross_region_bytes_total";
/// Bytes of control messages, by kind and direction.
pub const CONTROL_BYTES: &str = "goldcrestpitch_control_bytes_total";
/// Discarded frames of superseded attempts.
pub const STALE_FRAMES: &str = "goldcrestpitch_stale_frames_total";
/// Endpoint crashes detected by the agent.
pub const CRASHES: &str = "goldcrestpitch_endpoint_crashes_total";
/// Requests that are running at an endpoint.
pub const RUNNING: &str = "goldcrestpitch_running";
/// Configuration revision in force.
pub const REVISION: &str = "goldcrestpitch_config_revision";
/// CPU time used by the process, in seconds.
pub const CPU: &str = "goldcrestpitch_process_cpu_seconds";
/// Connections opened to endpoints.
pub const CONNECTIONS: &str = "goldcrestpitch_connections_total";
/// Requests for which a connection was opened although others were idle: they had been sent on all
/// of those before.
pub const PASSED_OVER: &str = "goldcrestpitch_passed_over_connections_total";
/// Response heads of endpoints, by whose request id they bear.
pub const RESPONSES: &str = "goldcrestpitch_endpoint_responses_total";
/// Sends to endpoints without a response head, by whether the request may have run.
pub const UNANSWERED: &str = "goldcrestpitch_unanswered_sends_total";
/// How much later than due timers run, in seconds.
pub const LOOP_LAG: &str = "goldcrestpitch_loop_lag_seconds";
/// Endpoints that were examined for waiting requests since the start.
pub const EXAMINED: &str = "goldcrestpitch_examined_endpoints";
/// Requests that are waiting for an endpoint.
pub const WAITING: &str = "goldcrestpitch_waiting";
/// Calls to the platform's store.
pub const STORE_CALLS: &str = "goldcrestpitch_store_calls_total";
/// Failed calls to the platform's store.
pub const STORE_FAILURES: &str = "goldcrestpitch_store_failures_total";
/// Live gateways known from gossip, this one included.
pub const GATEWAYS: &str = "goldcrestpitch_gateways";
/// Messages between processes that were dropped since they are too large.
pub const DATAGRAMS_TOO_LARGE: &str = "goldcrestpitch_datagrams_too_large_total";
/// Orders sent to the engine, by answer.
pub const ORDERS: &str = "goldcrestpitch_orders_total";
/// Decisions of an agent on the admission of prompts, by answer.
pub const ADMISSIONS: &str = "goldcrestpitch_admissions_total";
/// Log lines dropped because the reader of the log was too slow.
pub const LOG_LINES_LEFT_OUT: &str = "goldcrestpitch_log_lines_left_out_total";
/// Streams that the end of a gateway's process cut off.
pub const CUT_OFF: &str = "goldcrestpitch_cut_off_streams_total";
/// Crashes of endpoints that a gateway counted against a request or a segment of a prompt,
/// one for each log line of a suspect.
pub const SUSPECTED_CRASHES: &str = "goldcrestpitch_suspected_crashes_total";
/// Part of the quotas of client accounts that accrues at a gateway: 1 if it hears all others.
pub const QUOTA_PART: &str = "goldcrestpitch_quota_part";
/// Age of the oldest report of a reachable gateway on quotas, in seconds.
pub const QUOTA_AGE: &str = "goldcrestpitch_quota_age_seconds";
/// What all gateways may still charge to a client account; negative while it is owed.
pub const QUOTA_LEVEL: &str = "goldcrestpitch_quota_level";
/// What a gateway has charged to a client account since its start.
pub const QUOTA_CHARGED: &str = "goldcrestpitch_quota_charged";
/// Bytes held for others, by kind.
pub const HELD_BYTES: &str = "goldcrestpitch_held_bytes";
/// Bodies, responses and connections that the limits of the process refused or closed, by cause.
pub const LIMIT_REFUSALS: &str = "goldcrestpitch_limit_refusals_total";
