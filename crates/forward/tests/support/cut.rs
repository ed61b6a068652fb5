//! Links of one instance to all targets, which a test cuts.

use {
    futures::{FutureExt, future::BoxFuture},
    std::{net::SocketAddr, time::Duration},
    tokio::{
        io::{copy_bidirectional, duplex},
        sync::watch,
        time::sleep,
    },
    wire::{BoxedStream, Connector, Error, TcpConnector},
};

/// Size of the buffer of a link, in bytes.
const BUFFER_BYTES: usize = 64 * 1024;

/// What links do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// They work.
    None,
    /// New connections are refused, and open ones live on.
    Refuse,
    /// New connections are refused, and open ones are closed.
    Reset,
    /// New connections are not answered, and open ones fall silent.
    Hang,
}

/// Links that a test cuts and heals.
pub struct Links(watch::Sender<Fault>);

impl Default for Links {
    fn default() -> Self {
        Self(watch::Sender::new(Fault::None))
    }
}

impl Links {
    pub fn set(&self, fault: Fault) {
        self.0.send_replace(fault);
    }
}

impl Connector for Links {
    fn connect(
        &self,
        address: SocketAddr,
        limit: Duration,
    ) -> BoxFuture<'_, Result<BoxedStream, Error>> {
        async move {
            let fault = *self.0.borrow();
            let refused = |message: &str| Error::Connect {
                address,
                message: message.into(),
            };
            match fault {
                Fault::None => {}
                Fault::Hang => {
                    sleep(limit).await;
                    return Err(refused("no answer"));
                }
                Fault::Refuse | Fault::Reset => return Err(refused("refused")),
            }
            let mut remote = TcpConnector.connect(address, limit).await?;
            let (near, mut far) = duplex(BUFFER_BYTES);
            let mut faults = self.0.subscribe();
            tokio::spawn(async move {
                let cut = async {
                    let cut = faults.wait_for(|fault| matches!(fault, Fault::Reset | Fault::Hang));
                    cut.await.is_ok_and(|fault| *fault == Fault::Hang)
                };
                tokio::select! {
                    _ = copy_bidirectional(&mut far, &mut remote) => {}
                    is_silent = cut => if is_silent {
                        std::future::pending::<()>().await;
                    }
                }
            });
            Ok(Box::new(near) as BoxedStream)
        }
        .boxed()
    }
}
