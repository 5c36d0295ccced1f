//! Parsing of completion requests, and the bodies of error responses.

use primrosehoist::protocol::openai::{
    ANSWER_TOKENS_DEFAULT, Error, ErrorBody, Rejection, Request, prompt_tokens,
};
use primrosehoist::protocol::outcome::{Failure, Outcome, Reason};
use primrosehoist_property::check;

fn parse(body: &str) -> Result<Request, Error> {
    Request::try_from(body.as_bytes())
}

#[test]
fn the_fields_for_routing_are_parsed() {
    let cases = [
        (
            r#"{"model":"m","prompt":"x"}"#,
            false,
            ANSWER_TOKENS_DEFAULT,
        ),
        (
            r#"{"prompt":["a"],"stream":true,"model":"m","max_tokens":7}"#,
            true,
            7,
        ),
        (
            r#"{"messages":[{"role":"user"}],"model":"m","max_completion_tokens":9}"#,
            false,
            9,
        ),
        (
            r#"{"model":"m","prompt":"x","stream":null,"temperature":0.5}"#,
            false,
            ANSWER_TOKENS_DEFAULT,
        ),
        (
            r#"{"model":"\u006d","prompt":"{\"model\":\"other\"}"}"#,
            false,
            ANSWER_TOKENS_DEFAULT,
        ),
    ];
    for (body, stream, max_tokens) in cases {
        let request = parse(body).expect(body);
        assert_eq!(request.model.as_str(), "m");
        assert_eq!(
            (request.stream, request.max_tokens),
            (stream, max_tokens),
            "{body}"
        );
    }
}

#[test]
fn malformed_bodies_are_rejected() {
    let bodies = [
        "",
        "[]",
        "{",
        r#"{"model":"m"}"#,
        r#"{"model":7,"prompt":"x"}"#,
        r#"{"prompt":"x"}"#,
        r#"{"model":"m","prompt":"x"} trailing"#,
        r#"{"model":"m","prompt":"x","max_tokens":-1}"#,
        r#"{"model":"NOT A NAME","prompt":"x"}"#,
        r#"{"model":"m","model":"n","prompt":"x"}"#,
    ];
    for body in bodies {
        assert!(parse(body).is_err(), "{body}");
    }
}

#[test]
fn errors_do_not_quote_the_body() {
    check(1_500, |u| {
        let secret = format!("s{:016x}", u.arbitrary::<u64>()?);
        for body in [
            format!(r#"{{"model":"m","prompt":"{secret}"#),
            format!(r#"{{"model":"m","stream":"{secret}","prompt":"x"}}"#),
            format!(r#"{{"model":"m","prompt":"x"}}{secret}"#),
        ] {
            let error = parse(&body).expect_err("malformed").to_string();
            assert!(!error.contains(&secret), "{error}");
        }
        Ok(())
    });
}

#[test]
fn arbitrary_bytes_never_panic() {
    check(900, |u| {
        let bytes: Vec<u8> = u.arbitrary()?;
        let _request = Request::try_from(bytes.as_slice());
        let _rejection = Rejection::read(429, &bytes);
        Ok(())
    });
}

#[test]
fn token_estimates_are_rounded_up() {
    for (bytes, tokens) in [(0, 0), (1, 1), (4, 1), (5, 2), (4_000_000, 1_000_000)] {
        assert_eq!(prompt_tokens(bytes), tokens);
    }
}

#[test]
fn only_an_explicit_code_counts_as_not_run() {
    let body = |code: &str| format!(r#"{{"error":{{"code":"{code}","message":"x"}}}}"#);
    let cases = [
        (409, "stale_epoch", Some(Rejection::Stale)),
        (429, "not_run", Some(Rejection::Full)),
        (503, "not_run", Some(Rejection::Full)),
        (409, "not_run", None),
        (503, "overloaded", None),
        (500, "not_run", None),
        (200, "not_run", None),
    ];
    for (status, code, expected) in cases {
        assert_eq!(Rejection::read(status, body(code).as_bytes()), expected);
    }
    assert_eq!(Rejection::read(503, b"not_run"), None);
    assert_eq!(Rejection::read(503, br#"{"error":{}}"#), None);
}

#[test]
fn an_error_body_round_trips() {
    let failure = Failure {
        outcome: Outcome::NotRun,
        reason: Reason::Overloaded,
        message: "full".to_owned(),
        retry_after_ms: Some(1500),
    };
    let body = ErrorBody::new(&failure, "r1");
    let read: ErrorBody = serde_json::from_slice(&body.to_json()).expect("JSON");
    assert_eq!(read, body);
    assert_eq!(read.error.request_id, "r1");
    let event = body.to_event();
    assert!(event.starts_with(b"data: {") && event.ends_with(b"}\n\n"));
}
