//! Tests of the plain service stand-in.

mod support;

use support::Standin;

#[test]
fn every_run_is_recorded() {
    let service = Standin::start("service", &[]);
    let headers = ["X-Request-Id: r1", "Idempotency-Key: k"];
    let reply = service.call("PUT", "/any/path", &headers, "content").json();
    assert_eq!("r1", reply["request_id"]);
    assert_eq!(1, reply["call"]);
    service.fault(r#"{"refuse":true}"#);
    assert_eq!(
        "not_run",
        service.call("POST", "/b", &[], "").json()["error"]["code"]
    );
    service.fault(r#"{"refuse":false,"crash_after_run":true}"#);
    assert!(service.try_call("POST", "/c", &[], "").is_none());
    let counts = service.counts();
    assert_eq!(2, counts["run"]);
    assert_eq!(1, counts["refused"]);
    assert_eq!("k", counts["calls"][0]["idempotency_key"]);
    assert_eq!("/c", counts["calls"][1]["path"]);
}
