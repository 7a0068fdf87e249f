//! Tests of notices with a simulated discovery on a local socket.

use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::LocalSet;
use tokio::time::Instant;

use crate::discovery::NoticeQueue;
use crate::event::SenderEvent;
use crate::notice::{Notice, NoticeResult};

/// Guards against a message that counts as lost because its notice was written to a dead connection and not
/// sent again in time.
#[tokio::test]
async fn a_notice_is_soon_sent_again_when_its_connection_is_silent() {
    let test = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (_address_sender, addresses) = watch::channel(listener.local_addr().unwrap());
        let (event_sender, mut events) = mpsc::channel(8);
        let notices = Rc::new(NoticeQueue::default());
        tokio::task::spawn_local(notices.clone().send(addresses, event_sender));
        notices.push(1, Notice { call_id: "m1".to_owned(), result: NoticeResult::Failed });
        let (mut first, _) = listener.accept().await.unwrap();
        assert!(first.read(&mut [0; 4096]).await.unwrap() > 0);
        let since = Instant::now();
        // The first connection stays open without a response.
        let (mut second, _) = listener.accept().await.unwrap();
        assert!(second.read(&mut [0; 4096]).await.unwrap() > 0);
        assert!(since.elapsed() < Duration::from_millis(1_500), "{:?}", since.elapsed());
        second.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").await.unwrap();
        assert!(matches!(events.recv().await, Some(SenderEvent::NoticesAcknowledged(ids)) if ids == [1]));
    };
    LocalSet::new().run_until(test).await;
}

/// Guards the wire format of notices: one JSON object per line, with `wait_ms` only for a Retry-After of at
/// least 1 ms.
#[tokio::test]
async fn notices_are_sent_as_lines_in_the_order_in_which_they_came() {
    let test = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (_address_sender, addresses) = watch::channel(listener.local_addr().unwrap());
        let (event_sender, mut events) = mpsc::channel(8);
        let notices = Rc::new(NoticeQueue::default());
        let results = [
            NoticeResult::Failed,
            NoticeResult::Rejected { retry_after: 0 },
            NoticeResult::Rejected { retry_after: 999 },
            NoticeResult::Rejected { retry_after: 1_250_999 },
        ];
        for (id, result) in (1..).zip(results) {
            notices.push(id, Notice { call_id: format!("m{id}"), result });
        }
        tokio::task::spawn_local(notices.clone().send(addresses, event_sender));
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 4096];
        let length = stream.read(&mut request).await.unwrap();
        let text = String::from_utf8_lossy(&request[..length]).into_owned();
        let (head, body) = text.split_once("\r\n\r\n").unwrap();
        assert!(head.starts_with("POST /status HTTP/1.1\r\n"), "{head}");
        let lines: Vec<_> = body.lines().collect();
        assert_eq!(
            lines,
            [
                r#"{"ref":"m1","result":"dead"}"#,
                r#"{"ref":"m2","result":"bounced"}"#,
                r#"{"ref":"m3","result":"bounced"}"#,
                r#"{"ref":"m4","result":"bounced","wait_ms":1250}"#,
            ]
        );
        assert_eq!(notices.len(), 4);
        stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").await.unwrap();
        let acknowledged = events.recv().await;
        assert!(matches!(acknowledged, Some(SenderEvent::NoticesAcknowledged(ids)) if ids == [1, 2, 3, 4]));
        assert_eq!(notices.len(), 0);
    };
    LocalSet::new().run_until(test).await;
}
