//! A plain service: records its calls in a ledger and echoes each in the response.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use web::{Request, Response, StopSignal, read_body};

use super::fault::SharedFaults;
use super::platform::fault_request;

/// A call in the ledger.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallRecord {
    /// Method.
    pub method: String,
    /// Path.
    pub path: String,
    /// Body.
    pub body: String,
}

/// A service.
#[derive(Debug, Clone, Default)]
pub struct PlainService {
    /// Faults.
    pub faults: SharedFaults,
    ledger: Arc<Mutex<Vec<CallRecord>>>,
}

impl PlainService {
    /// Starts a service on an address.
    pub async fn start(addr: SocketAddr, stop: StopSignal) -> std::io::Result<PlainService> {
        let service = PlainService::default();
        let handler_service = service.clone();
        super::serve(addr, stop, move |req| handle(handler_service.clone(), req)).await?;
        Ok(service)
    }

    fn lock(&self) -> MutexGuard<'_, Vec<CallRecord>> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the recorded calls.
    pub fn ledger(&self) -> Vec<CallRecord> {
        self.lock().clone()
    }
}

async fn handle(service: PlainService, req: Request) -> Response {
    if let Some(set_faults) = fault_request(&service.faults, &req) {
        return set_faults.apply(&service.faults, req).await;
    }
    if req.uri().path() == "/ledger" {
        return web::json(
            200,
            serde_json::to_string(&service.ledger()).expect("the ledger serializes"),
        );
    }
    let method = req.method().to_string();
    let path = req.uri().path().to_owned();
    let Ok(buf) = read_body(req.into_body(), 16 << 20, Duration::from_secs(30)).await else {
        return web::text(400, "bad body\n");
    };
    let record = CallRecord {
        method,
        path,
        body: String::from_utf8_lossy(&buf).into_owned(),
    };
    service.lock().push(record.clone());
    // The call has run; a fault from here on loses only its response.
    if let Some(res) = service.faults.apply_to_request().await {
        return res;
    }
    web::json(
        200,
        serde_json::to_string(&record).expect("a call serializes"),
    )
}
