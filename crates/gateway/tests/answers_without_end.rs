//! Engines that answer with bytes without end that are no answer: little is read of them, they are ejected, and callers
//! are served by the others.

mod endless_engine;
mod support;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use endless_engine::{EndlessEngine, Script};
use http_body_util::{BodyExt, Full};
use hyper::Request;
use ryerouter_core::identity::BackEndName;
use ryerouter_gateway::catalogue::RequestKind;
use ryerouter_gateway::clock::Clock;
use ryerouter_gateway::engines::Engine;
use ryerouter_gateway::upstream::{CallTerms, ConnectSettings, JsonCaller};
use support::gateway_bench::{GatewayBench, run};
use support::records::{engine, route, table};
use support::test_dialect::ID;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, sleep, timeout};
use yare::parameterized;

const ENGINES: usize = 8;
const BAD_ENGINES: usize = 2;
/// Requests arrive for so long, at this interval.
const LOAD_TIME: Duration = Duration::from_secs(4);
const INTERVAL: Duration = Duration::from_millis(10);
/// Requests that arrive after this time are to be served.
const SETTLING_TIME: Duration = Duration::from_secs(1);
/// A caller leaves when its answer has not begun in this time.
const PATIENCE: Duration = Duration::from_secs(2);
const LEAST_SERVED: f64 = 0.98;
/// Requests that the bad engines may be sent, in all.
const MOST_TRIES: usize = 30;

const KIB: usize = 1_024;
const CHUNK_BYTES: usize = 4 * KIB;
/// What the buffers of both sockets may hold in addition to what was read.
const BUFFERED: usize = 256 * KIB;

const WHOLE: &str = "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-signed: 1\r\ncontent-length: 2\r\n\r\nok";
const MORE_THAN_ITS_LENGTH: Script = Script::endless(WHOLE, "more");
const CHUNKED: &str =
    "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-signed: 1\r\ntransfer-encoding: chunked\r\n\r\n";
const UNTIL_CLOSE: &str = "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-signed: 1\r\n\r\n";
const LONG: &str = "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-signed: 1\r\ncontent-length: 1000000\r\n\r\n";
const STREAM: &str = "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-signed: 1\r\n\
     content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
const STREAM_UNTIL_CLOSE: &str = "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-signed: 1\r\n\
     content-type: text/event-stream\r\n\r\n";
const ONE_EVENT: &str = "f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n";
const WHOLE_STREAM: &str = "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-signed: 1\r\n\
     content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n\
     f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n";

const REFUSED: &str = "HTTP/1.1 503 Full\r\nx-id: ID\r\nx-signed: 1\r\nx-not-executed: 1\r\n\
     transfer-encoding: chunked\r\n\r\n";
const UNMARKED: &str = "HTTP/1.1 503 Full\r\nx-id: ID\r\nx-signed: 1\r\n\
     transfer-encoding: chunked\r\n\r\n";

const INTERIM_HEADS: Script = Script::endless("", "HTTP/1.1 100 Continue\r\n\r\n");
const HEADER_FIELD: Script = Script::endless("HTTP/1.1 200 OK\r\nx-a: ", "a");
const HEADER_FIELDS: Script = Script::endless("HTTP/1.1 200 OK\r\n", "x-a: a\r\n");
const NOISE: Script = Script::endless("", "\u{7f}~\u{1}");
const CHUNK_EXTENSION: Script = Script::endless(CHUNKED, "1;a=aaaaaaaa");
const LINES_UNTIL_CLOSE: Script = Script::endless(STREAM_UNTIL_CLOSE, "aaaaaaa\n");
const NOTHING_UNTIL_CLOSE: Script = Script::closed(STREAM_UNTIL_CLOSE);
const COMMENTS_UNTIL_CLOSE: Script = Script::closed(
    "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-signed: 1\r\ncontent-type: text/event-stream\r\n\r\n: a\n\n",
);

/// A chunk that holds the text many times.
fn chunk(text: &str) -> &'static str {
    let text = text.repeat(CHUNK_BYTES / text.len());
    format!("{:x}\r\n{text}\r\n", text.len()).leak()
}

/// A stream of such chunks without end.
fn chunks(text: &str) -> Script {
    Script::endless(STREAM, chunk(text))
}

/// A gateway with some sound engines and some others.
struct Site {
    bench: GatewayBench,
    bad: Vec<Rc<EndlessEngine>>,
}

impl Site {
    async fn start(kind: RequestKind, bad: Script, bad_count: usize) -> Self {
        let sound = match kind {
            RequestKind::Streaming => Script::whole(WHOLE_STREAM),
            _ => Script::whole(WHOLE),
        };
        let mut engines = Vec::new();
        let mut entries = Vec::new();
        for number in 0..ENGINES {
            let script = if number < bad_count { bad } else { sound };
            let (started, address) = EndlessEngine::start(script).await;
            entries.push(engine(&name(number), address, 1));
            engines.push(started);
        }
        engines.truncate(bad_count);
        let bench = GatewayBench::start(Some(table(1, vec![route(kind)])), entries).await;
        Self {
            bench,
            bad: engines,
        }
    }

    /// The share of the requests after the settling time that were served.
    async fn served_share(self: &Rc<Self>, kind: RequestKind, patience: Duration) -> f64 {
        let began = Instant::now();
        let mut calls: Vec<JoinHandle<bool>> = Vec::new();
        let settled = RefCell::new(0);
        while began.elapsed() < LOAD_TIME {
            if began.elapsed() < SETTLING_TIME {
                *settled.borrow_mut() += 1;
            }
            let (site, id) = (Rc::clone(self), format!("r{}", calls.len()));
            calls.push(spawn_local(async move {
                let served = timeout(patience, site.is_served(kind, &id));
                served.await.unwrap_or(false)
            }));
            sleep(INTERVAL).await;
        }
        let calls = calls.split_off(settled.into_inner());
        let count = calls.len() as f64;
        let mut served = 0.0;
        for call in calls {
            served += f64::from(u8::from(call.await.expect("call")));
        }
        served / count
    }

    async fn is_served(&self, kind: RequestKind, id: &str) -> bool {
        if kind != RequestKind::Streaming {
            let answer = self.bench.call("POST", &[(ID, id)], "x").await;
            return answer.status.is_success() && answer.body.as_deref() == Ok("ok");
        }
        let begun = self.bench.try_begin("POST", &[(ID, id)], "x").await;
        let Ok(response) = begun else {
            return false;
        };
        let is_success = response.status().is_success();
        let mut body = response.into_body();
        while let Some(Ok(frame)) = body.frame().await {
            let data = frame.into_data().unwrap_or_default();
            if data.windows(5).any(|bytes| bytes == b"data:") {
                return is_success;
            }
        }
        false
    }

    fn serving_count(&self) -> usize {
        self.bad_count(|engine| engine.health.is_serving())
    }

    fn crashed_count(&self) -> usize {
        self.bad_count(|engine| engine.crashed_at().is_some())
    }

    /// Number of the bad engines of which this is true.
    fn bad_count(&self, is_counted: fn(&Engine) -> bool) -> usize {
        let state = self.bench.gateway.state();
        let engine = |number| state.engines.get(&BackEndName::new(name(number)));
        let engines = (0..self.bad.len()).filter_map(engine);
        engines.filter(|engine| is_counted(engine)).count()
    }
}

fn name(number: usize) -> String {
    format!("e{number}")
}

#[parameterized(
    interim_heads = { RequestKind::Streaming, INTERIM_HEADS, 320 * KIB },
    interim_heads_of_a_plain_answer = { RequestKind::Safe, INTERIM_HEADS, 320 * KIB },
    header_field = { RequestKind::Streaming, HEADER_FIELD, 320 * KIB },
    header_fields = { RequestKind::Streaming, HEADER_FIELDS, 320 * KIB },
    noise = { RequestKind::Streaming, NOISE, 320 * KIB },
    chunk_extension = { RequestKind::Streaming, CHUNK_EXTENSION, 320 * KIB },
    event = { RequestKind::Streaming, chunks("data: aa"), 1_600 * KIB },
    comments = { RequestKind::Streaming, chunks(": aaaaa\n"), 64 * KIB },
    comment_blocks = { RequestKind::Streaming, chunks(": aaaa\n\n"), 64 * KIB },
    blank_lines = { RequestKind::Streaming, chunks("\n"), 64 * KIB },
    events_without_data = { RequestKind::Streaming, chunks("retry: 1\n\n"), 64 * KIB },
    lines_until_close = { RequestKind::Streaming, LINES_UNTIL_CLOSE, 1_600 * KIB },
    nothing_until_close = { RequestKind::Streaming, NOTHING_UNTIL_CLOSE, KIB },
    comments_until_close = { RequestKind::Streaming, COMMENTS_UNTIL_CLOSE, KIB },
    plain_answer = { RequestKind::Safe, Script::endless(CHUNKED, chunk("aaaaaaaa")).fast(), 16_384 * KIB },
)]
fn engines_are_ejected_and_others_serve(kind: RequestKind, script: Script, most: usize) {
    run(async move {
        let site = Rc::new(Site::start(kind, script, BAD_ENGINES).await);
        let share = site.served_share(kind, PATIENCE).await;
        let tries: usize = site.bad.iter().map(|engine| engine.tries()).sum();
        let all: usize = site.bad.iter().map(|engine| engine.all_taken()).sum();
        let taken = site.bad.iter().map(|engine| engine.most_taken()).max();
        let taken = taken.expect("a bad engine");
        let serving = site.serving_count();
        let seen = format!(
            "served {share:.3}, tries {tries}, most taken {taken}, all taken {all}, serving {serving}"
        );
        println!("{seen}");
        assert!(share >= LEAST_SERVED, "{seen}");
        assert!(tries <= MOST_TRIES, "{seen}");
        assert!(taken <= most + BUFFERED, "{seen}");
        assert_eq!(serving, 0, "{seen}");
    });
}

/// The answer says nothing about a crash, so the requests are not suspected of causing one.
#[parameterized(
    stream = { RequestKind::Streaming, chunks(": aaaaa\n") },
    plain_answer = { RequestKind::Safe, Script::endless(CHUNKED, chunk("aaaaaaaa")).fast() },
    noise = { RequestKind::Streaming, NOISE },
    noise_as_a_plain_answer = { RequestKind::Safe, NOISE },
    header_field = { RequestKind::Streaming, HEADER_FIELD },
    header_fields = { RequestKind::Safe, HEADER_FIELDS },
    interim_heads = { RequestKind::Streaming, INTERIM_HEADS },
    slow_head = { RequestKind::Streaming, Script::endless("HTTP/1.1 200 OK\r\n", FIELD).slow(SLOW) },
    chunk_extension = { RequestKind::Streaming, CHUNK_EXTENSION },
    chunk_extension_of_a_plain_answer = { RequestKind::Safe, CHUNK_EXTENSION },
    noise_after_a_refusal = { RequestKind::Safe, Script::endless(UNMARKED, "noise\r\n") },
)]
fn engines_do_not_count_as_crashed(kind: RequestKind, script: Script) {
    run(async move {
        let site = Rc::new(Site::start(kind, script, BAD_ENGINES).await);
        site.served_share(kind, PATIENCE).await;
        assert_eq!(site.serving_count(), 0);
        assert_eq!(site.crashed_count(), 0);
    });
}

/// Requests are sent to other engines, so the rest is read only to learn whether the connection can be used again, or
/// whether the engine crashes.
#[parameterized(
    that_has_not_run = { REFUSED },
    that_may_have_run = { UNMARKED },
)]
fn little_is_read_of_the_rest_of_a_refusal(start: &'static str) {
    run(async move {
        let kind = RequestKind::Safe;
        let script = Script::endless(start, chunk("aaaaaaaa"));
        let site = Rc::new(Site::start(kind, script, BAD_ENGINES).await);
        let share = site.served_share(kind, PATIENCE).await;
        let taken = site.bad.iter().map(|engine| engine.most_taken()).max();
        println!("served {share:.3}, most taken {taken:?}");
        assert!(share >= LEAST_SERVED, "served {share:.3}");
        assert!(taken <= Some(64 * KIB + BUFFERED), "taken {taken:?}");
    });
}

/// Stores, reports of engines and other nodes are called this way.
#[parameterized(
    interim_heads = { INTERIM_HEADS, 320 * KIB },
    header_fields = { HEADER_FIELDS, 320 * KIB },
    noise = { NOISE, 320 * KIB },
)]
fn call_ends_before_its_limit(script: Script, most: usize) {
    run(async move {
        let (server, address) = EndlessEngine::start(script).await;
        let caller = JsonCaller::new(ConnectSettings::default(), Clock::start());
        let request = Request::get("/").body(Full::default()).expect("request");
        let called = caller.call(address, request, CallTerms::repeatable(PATIENCE));
        let detail = called.await.expect_err("no answer").detail;
        println!("{detail}, taken {}", server.all_taken());
        assert_ne!(detail, "no answer in time");
        let taken = server.all_taken();
        assert!(taken <= most + BUFFERED, "taken {taken}");
    });
}

/// The start of a body that follows its head at once does not count as a part of the head.
#[test]
fn long_answers_are_served() {
    run(async {
        let body = "a".repeat(2_048 * KIB);
        let length = body.len();
        let head = "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-signed: 1\r\ncontent-length:";
        let script = Script::whole(format!("{head} {length}\r\n\r\n{body}").leak());
        let site = Site::start(RequestKind::Safe, script, ENGINES).await;
        for number in 0..40 {
            let id = format!("r{number}");
            let answer = site.bench.call("POST", &[(ID, id.as_str())], "x").await;
            assert_eq!(answer.body.map(|body| body.len()), Ok(length));
        }
        let tries: usize = site.bad.iter().map(|engine| engine.tries()).sum();
        assert_eq!(tries, 40);
    });
}

/// The bytes after the answer belong to no request: the connection is not used again.
#[test]
fn bytes_after_a_plain_answer_are_not_read() {
    run(async {
        let kind = RequestKind::Safe;
        let site = Rc::new(Site::start(kind, MORE_THAN_ITS_LENGTH, BAD_ENGINES).await);
        let share = site.served_share(kind, PATIENCE).await;
        let taken = site.bad.iter().map(|engine| engine.most_taken()).max();
        println!("served {share:.3}, most taken {taken:?}");
        assert!(share >= LEAST_SERVED, "served {share:.3}");
        assert!(taken <= Some(BUFFERED), "taken {taken:?}");
        let of = |count: fn(&EndlessEngine) -> usize| site.bad.iter().map(|bad| count(bad)).sum();
        let (tries, connections): (usize, usize) =
            (of(EndlessEngine::tries), of(EndlessEngine::connections));
        assert_eq!(tries, connections);
    });
}

const SLOW: Duration = Duration::from_millis(100);
/// A tenth of a kibibyte, about.
const COMMENT: &str = "64\r\n: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\n\r\n";
const FIELD: &str = "x-a: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n";

const DATA: &str = "64\r\ndata: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\n\r\n";
const PART_OF_DATA: &str = "64\r\ndata: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n";
const RETRY: &str = "64\r\nretry: 1                                                                                          \n\n\r\n";

const PART_OF_FIELD: &str = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa";
const INTERIM_HEAD: &str = "HTTP/1.1 102 Processing\r\nx-a: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n\r\n";

/// A kibibyte a second.
#[parameterized(
    comments = { RequestKind::Streaming, Script::endless(STREAM, COMMENT) },
    events_without_data = { RequestKind::Streaming, Script::endless(STREAM, RETRY) },
    lines_of_an_event = { RequestKind::Streaming, Script::endless(STREAM, DATA) },
    line_of_an_event = { RequestKind::Streaming, Script::endless(STREAM, PART_OF_DATA) },
    head = { RequestKind::Streaming, Script::endless("HTTP/1.1 200 OK\r\n", FIELD) },
    header_field = { RequestKind::Streaming, Script::endless("HTTP/1.1 200 OK\r\nx-a: ", PART_OF_FIELD) },
    interim_heads = { RequestKind::Streaming, Script::endless("", INTERIM_HEAD) },
    interim_heads_of_a_plain_answer = { RequestKind::Safe, Script::endless("", INTERIM_HEAD) },
    plain_answer = { RequestKind::Safe, Script::endless(CHUNKED, DATA) },
    plain_answer_until_close = { RequestKind::Safe, Script::endless(UNTIL_CLOSE, PART_OF_FIELD) },
    plain_answer_of_known_length = { RequestKind::Safe, Script::endless(LONG, PART_OF_FIELD) },
)]
fn slow_ones_are_ejected_and_others_serve(kind: RequestKind, script: Script) {
    run(async move {
        let site = Rc::new(Site::start(kind, script.slow(SLOW), BAD_ENGINES).await);
        let share = site.served_share(kind, PATIENCE).await;
        let tries: usize = site.bad.iter().map(|engine| engine.tries()).sum();
        let serving = site.serving_count();
        let seen = format!("served {share:.3}, tries {tries}, serving {serving}");
        println!("{seen}");
        assert!(share >= LEAST_SERVED, "{seen}");
        assert_eq!(serving, 0, "{seen}");
    });
}

/// Less than a hundred bytes a second.
const SMALL_COMMENT: Script = Script::endless(STREAM, "4\r\n:a\n\n\r\n");

#[test]
fn small_comments_do_not_keep_callers_waiting() {
    run(async {
        let kind = RequestKind::Streaming;
        let script = SMALL_COMMENT.slow(SLOW / 2);
        let site = Rc::new(Site::start(kind, script, BAD_ENGINES).await);
        let share = site.served_share(kind, LONG_PATIENCE).await;
        assert!(share >= LEAST_SERVED, "served {share:.3}");
    });
}

const LATE: Duration = Duration::from_secs(1);
/// Time for two attempts: an answer that is later than the others may be given up once.
const LONG_PATIENCE: Duration = Duration::from_secs(4);

/// Comments may keep the connection open until the first event.
#[parameterized(
    silent = { "" },
    with_a_comment = { "3\r\n:a\n\r\n" },
    with_a_comment_block = { "4\r\n:a\n\n\r\n" },
)]
fn engine_whose_first_event_is_late_serves_on(comment: &'static str) {
    run(async move {
        let mut script = Script::whole(STREAM);
        script.pause = LATE;
        script.rest = ONE_EVENT;
        let start = format!("{STREAM}{comment}");
        script.start = start.leak();
        let kind = RequestKind::Streaming;
        let site = Rc::new(Site::start(kind, script, ENGINES).await);
        let share = site.served_share(kind, LONG_PATIENCE).await;
        assert!(share >= LEAST_SERVED, "served {share:.3}");
        assert_eq!(site.serving_count(), ENGINES);
    });
}

/// Its head comes with the start of its body.
#[test]
fn engine_with_an_interim_head_before_a_late_answer_serves_on() {
    run(async {
        let body = "a".repeat(40 * KIB);
        let length = body.len();
        let head = "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-signed: 1\r\ncontent-length:";
        let mut script = Script::whole(INTERIM_HEAD);
        script.pause = LATE;
        script.rest = format!("{head} {length}\r\n\r\n{body}").leak();
        let site = Rc::new(Site::start(RequestKind::Unsafe, script, ENGINES).await);
        let calls = (0..40).map(|number| {
            let site = Rc::clone(&site);
            spawn_local(async move {
                let id = format!("r{number}");
                site.bench.call("POST", &[(ID, id.as_str())], "x").await
            })
        });
        for call in calls.collect::<Vec<_>>() {
            let answer = call.await.expect("call");
            assert_eq!(answer.body.map(|body| body.len()), Ok(length));
        }
        assert_eq!(site.serving_count(), ENGINES);
    });
}
