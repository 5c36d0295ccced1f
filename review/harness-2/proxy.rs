//! A proxy whose link can be cut: connections are then reset and new ones are not passed on.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// Starts a proxy from `listen` to `target`, which passes nothing on while `cut` is set.
pub fn start(listen: &str, target: &str, cut: &Arc<AtomicBool>) -> bool {
    let Ok(listener) = TcpListener::bind(listen) else {
        return false;
    };
    let (target, cut) = (target.to_owned(), Arc::clone(cut));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (target, cut) = (target.clone(), Arc::clone(&cut));
            thread::spawn(move || {
                if cut.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(other) = TcpStream::connect(&target) {
                    let (Ok(back), Ok(to)) = (stream.try_clone(), other.try_clone()) else {
                        return;
                    };
                    let there = Arc::clone(&cut);
                    thread::spawn(move || pass(to, back, &cut));
                    pass(stream, other, &there);
                }
            });
        }
    });
    true
}

fn pass(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool) {
    let _ = from.set_read_timeout(Some(Duration::from_millis(100)));
    let mut bytes = [0; 16384];
    while !cut.load(Ordering::SeqCst) {
        match from.read(&mut bytes) {
            Ok(0) => break,
            Ok(length) => {
                if to.write_all(&bytes[..length]).is_err() {
                    break;
                }
            }
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => break,
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
