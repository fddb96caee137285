//! Faults of a stand-in, set by `PUT /fault` or in the same process.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use serde::{Deserialize, Serialize};
use web::{BodyError, Response};

/// Faults that a stand-in injects.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether all requests are answered with 503.
    pub down: bool,
    /// Whether requests are accepted and never answered.
    pub hang: bool,
    /// Delay of each response, in milliseconds.
    pub delay_ms: u64,
    /// Number of next writes that take effect but whose response is lost.
    pub lose_writes: u32,
    /// Number of next writes that are lost before they take effect.
    pub drop_writes: u32,
    /// Writes accepted per second; others are answered with 429. 0 is unlimited.
    pub max_writes_s: u32,
    /// Number of next bodies in which a byte is changed.
    pub corrupt: u32,
    /// Number of next bodies that are truncated.
    pub truncate: u32,
}

/// Shared handle to the faults of a stand-in.
#[derive(Debug, Clone, Default)]
pub struct SharedFaults {
    faults: Arc<Mutex<Faults>>,
    writes: Arc<Mutex<Option<(Instant, u32)>>>,
}

impl SharedFaults {
    /// Sets the faults.
    pub fn set(&self, faults: Faults) {
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    }

    /// Returns the faults.
    pub fn get(&self) -> Faults {
        self.faults
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Decrements a counted fault; returns whether it was above 0.
    pub fn consume(&self, count: impl Fn(&mut Faults) -> &mut u32) -> bool {
        let mut faults = self.faults.lock().unwrap_or_else(PoisonError::into_inner);
        let n = count(&mut faults);
        let was_set = *n > 0;
        *n = n.saturating_sub(1);
        was_set
    }

    /// Counts a write; returns `false` if it exceeds the limit of the current second.
    pub fn allow_write(&self) -> bool {
        let limit = self.get().max_writes_s;
        let mut writes = self.writes.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let (since, n) = match *writes {
            Some((since, n)) if now.duration_since(since) < Duration::from_secs(1) => {
                (since, n + 1)
            }
            _ => (now, 1),
        };
        *writes = Some((since, n));
        limit == 0 || n <= limit
    }

    /// Delays, hangs or rejects a request; returns `None` if the request proceeds.
    pub async fn apply_to_request(&self) -> Option<Response> {
        let faults = self.get();
        if faults.delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        if faults.hang {
            std::future::pending::<()>().await;
        }
        faults.down.then(|| web::text(503, "down\n"))
    }
}

/// Returns a response that breaks off after its head.
pub fn interrupted_response() -> Response {
    let frames = futures_util::stream::iter([Err::<Frame<bytes::Bytes>, _>(
        BodyError::Interrupted("fault"),
    )]);
    hyper::Response::new(BodyExt::boxed_unsync(StreamBody::new(frames)))
}
