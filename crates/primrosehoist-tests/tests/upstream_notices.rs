//! Tests what upstreams say of themselves in their answers: that they are about to leave, or want no
//! requests for a while.

mod common;

use std::sync::PoisonError;
use std::time::{Duration, Instant};

use common::platform::{Request, receive, start_request};
use common::scripted::{Requests, Script, event, send_to, start, success};
use serde_json::json;

const BODY: &str = "Content-Length: 4\r\n\r\ndone";

/// Returns the number of requests that each upstream has read.
fn loads(requests: &Requests) -> [usize; 2] {
    let read = requests.lock().unwrap_or_else(PoisonError::into_inner);
    [0, 1].map(|upstream| {
        read.iter()
            .filter(|received| received.upstream == upstream)
            .count()
    })
}

/// Sends calls until the first upstream has got one; its answer carries its notice.
fn provoke_notice(deployment: &common::platform::Deployment, requests: &Requests) {
    let started = Instant::now();
    while loads(requests)[0] == 0 {
        assert!(started.elapsed() < Duration::from_secs(10));
        send_to(deployment, "/bad-look/1");
    }
}

#[test]
fn upstream_that_says_it_is_leaving_gets_nothing_more_although_the_store_lists_it() {
    const SCRIPTS: [Script; 3] = [
        |received| {
            let leaving = if received.upstream == 0 {
                "Server-Leaving: 1\r\n"
            } else {
                ""
            };
            (format!("{}{leaving}{BODY}", success(&received.id)), false)
        },
        |received| {
            let id = &received.id;
            if received.upstream == 1 {
                return (success(id) + BODY, false);
            }
            let head = "HTTP/1.1 500 Error\r\nServer-Leaving: 1\r\n";
            (format!("{head}X-Attempt-Id: {id}\r\n{BODY}"), false)
        },
        |received| {
            let id = &received.id;
            if received.upstream == 1 {
                return (success(id) + BODY, false);
            }
            let head = "HTTP/1.1 503 Full\r\nServer-Leaving: 1\r\nX-Not-Executed: 1\r\n";
            (format!("{head}X-Attempt-Id: {id}\r\n{BODY}"), false)
        },
    ];
    for script in SCRIPTS {
        let (deployment, requests) = start(1, script);
        provoke_notice(&deployment, &requests);
        let known = loads(&requests)[0];
        for _ in 0..20 {
            let (_request, response) = send_to(&deployment, "/bad-look/1");
            assert_eq!(response.status, 200, "{response:?}");
        }
        assert_eq!(loads(&requests)[0], known);
        // An entry of the same process changes nothing; one of a new process does.
        let mut entry = deployment.entry(0, "ready");
        entry["Service"] = json!("bad");
        let read = requests.lock().unwrap_or_else(PoisonError::into_inner);
        let address = read.iter().find(|received| received.upstream == 0);
        entry["Address"] = json!(address.expect("a request").address);
        drop(read);
        entry["Slots"] = json!(15);
        deployment.put("servers", "bad-0", &entry);
        std::thread::sleep(Duration::from_millis(400));
        for _ in 0..10 {
            send_to(&deployment, "/bad-look/1");
        }
        assert_eq!(loads(&requests)[0], known);
        deployment.delete("servers", "bad-0");
        std::thread::sleep(Duration::from_millis(400));
        deployment.put("servers", "bad-0", &entry);
        std::thread::sleep(Duration::from_millis(400));
        for _ in 0..20 {
            send_to(&deployment, "/bad-look/1");
        }
        assert!(loads(&requests)[0] > known, "a new entry is judged anew");
    }
}

#[test]
fn other_daemons_learn_within_a_second_that_an_upstream_is_leaving() {
    let (deployment, requests) = start(2, |received| {
        let leaving = if received.upstream == 0 {
            "Server-Leaving: 1\r\n"
        } else {
            ""
        };
        (format!("{}{leaving}{BODY}", success(&received.id)), false)
    });
    provoke_notice(&deployment, &requests);
    std::thread::sleep(Duration::from_secs(1));
    let known = loads(&requests)[0];
    for number in 0..20 {
        let request = Request {
            body: format!("{number}").into_bytes(),
            ..Request::new("POST", "/bad-look/1")
        };
        let response = common::platform::send(&deployment.daemons[1].ingress, &request);
        assert_eq!(response.status, 200, "{response:?}");
    }
    assert_eq!(loads(&requests)[0], known);
}

#[test]
fn notice_in_an_answer_to_another_request_is_ignored() {
    let (deployment, requests) = start(1, |received| {
        let id = if received.upstream == 0 {
            "another"
        } else {
            &received.id
        };
        let notices = "Server-Leaving: 1\r\nRetry-After: 60\r\n";
        if received.upstream == 0 {
            let head = "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n";
            return (format!("{head}{notices}X-Attempt-Id: {id}\r\n{BODY}"), true);
        }
        (success(id) + BODY, false)
    });
    provoke_notice(&deployment, &requests);
    deployment.delete("servers", "bad-1");
    std::thread::sleep(Duration::from_millis(400));
    let known = loads(&requests)[0];
    send_to(&deployment, "/bad-look/1");
    assert!(loads(&requests)[0] > known, "the upstream is still in use");
}

/// Sends a call on each of `count` connections at once; returns their statuses and `Retry-After`.
fn send_at_once(address: &str, count: usize) -> Vec<(u16, Option<f64>)> {
    let connections: Vec<_> = (0..count)
        .map(|number| {
            let request = Request {
                body: format!("{number}").into_bytes(),
                ..Request::new("POST", "/bad-look/1")
            };
            start_request(address, &request)
        })
        .collect();
    let answers = connections.into_iter().map(|mut connection| {
        let response = receive(&mut connection);
        let after = response.header("retry-after");
        (response.status, after.and_then(|after| after.parse().ok()))
    });
    answers.collect()
}

#[test]
fn upstream_that_defers_requests_gets_none_for_that_time_and_is_used_again_after_it() {
    let (deployment, requests) = start(1, |received| {
        if received.upstream == 1 || received.elapsed > Duration::from_millis(2500) {
            return (success(&received.id) + BODY, false);
        }
        let id = &received.id;
        let head = "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nRetry-After: 2.5\r\n";
        (format!("{head}X-Attempt-Id: {id}\r\n{BODY}"), false)
    });
    provoke_notice(&deployment, &requests);
    let address = &deployment.daemons[0].ingress;
    std::thread::sleep(Duration::from_millis(500));
    let known = loads(&requests)[0];
    for _ in 0..3 {
        for (status, _) in send_at_once(address, 64) {
            assert_eq!(status, 200);
        }
    }
    assert!(loads(&requests)[0] <= known + 2, "{:?}", loads(&requests));
    std::thread::sleep(Duration::from_millis(2600));
    let known = loads(&requests)[0];
    send_at_once(address, 64);
    assert!(loads(&requests)[0] > known, "the upstream is used again");
}

#[test]
fn requests_are_refused_at_once_while_all_upstreams_defer_them() {
    let (deployment, requests) = start(1, |received| {
        let id = &received.id;
        let head = "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nRetry-After: 30\r\n";
        (format!("{head}X-Attempt-Id: {id}\r\n{BODY}"), false)
    });
    let address = &deployment.daemons[0].ingress;
    while loads(&requests).contains(&0) {
        send_at_once(address, 4);
    }
    std::thread::sleep(Duration::from_millis(500));
    let known = loads(&requests);
    let started = Instant::now();
    for (status, retry_after) in send_at_once(address, 64) {
        assert_eq!(status, 503);
        let retry_after = retry_after.expect("a refusal says when to retry");
        assert!((20.0..35.0).contains(&retry_after), "{retry_after}");
    }
    let elapsed = started.elapsed();
    assert!(elapsed < Duration::from_secs(1), "{elapsed:?}");
    assert_eq!(loads(&requests), known);
}

#[test]
fn invalid_deferrals_are_ignored() {
    let (deployment, requests) = start(1, |received| {
        if received.upstream == 1 {
            return (success(&received.id) + BODY, false);
        }
        let value = ["soon", "-5", "NaN", ""][received.elapsed.as_millis() as usize % 4];
        let head = format!("HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nRetry-After: {value}\r\n");
        (
            format!("{head}X-Attempt-Id: {}\r\n{BODY}", received.id),
            false,
        )
    });
    provoke_notice(&deployment, &requests);
    for _ in 0..6 {
        let known = loads(&requests)[0];
        let started = Instant::now();
        while loads(&requests)[0] == known {
            assert!(started.elapsed() < Duration::from_secs(10));
            send_to(&deployment, "/bad-look/1");
        }
    }
}

#[test]
fn stream_of_a_leaving_upstream_is_finished() {
    let (deployment, requests) = start(1, |received| {
        let head = success(&received.id);
        let events = event(1) + &event(2);
        let framing = "Server-Leaving: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
        let length = events.len();
        (
            format!("{head}{framing}{length:x}\r\n{events}\r\n0\r\n\r\n"),
            false,
        )
    });
    let (_request, response) = send_to(&deployment, "/bad-ask/1");
    assert!(response.complete && response.status == 200, "{response:?}");
    assert_eq!(response.events(), [1, 2]);
    assert_eq!(loads(&requests).iter().sum::<usize>(), 1);
}
