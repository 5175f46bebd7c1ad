//! Tests of the pauses and limits that endpoints ask for: no value stops an endpoint for ever.

use std::time::Duration;

use bulrushhoist_fleet::MAX_PAUSE;
use hyper::header::{HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};

use super::{
    MAX_LIMIT_PER_S, MIN_LIMIT_PER_S, UnusableLimit, UnusablePause, parse_limit, parse_pause,
};

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

/// Guards against an unusable value that is taken for a limit, or a huge one that overflows.
#[test]
fn an_unusable_limit_is_obeyed() {
    let name = HeaderName::from_static("limit");
    let parse = |values: &[&str]| {
        let mut headers = HeaderMap::new();
        for value in values {
            headers.append(&name, HeaderValue::from_str(value).unwrap());
        }
        parse_limit(&headers, &name)
    };
    assert_eq!(parse(&[]), Ok(None));
    assert_eq!(parse(&["4.2"]), Ok(Some(4.2)));
    assert_eq!(parse(&["4.2", "4.2"]), Ok(Some(4.2)));
    for huge in ["1e300", "inf", "99999999999999999999"] {
        assert_eq!(parse(&[huge]), Ok(Some(MAX_LIMIT_PER_S)));
    }
    for tiny in ["0.001", "1e-300"] {
        assert_eq!(parse(&[tiny]), Ok(Some(MIN_LIMIT_PER_S)));
    }
    for unusable in ["0", "-0", "-1", "nan", "4,2", "many", ""] {
        assert_eq!(parse(&[unusable]), Err(UnusableLimit), "{unusable}");
    }
    assert_eq!(parse(&["1", "2"]), Err(UnusableLimit));
}
