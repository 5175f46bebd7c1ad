//! Tests of the pauses that endpoints ask for: no value stops an endpoint for ever.

use std::time::Duration;

use bulrushhoist_fleet::MAX_PAUSE;
use hyper::header::{HeaderMap, HeaderValue, RETRY_AFTER};

use super::{UnusablePause, parse_pause};

fn headers(values: &[&str]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for value in values {
        headers.append(RETRY_AFTER, HeaderValue::from_str(value).unwrap());
    }
    headers
}

/// Guards against an unusable or huge value that is taken for a pause.
#[test]
fn an_unusable_pause_is_granted() {
    assert_eq!(parse_pause(&headers(&[])), Ok(None));
    let half = Duration::from_millis(500);
    assert_eq!(parse_pause(&headers(&["0.5"])), Ok(Some(half)));
    assert_eq!(parse_pause(&headers(&["0.5", "0.5"])), Ok(Some(half)));
    for huge in ["7200", "1e300", "inf"] {
        assert_eq!(parse_pause(&headers(&[huge])), Ok(Some(MAX_PAUSE)));
    }
    let date = "Fri, 04 Dec 2026 23:59:59 GMT";
    for unusable in ["-1", "nan", "soon", "", date] {
        assert_eq!(parse_pause(&headers(&[unusable])), Err(UnusablePause));
    }
    assert_eq!(parse_pause(&headers(&["1", "2"])), Err(UnusablePause));
}
