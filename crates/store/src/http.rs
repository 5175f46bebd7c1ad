//! HTTP dialect of the platform.
//!
//! | call | meaning |
//! |---|---|
//! | `GET /v1/objects/KIND/NAME` | one object, 404 if it does not exist |
//! | `PUT /v1/objects/KIND/NAME` with `If-Match` or `If-None-Match: *` | conditional write, 412 on conflict |
//! | `GET /v1/objects?kinds=A,B` | all objects of these kinds |
//! | `GET /v1/watch?kinds=A,B&after=CURSOR&wait_ms=N` | changes, 410 if the cursor is too old |
//! | `GET /v1/vms` | the VM list |

use std::net::SocketAddr;
use std::time::Duration;

use bulrushhoist_core::{ObjectKey, VmRecord};
use futures_util::FutureExt as _;
use futures_util::future::BoxFuture;
use reqwest::{Client, Response, StatusCode};
use serde::Deserialize;
use serde::de::DeserializeOwned;

use crate::api::{Cursor, Expected, Listing, PlatformApi, PlatformError, RawObject, Version};

/// Client of the HTTP dialect.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    client: Client,
    base: String,
    timeout: Duration,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
struct Written {
    version: Version,
}

impl HttpPlatform {
    /// Creates a client of the platform at `address`, whose calls time out
    /// after `timeout`.
    ///
    /// Watches get their waiting time in addition.
    pub fn new(address: SocketAddr, timeout: Duration) -> Result<Self, PlatformError> {
        let client = Client::builder()
            .no_proxy()
            .retry(reqwest::retry::never())
            .connect_timeout(timeout)
            .tcp_nodelay(true)
            .build()
            .map_err(|e| unavailable(&e))?;
        Ok(Self {
            client,
            base: format!("http://{address}"),
            timeout,
        })
    }

    async fn fetch<T: DeserializeOwned>(
        &self,
        path: &str,
        timeout: Duration,
    ) -> Result<T, PlatformError> {
        let request = self
            .client
            .get(format!("{}{path}", self.base))
            .timeout(timeout);
        let response = request.send().await.map_err(|e| unavailable(&e))?;
        parse(check_status(response)?).await
    }
}

fn unavailable(error: &reqwest::Error) -> PlatformError {
    PlatformError::Unavailable {
        cause: error.to_string(),
    }
}

fn check_status(response: Response) -> Result<Response, PlatformError> {
    let status = response.status();
    if status.is_success() {
        return Ok(response);
    }
    let cause = status.to_string();
    Err(match status {
        StatusCode::PRECONDITION_FAILED => PlatformError::Conflict,
        StatusCode::GONE => PlatformError::CursorTooOld,
        s if s.is_client_error() => PlatformError::Refused { cause },
        _ => PlatformError::Unavailable { cause },
    })
}

async fn parse<T: DeserializeOwned>(response: Response) -> Result<T, PlatformError> {
    response.json().await.map_err(|e| unavailable(&e))
}

impl PlatformApi for HttpPlatform {
    fn get<'a>(
        &'a self,
        key: &'a ObjectKey,
    ) -> BoxFuture<'a, Result<Option<RawObject>, PlatformError>> {
        async move {
            let url = format!("{}/v1/objects/{key}", self.base);
            let request = self.client.get(url).timeout(self.timeout);
            let response = request.send().await.map_err(|e| unavailable(&e))?;
            if response.status() == StatusCode::NOT_FOUND {
                return Ok(None);
            }
            parse(check_status(response)?).await.map(Some)
        }
        .boxed()
    }

    fn put<'a>(
        &'a self,
        key: &'a ObjectKey,
        expected: &'a Expected,
        value: String,
    ) -> BoxFuture<'a, Result<Version, PlatformError>> {
        async move {
            let url = format!("{}/v1/objects/{key}", self.base);
            let request = self.client.put(url).timeout(self.timeout).body(value);
            let request = match expected {
                Expected::Absent => request.header("if-none-match", "*"),
                Expected::At(version) => request.header("if-match", &version.0),
            };
            let response = request.send().await.map_err(|e| unavailable(&e))?;
            let written: Written = parse(check_status(response)?).await?;
            Ok(written.version)
        }
        .boxed()
    }

    fn list<'a>(&'a self, kinds: &'a [&str]) -> BoxFuture<'a, Result<Listing, PlatformError>> {
        async move {
            let path = format!("/v1/objects?kinds={}", kinds.join(","));
            self.fetch(&path, self.timeout).await
        }
        .boxed()
    }

    fn watch<'a>(
        &'a self,
        kinds: &'a [&str],
        after: &'a Cursor,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Listing, PlatformError>> {
        async move {
            let (kinds, wait_ms) = (kinds.join(","), wait.as_millis());
            let path = format!("/v1/watch?kinds={kinds}&after={after}&wait_ms={wait_ms}");
            self.fetch(&path, self.timeout + wait).await
        }
        .boxed()
    }

    fn vms(&self) -> BoxFuture<'_, Result<Vec<VmRecord>, PlatformError>> {
        self.fetch("/v1/vms", self.timeout).boxed()
    }
}
