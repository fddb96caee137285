//! Faults of a stand-in, set by `PUT /fault` or in process.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use serde::{Deserialize, Serialize};
use web::{BodyError, Response};

/// What is wrong with a stand-in.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// It answers 503 to everything.
    pub down: bool,
    /// It takes requests and never answers.
    pub hang: bool,
    /// It answers after this many milliseconds.
    pub delay_ms: u64,
    /// The next so many writes take effect and their answer is lost.
    pub lose_writes: u32,
    /// The next so many writes are lost before they take effect.
    pub drop_writes: u32,
    /// It takes so many writes a second and answers 429 to the others; 0 is no bound.
    pub max_writes_s: u32,
    /// The next so many bodies have a byte changed.
    pub corrupt: u32,
    /// The next so many bodies are cut short.
    pub truncate: u32,
}

/// Handle on the faults of a stand-in.
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

    /// The faults.
    pub fn get(&self) -> Faults {
        self.faults
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Uses up one of a counted fault; `true` if there was one.
    pub fn consume(&self, count: impl Fn(&mut Faults) -> &mut u32) -> bool {
        let mut faults = self.faults.lock().unwrap_or_else(PoisonError::into_inner);
        let n = count(&mut faults);
        let some = *n > 0;
        *n = n.saturating_sub(1);
        some
    }

    /// Counts a write; `false` where it is one too many in this second.
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

    /// Delays, hangs or refuses; `None` where the request goes on.
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

/// An answer that breaks off after its head.
pub fn broken() -> Response {
    let frames = futures_util::stream::iter([Err::<Frame<bytes::Bytes>, _>(
        BodyError::Interrupted("fault"),
    )]);
    hyper::Response::new(BodyExt::boxed_unsync(StreamBody::new(frames)))
}
