//! Reads the body of a request within the limits of the process.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use tokio::time;

use crate::{
    core::limits::{BudgetShort, ProcessLimits},
    errors::{Code, Refusal},
    http::{MemoryBudget, RequestBody},
};

/// When a body that had to give way may be sent again.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Reads a request body of at most `max_bytes` within `timeout`. The bytes are charged to the
/// budget of the process as they arrive, until the result is dropped.
///
/// The rest of a body that is too large is discarded within bounds, or its connection closed.
///
/// # Errors
/// [`Code::BodyTooLarge`], [`Code::SlowSender`], [`Code::MalformedBody`] or [`Code::MemoryShort`].
pub async fn read_body(
    mut body: RequestBody,
    max_bytes: usize,
    timeout: Duration,
) -> Result<Bytes, Refusal> {
    let result = time::timeout(timeout, read_limited(&mut body, max_bytes)).await;
    let result = result.unwrap_or_else(|_| {
        let text = format!("the body did not arrive within {} ms", timeout.as_millis());
        Err(Refusal::new(Code::SlowSender, text))
    });
    let gave_way = |refusal: &Refusal| matches!(refusal.code, Code::SlowSender | Code::MemoryShort);
    if result.as_ref().is_err_and(gave_way) {
        body.abandon();
    }
    result
}

async fn read_limited(body: &mut RequestBody, max_bytes: usize) -> Result<Bytes, Refusal> {
    let too_large =
        || Refusal::new(Code::BodyTooLarge, format!("the body is larger than {max_bytes} bytes"));
    let announced = body.size_hint();
    if (max_bytes as u64) < announced.lower() {
        return Err(too_large());
    }
    // Without a budget of the listener, the only bound is that of a single body.
    let memory = body.memory().cloned();
    let memory = memory.unwrap_or_else(|| MemoryBudget::new(&ProcessLimits::default()));
    let upper = announced.upper().map_or(max_bytes, |upper| max_bytes.min(upper as usize));
    let mut buffer = memory.body(upper);
    // The request itself is charged too, also without a body.
    buffer.push(&[]).map_err(memory_short)?;
    let mut size = 0;
    loop {
        let frame = tokio::select! {
            biased;
            () = buffer.removed() => return Err(memory_short(BudgetShort)),
            frame = body.frame() => frame,
        };
        let Some(frame) = frame else { return Ok(buffer.finish()) };
        let malformed =
            |err| Refusal::new(Code::MalformedBody, format!("the body could not be read: {err}"));
        let Ok(data) = frame.map_err(malformed)?.into_data() else { continue };
        size += data.len();
        if max_bytes < size {
            return Err(too_large());
        }
        buffer.push(&data).map_err(memory_short)?;
    }
}

fn memory_short(_: BudgetShort) -> Refusal {
    let text = "the process holds as many bytes as its memory allows";
    Refusal::new(Code::MemoryShort, text).retry_after(RETRY_AFTER)
}
