//! Tests that the relay simulates each link state. Otherwise failure tests could pass without a
//! failure.

use {
    std::net::SocketAddr,
    suite::{LinkState, Relay, wait_until},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        sync::mpsc,
    },
};

/// Starts a server that sends each received byte back and to the returned channel.
async fn start_echo_server() -> (SocketAddr, mpsc::UnboundedReceiver<u8>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (sender, receiver) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let sender = sender.clone();
            tokio::spawn(async move {
                while let Ok(byte) = stream.read_u8().await {
                    let _ = (sender.send(byte), stream.write_u8(byte).await);
                }
            });
        }
    });
    (address, receiver)
}

#[tokio::test]
async fn dropped_replies_leave_requests_intact() {
    let (target, mut received) = start_echo_server().await;
    let relay = Relay::start(target).await.unwrap();
    let mut stream = TcpStream::connect(relay.address()).await.unwrap();
    relay.set(LinkState::DropReplies);
    stream.write_u8(1).await.unwrap();
    assert_eq!(received.recv().await, Some(1));
    wait_until("the reply is dropped", async || {
        Ok((relay.dropped_bytes() == 1).then_some(()))
    })
    .await
    .unwrap();
    relay.set(LinkState::Open);
    stream.write_u8(5).await.unwrap();
    assert_eq!(stream.read_u8().await.unwrap(), 5);
}

#[tokio::test]
async fn silent_link_holds_bytes_until_it_opens() {
    let (target, mut received) = start_echo_server().await;
    let relay = Relay::start(target).await.unwrap();
    let mut stream = TcpStream::connect(relay.address()).await.unwrap();
    relay.set(LinkState::Stalled);
    stream.write_u8(2).await.unwrap();
    assert!(received.try_recv().is_err());
    relay.set(LinkState::Open);
    assert_eq!(stream.read_u8().await.unwrap(), 2);
}

#[tokio::test]
async fn cut_link_closes_open_and_new_connections() {
    let (target, _seen) = start_echo_server().await;
    let relay = Relay::start(target).await.unwrap();
    let mut open = TcpStream::connect(relay.address()).await.unwrap();
    open.write_u8(3).await.unwrap();
    assert_eq!(open.read_u8().await.unwrap(), 3);
    relay.set(LinkState::Disconnected);
    assert!(open.read_u8().await.is_err());
    let mut new = TcpStream::connect(relay.address()).await.unwrap();
    assert!(new.read_u8().await.is_err());
    relay.set(LinkState::Open);
    wait_until("the link passes bytes again", async || {
        let mut stream = TcpStream::connect(relay.address()).await?;
        stream.write_u8(4).await?;
        Ok(Some(stream.read_u8().await?))
    })
    .await
    .unwrap();
}
