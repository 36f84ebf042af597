//! How urgent a request is reaches the engine, which lets the more urgent in first.

mod support;

use std::rc::Rc;
use std::time::Duration;

use hyper::header::{HeaderMap, HeaderValue};
use hyper::http::{request, response};
use ryerouter_gateway::catalogue::{CallerLimits, RequestKind, RoutingTable, Tenant};
use ryerouter_gateway::gateway::Gateway;
use ryerouter_gateway::request::{
    AnswerFacts, AttemptHead, BadRequest, CallerRequest, Dialect, UnreadableConfiguration,
};
use ryerouter_gateway::serve::serve_callers;
use slog::{Logger, o};
use support::gateway_bench::{configure, list_engines, run, settings};
use support::records::{KEY_OF_TENANT, engine, model_table, route, tenant};
use support::scripted_engine::{ScriptedEngine, Step};
use support::test_dialect::{ID, KEY, PARTS, TestDialect};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use yare::parameterized;

const PRIORITY: &str = "x-priority";
/// Longest time until an answer begins; the stand-ins answer at once.
const PATIENCE: Duration = Duration::from_secs(5);

/// The dialect of the tests, which also tells engines how urgent a request is.
#[derive(Debug)]
struct PriorityDialect(TestDialect);

impl Dialect for PriorityDialect {
    fn read_configuration(&self, text: &str) -> Result<RoutingTable, UnreadableConfiguration> {
        self.0.read_configuration(text)
    }

    fn read_request(&self, head: &request::Parts) -> Result<CallerRequest, BadRequest> {
        self.0.read_request(head)
    }

    fn write_attempt(&self, attempt: &AttemptHead, headers: &mut HeaderMap) {
        self.0.write_attempt(attempt, headers);
        if let Some(priority) = attempt.priority {
            headers.insert(PRIORITY, HeaderValue::from(u16::from(priority)));
        }
    }

    fn read_answer(&self, head: &response::Parts) -> AnswerFacts {
        self.0.read_answer(head)
    }

    fn write_refusal(&self, request_id: Option<&str>, headers: &mut HeaderMap) {
        self.0.write_refusal(request_id, headers);
    }
}

/// A table of one route of this urgency for a tenant with one of its own.
fn table(of_route: u8, of_tenant: Option<u8>) -> RoutingTable {
    let mut route = route(RequestKind::Streaming);
    route.priority = of_route;
    route.is_public = false;
    let pool = route.pools[0].pool.clone();
    let like = model_table(Vec::new());
    let pool = like.pool(&pool).expect("pool").clone();
    let tenant = Tenant {
        priority: of_tenant,
        ..tenant()
    };
    RoutingTable::new(
        2,
        vec![route],
        vec![pool],
        Vec::new(),
        Some(vec![tenant]),
        CallerLimits::default(),
    )
}

#[parameterized(
    of_the_route = { 1, None, "1" },
    most_urgent_route = { 0, None, "0" },
    more_urgent_tenant = { 3, Some(0), "0" },
    less_urgent_tenant = { 0, Some(7), "7" },
)]
fn engine_is_told_the_urgency(of_route: u8, of_tenant: Option<u8>, told: &str) {
    run(async move {
        let events = Step::Events(&["id: 1\ndata: a\n\n"]);
        let (first, address) = ScriptedEngine::start([events]).await;
        let log = Logger::root(slog::Discard, o!());
        let dialect = Rc::new(PriorityDialect(TestDialect));
        let gateway = Gateway::new(settings("node-1"), dialect, log);
        configure(&gateway, table(of_route, of_tenant));
        list_engines(&gateway, vec![engine("e1", address, 1)]);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let front = listener.local_addr().expect("address");
        spawn_local(serve_callers(Rc::clone(&gateway), listener));
        let mut stream = TcpStream::connect(front).await.expect("connect");
        let text = format!(
            "POST /x HTTP/1.1\r\nhost: shop.example\r\n{ID}: r1\r\n{KEY}: {KEY_OF_TENANT}\r\n\
             {PARTS}: a,b\r\ncontent-length: 0\r\n\r\n"
        );
        stream.write_all(text.as_bytes()).await.expect("write");
        let begun = tokio::time::timeout(PATIENCE, stream.read_u8()).await;
        begun.expect("in time").expect("answer");
        let arrival = first.arrivals.borrow()[0].clone();
        assert_eq!(arrival.header(PRIORITY).as_deref(), Some(told));
    });
}
