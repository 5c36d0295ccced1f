//! The headers of a request that one daemon hands to another, and of the answer.

use std::sync::Arc;
use std::time::Duration;

use http::{HeaderMap, HeaderValue};
use primrosehoist::protocol::handover::{self, Error, Outcome, Request, Response};
use primrosehoist::state::versions::{Revision, Versions};

fn request() -> Request {
    Request {
        sending: 0xfedc_ba98_7654_3210,
        host: Arc::from("frontend-1"),
        workspace: Some(Arc::from("rope")),
        elapsed: Duration::from_millis(120),
        remaining: Duration::from_millis(5_880),
        attempts: 2,
        last_event: Some(7),
        resumes: true,
        versions: Versions {
            configuration: 9,
            upstreams: Revision { era: 1, number: 40 },
            evacuations: Revision { era: 2, number: 3 },
        },
    }
}

fn encode(request: &Request) -> HeaderMap {
    let mut headers = HeaderMap::new();
    request.insert(&mut headers).expect("headers hold it");
    headers
}

#[test]
fn requests_round_trip() {
    let full = request();
    assert_eq!(Request::try_from(&encode(&full)), Ok(full.clone()));
    let bare = Request {
        sending: 0,
        workspace: None,
        last_event: None,
        resumes: false,
        attempts: 1,
        versions: Versions::default(),
        ..full
    };
    assert_eq!(Request::try_from(&encode(&bare)), Ok(bare));
}

#[test]
fn responses_round_trip() {
    for outcome in [
        Outcome::Answered,
        Outcome::Reported,
        Outcome::NotRun,
        Outcome::Busy,
        Outcome::Uncertain,
        Outcome::Expired,
    ] {
        for (upstream, reason) in [(Some(Arc::from("i-1")), ""), (None, "the time is over")] {
            let response = Response {
                sending: u64::MAX,
                outcome,
                upstream,
                reason: reason.to_owned(),
            };
            let mut headers = HeaderMap::new();
            response.insert(&mut headers).expect("headers hold it");
            assert_eq!(Response::try_from(&headers), Ok(response));
        }
    }
}

#[test]
fn the_headers_have_the_specified_names_and_formats() {
    let headers = encode(&request());
    let expected = [
        ("primrosehoist-sending", "fedcba9876543210"),
        ("primrosehoist-host", "frontend-1"),
        ("primrosehoist-workspace", "rope"),
        ("primrosehoist-elapsed-ms", "120"),
        ("primrosehoist-remaining-ms", "5880"),
        ("primrosehoist-attempts", "2"),
        ("primrosehoist-last-event", "7"),
        ("primrosehoist-resumes", "1"),
        ("primrosehoist-versions", "9,1,40,2,3"),
    ];
    assert_eq!(headers.len(), expected.len());
    for (name, value) in expected {
        assert_eq!(headers[name], value, "{name}");
    }
    let mut headers = HeaderMap::new();
    let response = Response {
        sending: 10,
        outcome: Outcome::NotRun,
        upstream: Some(Arc::from("i-1")),
        reason: "full".to_owned(),
    };
    response.insert(&mut headers).expect("headers hold it");
    let expected = [
        ("primrosehoist-sending", "a"),
        ("primrosehoist-outcome", "not_run"),
        ("primrosehoist-upstream", "i-1"),
        ("primrosehoist-reason", "full"),
    ];
    assert_eq!(headers.len(), expected.len());
    for (name, value) in expected {
        assert_eq!(headers[name], value, "{name}");
    }
}

#[test]
fn missing_headers_are_errors_unless_optional() {
    let optional = ["primrosehoist-workspace", "primrosehoist-last-event"];
    for name in encode(&request()).keys() {
        let mut headers = encode(&request());
        headers.remove(name);
        let parsed = Request::try_from(&headers);
        assert_eq!(parsed.is_ok(), optional.contains(&name.as_str()), "{name}");
    }
    let response = Response {
        sending: 1,
        outcome: Outcome::Answered,
        upstream: None,
        reason: String::new(),
    };
    let mut complete = HeaderMap::new();
    response.insert(&mut complete).expect("headers hold it");
    for name in complete.keys() {
        let mut headers = complete.clone();
        headers.remove(name);
        assert!(Response::try_from(&headers).is_err(), "{name}");
    }
}

#[test]
fn malformed_headers_are_errors() {
    let cases: [(&'static str, &[u8]); 18] = [
        ("primrosehoist-sending", b""),
        ("primrosehoist-sending", b"-1"),
        ("primrosehoist-sending", b"xyz"),
        ("primrosehoist-sending", b"10000000000000000"),
        ("primrosehoist-host", b"\xff"),
        ("primrosehoist-elapsed-ms", b"1.5"),
        ("primrosehoist-elapsed-ms", b"-1"),
        ("primrosehoist-remaining-ms", b"soon"),
        ("primrosehoist-remaining-ms", b"18446744073709551616"),
        ("primrosehoist-attempts", b"0"),
        ("primrosehoist-attempts", b"-1"),
        ("primrosehoist-attempts", b"two"),
        ("primrosehoist-last-event", b""),
        ("primrosehoist-last-event", b"seven"),
        ("primrosehoist-resumes", b"yes"),
        ("primrosehoist-versions", b"9,1,40,2"),
        ("primrosehoist-versions", b"9,1,40,2,3,4"),
        ("primrosehoist-versions", b"9,1,,2,3"),
    ];
    for (name, value) in cases {
        let mut headers = encode(&request());
        let malformed = HeaderValue::from_bytes(value).expect("can be sent");
        headers.insert(name, malformed);
        assert_eq!(
            Request::try_from(&headers),
            Err(Error::Header(name)),
            "{value:?}"
        );
    }
    let mut headers = HeaderMap::new();
    headers.insert("primrosehoist-sending", HeaderValue::from_static("1"));
    headers.insert("primrosehoist-outcome", HeaderValue::from_static("done"));
    let error = Error::Header("primrosehoist-outcome");
    assert_eq!(Response::try_from(&headers), Err(error));
}

#[test]
fn zero_attempts_are_refused() {
    let none = Request {
        attempts: 0,
        ..request()
    };
    let error = Error::Header("primrosehoist-attempts");
    assert_eq!(Request::try_from(&encode(&none)), Err(error));
}

#[test]
fn a_workspace_that_cannot_be_read_is_not_taken_for_an_open_route() {
    let error = Err(Error::Header("primrosehoist-workspace"));
    for unreadable in [b"\xff\xfe".as_slice(), b"rope\x80", b""] {
        let mut headers = encode(&request());
        let value = HeaderValue::from_bytes(unreadable).expect("can be sent");
        headers.insert("primrosehoist-workspace", value);
        assert_eq!(Request::try_from(&headers), error, "{unreadable:?}");
    }
    // No request is sent if no header holds the name, or none holds it as it is.
    for unsendable in ["ro\npe", "rope\u{7f}", "", " rope", "rope\t"] {
        let request = Request {
            workspace: Some(Arc::from(unsendable)),
            ..request()
        };
        let inserted = request.insert(&mut HeaderMap::new());
        assert!(
            matches!(inserted, Err(Error::Value("primrosehoist-workspace", _))),
            "{unsendable:?}: {inserted:?}"
        );
    }
}

#[test]
fn names_that_no_header_holds_are_not_left_out() {
    for unsendable in ["", "a\r\nb", "a\0", " a", "a "] {
        let from = Request {
            host: Arc::from(unsendable),
            ..request()
        };
        let inserted = from.insert(&mut HeaderMap::new());
        assert!(
            matches!(inserted, Err(Error::Value("primrosehoist-host", _))),
            "{unsendable:?}: {inserted:?}"
        );
        let response = Response {
            sending: 1,
            outcome: Outcome::Answered,
            upstream: Some(Arc::from(unsendable)),
            reason: String::new(),
        };
        let inserted = response.insert(&mut HeaderMap::new());
        assert!(
            matches!(inserted, Err(Error::Value("primrosehoist-upstream", _))),
            "{unsendable:?}: {inserted:?}"
        );
    }
    let mut headers = encode(&request());
    headers.insert("primrosehoist-host", HeaderValue::from_static(""));
    let error = Error::Header("primrosehoist-host");
    assert_eq!(Request::try_from(&headers), Err(error));
}

#[test]
fn two_workspaces_are_an_error() {
    let mut headers = encode(&request());
    let second = HeaderValue::from_static("second");
    headers.append("primrosehoist-workspace", second);
    let error = Error::Header("primrosehoist-workspace");
    assert_eq!(Request::try_from(&headers), Err(error));
}

#[test]
fn names_may_have_characters_that_are_not_ascii() {
    let named = Request {
        host: Arc::from("vorne-ä-1"),
        workspace: Some(Arc::from("Tau & Söhne 绳")),
        ..request()
    };
    assert_eq!(Request::try_from(&encode(&named)), Ok(named));
    let response = Response {
        sending: 1,
        outcome: Outcome::Answered,
        upstream: Some(Arc::from("läufer-1")),
        reason: "aus ä Grund".to_owned(),
    };
    let mut headers = HeaderMap::new();
    response.insert(&mut headers).expect("headers hold it");
    assert_eq!(Response::try_from(&headers), Ok(response));
}

#[test]
fn times_are_limited() {
    let long = Request {
        elapsed: Duration::from_secs(1 << 40),
        remaining: Duration::MAX,
        ..request()
    };
    let hour = Duration::from_secs(3600);
    let parsed = Request::try_from(&encode(&long)).expect("is valid");
    assert_eq!((parsed.elapsed, parsed.remaining), (hour, hour));
    let mut headers = encode(&request());
    let longest = HeaderValue::from(u64::MAX);
    headers.insert("primrosehoist-remaining-ms", longest);
    let parsed = Request::try_from(&headers).expect("is valid");
    assert_eq!(parsed.remaining, hour);
}

#[test]
fn strip_removes_what_callers_set_and_nothing_else() {
    let mut headers = HeaderMap::new();
    for name in [
        "primrosehoist-workspace",
        "Primrosehoist-Attempts",
        "PRIMROSEHOIST-ANYTHING",
        "primrosehoist-",
        "primrosehoist",
        "x-primrosehoist-host",
        "x-attempt-id",
    ] {
        let name = http::HeaderName::from_bytes(name.as_bytes()).expect("is a name");
        headers.append(name.clone(), HeaderValue::from_static("one"));
        headers.append(name, HeaderValue::from_static("two"));
    }
    handover::strip(&mut headers);
    let mut names: Vec<&str> = headers.keys().map(http::HeaderName::as_str).collect();
    names.sort_unstable();
    let kept = ["primrosehoist", "x-attempt-id", "x-primrosehoist-host"];
    assert_eq!(names, kept);
    assert_eq!(headers.get_all("x-attempt-id").iter().count(), 2);
}

#[test]
fn headers_that_callers_set_do_not_survive_the_insertion() {
    let open = Request {
        workspace: None,
        last_event: None,
        ..request()
    };
    let mut headers = HeaderMap::new();
    for name in [
        "primrosehoist-workspace",
        "primrosehoist-last-event",
        "primrosehoist-attempts",
        "primrosehoist-other",
    ] {
        headers.append(name, HeaderValue::from_static("100"));
        headers.append(name, HeaderValue::from_static("101"));
    }
    open.insert(&mut headers).expect("headers hold it");
    assert!(!headers.contains_key("primrosehoist-other"));
    assert_eq!(Request::try_from(&headers), Ok(open));
    let response = Response {
        sending: 3,
        outcome: Outcome::Busy,
        upstream: None,
        reason: String::new(),
    };
    response.insert(&mut headers).expect("headers hold it");
    assert_eq!(Response::try_from(&headers), Ok(response));
    assert_eq!(headers.len(), 2);
}

#[test]
fn the_number_of_the_sending_is_known_if_other_headers_are_malformed() {
    let mut headers = encode(&request());
    headers.insert("primrosehoist-attempts", HeaderValue::from_static("x"));
    headers.remove("primrosehoist-versions");
    assert!(Request::try_from(&headers).is_err());
    assert_eq!(handover::sending(&headers), Some(request().sending));
    headers.remove("primrosehoist-sending");
    assert_eq!(handover::sending(&headers), None);
}
