//! Guards against a leaf's reply that makes the parser panic or is accepted for another request.

use client_connections::Clients;
use medlarpin_core::client_pressure::ClientLimits;
use platform_stand_in::{RawServer, RawStep};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::{Value, json};
use tokio::net::TcpStream;

use super::*;

const STATUSES: [StatusCode; 5] = [
    StatusCode::OK,
    StatusCode::CONFLICT,
    StatusCode::SERVICE_UNAVAILABLE,
    StatusCode::NO_CONTENT,
    StatusCode::INTERNAL_SERVER_ERROR,
];

/// Returns the memory of a query while queries and answers take at most `bytes`.
fn memory_of(bytes: usize) -> QueryMemory {
    let limits = ClientLimits {
        held_bytes_max: bytes,
        connections_max: 0,
        peers_max: 0,
    };
    QueryMemory::new(&Clients::with_limits(limits, Arc::new(SystemClock)))
}

fn request() -> LeafRequest {
    LeafRequest {
        request: RequestId(0xabc),
        attempt: 2,
        team: "orders".into(),
        query: "dulse".into(),
        version: IndexVersion(7),
        shard: ShardId(3),
    }
}

/// Checks that rows are accepted only if the body names this request, version and shard.
fn check_parse(status: StatusCode, body: &[u8]) {
    let request = request();
    match request.parse_reply(status, body) {
        Ok(LeafReply::Rows(_)) => {
            let body: Value = serde_json::from_slice(body).unwrap();
            assert_eq!(status, StatusCode::OK);
            assert_eq!(body["request_id"], request.id());
            assert_eq!(body["index_version"], json!(7));
            assert_eq!(body["shard"], json!(3));
        }
        Ok(LeafReply::VersionGone { .. }) => assert_eq!(status, StatusCode::CONFLICT),
        Ok(LeafReply::Shedding { .. } | LeafReply::Draining) => {
            assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
        }
        Err(_error) => {}
    }
}

fn valid_body() -> String {
    let request_id = request().id();
    json!({"request_id": request_id, "index_version": 7, "shard": 3, "rows": ["a"]}).to_string()
}

/// Guards against validation that rejects valid replies, and against an undefined error that is
/// taken as a guarantee that the request did not run.
#[test]
fn only_defined_replies_are_accepted() {
    let parse = |status, body: &str| request().parse_reply(status, body.as_bytes());
    let rows = LeafReply::Rows(vec!["a".to_owned()]);
    assert_eq!(parse(StatusCode::OK, &valid_body()).unwrap(), rows);
    let gone = r#"{"error": "version_gone", "versions": [8]}"#;
    let versions = vec![IndexVersion(8)];
    let expected = LeafReply::VersionGone { versions };
    assert_eq!(parse(StatusCode::CONFLICT, gone).unwrap(), expected);
    // Only the errors that the protocol defines guarantee that the leaf did not run the request.
    for (status, body) in [
        (
            StatusCode::CONFLICT,
            r#"{"error": "shedding", "versions": [8]}"#,
        ),
        (StatusCode::CONFLICT, r#"{"versions": [8]}"#),
        (StatusCode::SERVICE_UNAVAILABLE, r#"{"error": "crashed"}"#),
        (StatusCode::SERVICE_UNAVAILABLE, "{}"),
    ] {
        let error = parse(status, body).unwrap_err();
        assert!(matches!(error, ReplyError::Malformed(_)), "{body}: {error}");
    }
}

/// Generates a number as JSON text, including ones beyond the range of any integer type.
fn number() -> impl Strategy<Value = String> {
    prop_oneof![
        Just("7".to_owned()),
        Just("3".to_owned()),
        any::<u64>().prop_map(|number| number.to_string()),
        any::<i64>().prop_map(|number| number.to_string()),
        any::<f64>().prop_map(|number| format!("{number:e}")),
        "[0-9]{1,400}",
        "[0-9]{1,3}e[0-9]{1,5}",
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(20_253),
        failure_persistence: None,
        cases: 2_000,
        ..ProptestConfig::default()
    })]

    /// Guards against a panic on arbitrary bytes.
    #[test]
    fn arbitrary_bytes_do_not_panic(status in 0..STATUSES.len(), body in prop::collection::vec(any::<u8>(), 0..200)) {
        check_parse(STATUSES[status], &body);
    }

    /// Guards against accepting rows of another attempt, request, version or shard, and against
    /// numbers that wrap or round to the expected ones.
    #[test]
    fn replies_to_other_requests_are_rejected(
        status in 0..STATUSES.len(),
        id in prop_oneof!["0{29}abc-[0-9]{1,3}", "[0-9a-f]{32}-2", ".{0,40}"],
        version in number(),
        shard in number(),
    ) {
        let id = json!(id);
        let body = format!(r#"{{"request_id": {id}, "index_version": {version}, "shard": {shard}, "rows": ["x"]}}"#);
        check_parse(STATUSES[status], body.as_bytes());
        let refusal = format!(r#"{{"error": "shedding", "retry_after_ms": {version}, "versions": [{shard}]}}"#);
        check_parse(STATUSES[status], refusal.as_bytes());
    }

    /// Guards against accepting rows if corruption or truncation changed the request, version or
    /// shard that the reply names. A changed byte within a row cannot be detected.
    #[test]
    fn corrupted_replies_never_pass_for_another_request(at in any::<prop::sample::Index>(), byte in any::<u8>(), cut in any::<bool>()) {
        let mut body = valid_body().into_bytes();
        let at = at.index(body.len());
        body[at] = byte;
        if cut {
            body.truncate(at);
        }
        check_parse(StatusCode::OK, &body);
    }
}

/// Sends one request to a server that takes the given steps; the reply must not take long.
async fn exchange_with(steps: &[RawStep]) -> Result<(StatusCode, Bytes), ExchangeError> {
    exchange_within(steps, &memory_of(256 << 20)).await
}

/// Does the same with the memory of a query.
async fn exchange_within(
    steps: &[RawStep],
    memory: &QueryMemory,
) -> Result<(StatusCode, Bytes), ExchangeError> {
    let leaf = RawServer::start(steps.to_vec()).unwrap();
    let stream = TcpStream::connect(leaf.address()).await.unwrap();
    let (mut sender, driver) = Sender::handshake(stream).await.unwrap();
    tokio::spawn(driver);
    let body = Bytes::from_static(b"{}");
    let exchanged = exchange(
        &mut sender,
        Method::POST,
        "/search",
        "leaf",
        body,
        Some(memory),
    );
    tokio::time::timeout(Duration::from_secs(20), exchanged)
        .await
        .expect("the exchange ends")
}

/// Guards against a leaf whose bytes never end or are no reply: the exchange must fail instead of
/// reading on, and a reply that breaks off must not pass for a whole one.
#[tokio::test]
async fn replies_without_end_fail() {
    let send = |text: &str| RawStep::Send(text.to_owned());
    let endlessly = |text: &str| RawStep::SendEndlessly(text.to_owned());
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let cases = [
        ("no line end", vec![endlessly("x")]),
        (
            "headers",
            vec![send("HTTP/1.1 200 OK\r\n"), endlessly("a: b\r\n")],
        ),
        (
            "informational heads",
            vec![endlessly("HTTP/1.1 100 Continue\r\n\r\n")],
        ),
        (
            "body",
            vec![send("HTTP/1.1 200 OK\r\n\r\n"), endlessly("x")],
        ),
        (
            "chunks",
            vec![send(chunked), endlessly("10\r\n0123456789abcdef\r\n")],
        ),
        ("chunk size", vec![send(chunked), endlessly("0")]),
        (
            "trailers",
            vec![send(chunked), send("0\r\n"), endlessly("a: b\r\n")],
        ),
        (
            "short body",
            vec![
                send("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{}"),
                RawStep::Close,
            ],
        ),
        (
            "short chunks",
            vec![send(chunked), send("2\r\n{}\r\n"), RawStep::Close],
        ),
    ];
    for (name, steps) in cases {
        let reply = exchange_with(&steps).await;
        assert!(reply.is_err(), "{name}: {reply:?}");
    }
    let whole = [send("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}")];
    let (status, body) = exchange_with(&whole).await.unwrap();
    assert_eq!((status, &*body), (StatusCode::OK, &b"{}"[..]));
}

/// Guards against replies that take more memory than there is, whether or not they state their length, and against a
/// stated length that takes memory beyond the limit of a reply.
#[tokio::test]
async fn replies_without_memory_fail() {
    const BODY_BYTES: usize = 100_000;
    let body = "x".repeat(BODY_BYTES);
    let stated = format!("HTTP/1.1 200 OK\r\ncontent-length: {BODY_BYTES}\r\n\r\n{body}");
    let unstated = format!(
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{BODY_BYTES:x}\r\n{body}\r\n0\r\n\r\n"
    );
    for text in [stated, unstated] {
        let steps = [RawStep::Send(text)];
        let result = exchange_within(&steps, &memory_of(16 * BODY_BYTES)).await;
        assert_eq!(result.unwrap().1.len(), BODY_BYTES);
        let result = exchange_within(&steps, &memory_of(4 * BODY_BYTES)).await;
        assert!(matches!(result, Err(ExchangeError::NoMemory)), "{result:?}");
    }
    let huge = "HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\nx".to_owned();
    let result = exchange_with(&[RawStep::Send(huge)]).await;
    assert!(matches!(result, Err(ExchangeError::Body)), "{result:?}");
}

/// Guards against a reply, also of a health check, whose status no reply has.
#[tokio::test]
async fn replies_have_statuses_of_answers() {
    let reply = async |status: u16| {
        let text = format!("HTTP/1.1 {status} X\r\ncontent-length: 2\r\n\r\n{{}}");
        exchange_with(&[RawStep::Send(text)]).await
    };
    for status in [200, 404, 503, 599] {
        assert_eq!(reply(status).await.unwrap().0.as_u16(), status);
    }
    for status in [101, 600, 999] {
        let result = reply(status).await;
        assert!(
            matches!(result, Err(ExchangeError::Status(_))),
            "{result:?}"
        );
    }
}
