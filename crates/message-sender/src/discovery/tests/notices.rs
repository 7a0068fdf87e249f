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

/// Guards against a message that is lost because its notice was written to a dead connection.
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
        // It stays open and does not respond.
        let (mut second, _) = listener.accept().await.unwrap();
        assert!(second.read(&mut [0; 4096]).await.unwrap() > 0);
        assert!(since.elapsed() < Duration::from_millis(1_500), "{:?}", since.elapsed());
        second.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").await.unwrap();
        assert!(matches!(events.recv().await, Some(SenderEvent::NoticesAcknowledged(ids)) if ids == [1]));
    };
    LocalSet::new().run_until(test).await;
}
