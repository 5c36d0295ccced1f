//! A proxy between a daemon and the store: a link that loses a packet once, so that what was sent
//! arrives when it is sent again.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::record::Record;

/// Delays, once, the first bytes towards the daemon that contain `marker`, by `delay`.
#[derive(Clone)]
pub struct Loss {
    pub marker: &'static str,
    pub delay: Duration,
    pub armed: Arc<AtomicBool>,
}

/// Starts a proxy for the store at `target`; returns its address.
pub fn start(target: SocketAddr, loss: &Loss, record: &Record) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let (loss, record) = (loss.clone(), record.clone());
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let Ok(server) = TcpStream::connect(target) else {
                continue;
            };
            let _ = client.set_nodelay(true);
            let _ = server.set_nodelay(true);
            let (Ok(client_reader), Ok(server_reader)) = (client.try_clone(), server.try_clone())
            else {
                continue;
            };
            thread::spawn(move || copy(client_reader, server, |_| {}));
            let (loss, record) = (loss.clone(), record.clone());
            thread::spawn(move || {
                copy(server_reader, client, |bytes| {
                    let marker = loss.marker.as_bytes();
                    let found = bytes.windows(marker.len()).any(|window| window == marker);
                    if found && loss.armed.swap(false, Ordering::SeqCst) {
                        record.line(format!(
                            "link between the daemon and the store: a packet is lost and sent again after {} ms",
                            loss.delay.as_millis()
                        ));
                        thread::sleep(loss.delay);
                    }
                });
            });
        }
    });
    Ok(address)
}

fn copy<B>(mut from: TcpStream, mut to: TcpStream, before: B)
where
    B: Fn(&[u8]),
{
    let mut buffer = vec![0; 64 * 1024];
    while let Ok(length) = from.read(&mut buffer) {
        if length == 0 {
            break;
        }
        before(&buffer[..length]);
        if to.write_all(&buffer[..length]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}
