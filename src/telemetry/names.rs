//! Names of the metrics.

/// Seconds to the first token, by tenant and class.
pub const FIRST_TOKEN: &str = "goldcrestpitch_first_token_seconds";
/// Seconds between tokens, by tenant and class; of forwarded streams, the longest pause.
pub const TOKEN_GAP: &str = "goldcrestpitch_token_gap_seconds";
/// Seconds of whole requests, by tenant and class.
pub const REQUEST: &str = "goldcrestpitch_request_seconds";
/// Seconds in an endpoint's queue, by tenant and class.
pub const QUEUE: &str = "goldcrestpitch_queue_seconds";
/// Requests that ended, by tenant and class.
pub const REQUESTS: &str = "goldcrestpitch_requests_total";
/// Requests that were answered within their targets, by tenant and class.
pub const ATTAINED: &str = "goldcrestpitch_attained_total";
/// Refusals by code.
pub const REFUSALS: &str = "goldcrestpitch_refusals_total";
/// Attempts after the first, by reason.
pub const RETRIES: &str = "goldcrestpitch_retries_total";
/// Confirmed orders by kind of resource and direction.
pub const MOVES: &str = "goldcrestpitch_moves_total";
/// Bytes of answers from another region.
pub const CROSS_REGION: &str = "goldcrestpitch_cross_region_bytes_total";
/// Bytes of control messages by kind.
pub const CONTROL_BYTES: &str = "goldcrestpitch_control_bytes_total";
/// Frames of attempts that were no longer current.
pub const STALE_FRAMES: &str = "goldcrestpitch_stale_frames_total";
/// Endpoint crashes that an agent saw.
pub const CRASHES: &str = "goldcrestpitch_endpoint_crashes_total";
/// Requests that run at an endpoint.
pub const RUNNING: &str = "goldcrestpitch_running";
/// Configuration revision in force.
pub const REVISION: &str = "goldcrestpitch_config_revision";
/// Processor time of the process, seconds.
pub const CPU: &str = "goldcrestpitch_process_cpu_seconds";
/// Connections that were opened to endpoints.
pub const CONNECTIONS: &str = "goldcrestpitch_connections_total";
/// Requests that wait for an endpoint.
pub const WAITING: &str = "goldcrestpitch_waiting";
/// Calls to the platform's store.
pub const STORE_CALLS: &str = "goldcrestpitch_store_calls_total";
/// Calls to the platform's store that failed.
pub const STORE_FAILURES: &str = "goldcrestpitch_store_failures_total";
/// Gateways that are heard, this one included.
pub const GATEWAYS: &str = "goldcrestpitch_gateways";
/// Orders to the engine, by kind and answer.
pub const ORDERS: &str = "goldcrestpitch_orders_total";
/// Log lines that were left out because the reader was too slow.
pub const LOG_LINES_LEFT_OUT: &str = "goldcrestpitch_log_lines_left_out_total";
