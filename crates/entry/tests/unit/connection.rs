//! Tests of the time limits of a fetch.

use std::net::SocketAddr;
use std::time::Duration;

use bulrushhoist_core::Time;
use http_body_util::Full;
use hyper::Request;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;
use tokio::task::LocalSet;

use super::{BODY_STALL_TIMEOUT, Connection, ConnectionError};

const PARTS: usize = 6;
const PART_PAUSE: Duration = Duration::from_millis(100);
/// Time limit of the fetches, which the body exceeds.
const LIMIT: Duration = Duration::from_millis(250);

/// Serves one answer whose body arrives in parts, of which the first `sent` are sent.
async fn serve_slowly(listener: TcpListener, sent: usize) {
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut request = [0; 1_024];
    let _ = stream.read(&mut request).await.unwrap();
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {PARTS}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();
    for _ in 0..sent {
        tokio::time::sleep(PART_PAUSE).await;
        stream.write_all(b"x").await.unwrap();
    }
    tokio::time::sleep(BODY_STALL_TIMEOUT * 4).await;
}

async fn fetch_slowly(sent: usize) -> Result<usize, ConnectionError> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address: SocketAddr = listener.local_addr().unwrap();
    let serving = tokio::task::spawn_local(serve_slowly(listener, sent));
    let mut connection = Connection::open(address, LIMIT, Time::ZERO).await?;
    let request = Request::new(Full::default());
    let fetched = connection.fetch_large(request, LIMIT, 1_024).await;
    serving.abort();
    fetched.map(|(_, body)| body.len())
}

/// Guards against a large configuration that can't be fetched over a slow network link,
/// although it arrives all the while.
#[tokio::test]
async fn a_large_body_is_given_up_while_it_arrives() {
    let fetched = LocalSet::new().run_until(fetch_slowly(PARTS)).await;
    assert_eq!(fetched.unwrap(), PARTS);
}

/// Serves one answer with a head or body that has no end.
async fn serve_endlessly(listener: TcpListener, head: &'static [u8]) {
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut written = stream.write_all(head).await;
    while written.is_ok() {
        written = stream.write_all(&[b'x'; 4_096]).await;
    }
}

/// Guards against answers of the store, of peers and to probes and orders that are kept
/// however long they are.
#[tokio::test]
async fn an_answer_without_an_end_is_kept_whole() {
    let fetch = async |head, large| {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let serving = tokio::task::spawn_local(serve_endlessly(listener, head));
        let mut connection = Connection::open(address, LIMIT, Time::ZERO).await.unwrap();
        let request = Request::new(Full::default());
        let fetched = match large {
            true => {
                let fetched = connection.fetch_large(request, LIMIT, 1 << 20).await;
                fetched.map(|(head, body)| (head.status, body))
            }
            false => connection.fetch(request, LIMIT, 1 << 20).await,
        };
        drop(connection);
        serving.await.unwrap();
        fetched
    };
    let check = async {
        for large in [false, true] {
            let body = fetch(b"HTTP/1.1 200 OK\r\n\r\n".as_slice(), large).await;
            assert!(matches!(body, Err(ConnectionError::TooLarge)), "{body:?}");
            let head = fetch(b"HTTP/1.1 200 OK\r\nx-a: ".as_slice(), large).await;
            assert!(matches!(head, Err(ConnectionError::Broken(_))), "{head:?}");
        }
    };
    LocalSet::new().run_until(check).await;
}

/// Guards against a fetch that waits for the rest of a body which doesn't arrive.
#[tokio::test]
async fn a_body_that_stops_arriving_is_waited_for() {
    let start = tokio::time::Instant::now();
    let fetched = LocalSet::new().run_until(fetch_slowly(2)).await;
    assert!(matches!(fetched, Err(ConnectionError::TimedOut)));
    assert!(start.elapsed() < BODY_STALL_TIMEOUT * 3);
}
