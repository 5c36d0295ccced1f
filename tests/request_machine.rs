//! Tests of the request state machine: reported outcomes, retries and resumptions.

use std::time::Duration;

use primrosehoist::coordination::request::{Action, Event, RESUME_GRACE, Request, State};
use primrosehoist::protocol::outcome::{Failure, Outcome, Reason};
use primrosehoist_property::arbitrary::{self, Unstructured};
use primrosehoist_property::check;
use tokio::time::Instant;

const TIME_LIMIT: Duration = Duration::from_secs(60);
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

fn failure(outcome: Outcome, reason: Reason) -> Failure {
    Failure {
        outcome,
        reason,
        message: "test".to_owned(),
        retry_after_ms: None,
    }
}

fn request(now: Instant, repeatable: bool) -> Request {
    Request::new(now, now + TIME_LIMIT, IDLE_TIMEOUT)
        .repeatable(repeatable)
        .resumable(true)
}

fn feed(request: &mut Request, now: Instant, events: &[Event]) {
    for event in events {
        request.on_event(event.clone(), now);
    }
}

/// Formats an action without the text of its failure.
fn summary(action: &Action) -> String {
    match action {
        Action::Fail(failure) => format!("fail {} {}", failure.outcome, failure.reason),
        Action::Retry(failure) => format!("retry {}", failure.outcome),
        Action::Resume(from, failure) => format!("resume {from} {}", failure.outcome),
        other => format!("{other:?}").to_lowercase(),
    }
}

#[test]
fn outcomes_depend_on_what_may_have_run() {
    use Event::{Broken, CallerLeft, End, Expired, Failed, Opened, Part, Sent, Unreachable};
    let failed = |outcome, reason| Failed(failure(outcome, reason));
    let not_run = || failed(Outcome::NotRun, Reason::Overloaded);
    let unknown = || failed(Outcome::Unknown, Reason::UpstreamFailed);
    // Earlier events, last event, action for a repeatable request, action for any other.
    let cases = [
        (vec![Opened], Unreachable, "retry not_run", "retry not_run"),
        (vec![Opened], not_run(), "retry not_run", "retry not_run"),
        (
            vec![Opened, Sent],
            not_run(),
            "retry not_run",
            "retry not_run",
        ),
        (
            vec![Opened, Sent],
            unknown(),
            "retry unknown",
            "fail unknown upstream_failed",
        ),
        (
            vec![Opened],
            Broken,
            "retry unknown",
            "fail unknown upstream_failed",
        ),
        (
            vec![Opened, Sent],
            Broken,
            "retry unknown",
            "fail unknown upstream_failed",
        ),
        (
            vec![Opened, Sent, Part(0)],
            Broken,
            "resume 1 incomplete",
            "resume 1 incomplete",
        ),
        (
            vec![Opened, Sent, Part(0)],
            unknown(),
            "resume 1 incomplete",
            "resume 1 incomplete",
        ),
        (vec![Opened, Sent, Part(0)], Part(0), "discard", "discard"),
        (
            vec![Opened, Sent, Part(0)],
            Part(2),
            "fail incomplete upstream_failed",
            "fail incomplete upstream_failed",
        ),
        (vec![Opened, Sent, Part(0)], Part(1), "deliver", "deliver"),
        (vec![Opened, Sent, Part(0)], End, "finish", "finish"),
        (vec![Opened, Sent], CallerLeft, "cancel", "cancel"),
        (
            vec![Opened, unknown()],
            not_run(),
            "retry unknown",
            "cancel",
        ),
        (
            vec![Opened],
            failed(Outcome::NotRun, Reason::TooLong),
            "fail not_run too_long",
            "fail not_run too_long",
        ),
        (
            vec![Opened, Sent, Part(0)],
            Expired,
            "resume 1 incomplete",
            "resume 1 incomplete",
        ),
        (vec![Opened, End], Part(0), "cancel", "cancel"),
    ];
    for (earlier, last, repeatable, unrepeatable) in cases {
        for (kind, expected) in [(true, repeatable), (false, unrepeatable)] {
            let now = Instant::now();
            let mut request = request(now, kind);
            feed(&mut request, now, &earlier);
            let action = request.on_event(last.clone(), now + IDLE_TIMEOUT);
            assert_eq!(
                summary(&action),
                expected,
                "{earlier:?} {last:?} repeatable {kind}"
            );
        }
    }
}

#[test]
fn deadline_applies_in_every_state() {
    use Event::{Opened, Part, Sent};
    let cases = [
        (vec![], State::Admitted, "fail not_run timeout"),
        (vec![Opened], State::Queued, "fail unknown timeout"),
        (
            vec![Opened, Sent],
            State::Dispatched,
            "fail unknown timeout",
        ),
        (
            vec![Opened, Sent, Part(0)],
            State::Streaming,
            "fail incomplete timeout",
        ),
    ];
    for (events, state, expected) in cases {
        let now = Instant::now();
        let mut request = request(now, true);
        feed(&mut request, now, &events);
        assert_eq!(request.state(), state);
        assert!(request.next_timeout() <= now + TIME_LIMIT);
        let action = request.on_event(Event::Expired, now + TIME_LIMIT);
        assert_eq!(summary(&action), expected);
        assert_eq!(request.state(), State::Ended);
    }
}

#[test]
fn broken_stream_is_resumed_only_within_the_grace_period() {
    let now = Instant::now();
    let mut request = request(now, true);
    feed(&mut request, now, &[Event::Opened, Event::Part(0)]);
    let resumed = request.on_event(Event::Broken, now);
    assert_eq!(summary(&resumed), "resume 1 incomplete");
    feed(&mut request, now, &[Event::Opened]);
    let late = request.on_event(Event::Unreachable, now + RESUME_GRACE);
    assert_eq!(summary(&late), "fail incomplete unavailable");
}

fn event(u: &mut Unstructured<'_>) -> arbitrary::Result<Event> {
    let outcomes = [Outcome::NotRun, Outcome::Unknown, Outcome::Incomplete];
    let reasons = [Reason::Overloaded, Reason::UpstreamFailed, Reason::Timeout];
    Ok(match u.int_in_range(0..=8)? {
        0 | 1 => Event::Opened,
        2 => Event::Sent,
        3 | 4 => Event::Part(u.int_in_range(0..=5)?),
        5 => Event::End,
        6 => Event::Failed(failure(*u.choose(&outcomes)?, *u.choose(&reasons)?)),
        7 => Event::Broken,
        _ => Event::Expired,
    })
}

#[test]
fn outcomes_hold_for_random_event_sequences() {
    check(1_500, |u| {
        let start = Instant::now();
        let repeatable = u.arbitrary()?;
        let mut request = request(start, repeatable);
        let mut now = start;
        let mut delivered = 0;
        let mut may_have_run = false;
        while !u.is_empty() && request.state() != State::Ended {
            let event = event(u)?;
            now += Duration::from_millis(u.int_in_range(0..=3000)?);
            let before = request.state();
            let opened = before != State::Admitted;
            let action = request.on_event(event.clone(), now);
            may_have_run |= match &event {
                Event::Failed(failure) => failure.outcome != Outcome::NotRun,
                Event::Broken => true,
                Event::Expired => opened,
                _ => false,
            };
            match action {
                Action::Deliver => {
                    assert_eq!(event, Event::Part(delivered));
                    delivered += 1;
                }
                Action::Fail(failure) => check_outcome(&failure, delivered, may_have_run),
                Action::Retry(failure) => {
                    assert_eq!(delivered, 0);
                    assert!(repeatable || !may_have_run);
                    check_outcome(&failure, delivered, may_have_run);
                }
                Action::Resume(from, _) => assert_eq!(from, delivered),
                _ => {}
            }
        }
        Ok(())
    });
}

fn check_outcome(failure: &Failure, delivered: u64, may_have_run: bool) {
    if delivered > 0 {
        assert_eq!(failure.outcome, Outcome::Incomplete);
    } else if may_have_run {
        assert_eq!(failure.outcome, Outcome::Unknown);
    }
}
