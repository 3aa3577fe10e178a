//! A crowd sends bodies that stop one byte short of their end and stays open; others ask for a pallet meanwhile.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::AsFd;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{sleep, spawn};
use std::time::Duration;

use nix::poll::{PollFd, PollFlags, PollTimeout, poll};
use nix::sys::resource::{Resource, getrlimit, setrlimit};
use socket2::{Domain, Socket, Type};

use crate::ordinary::ask_all;
use crate::server::Answers;
use crate::{Fleet, KEY, Place, request};

/// The clients, and the threads that drive them.
const CLIENTS: usize = 2_800;
const THREADS: usize = 8;
/// The length of a body.
const BODY_BYTES: usize = 32_000;
/// The descriptors that the machine has, and those that this process needs.
const MACHINE_DESCRIPTORS: u64 = 4_100;
const OWN_DESCRIPTORS: u64 = 6_000;

pub fn run(place: &Place) -> std::io::Result<bool> {
    // The router gets what its machine has; this process more.
    let (_, most) = getrlimit(Resource::RLIMIT_NOFILE)?;
    if most < OWN_DESCRIPTORS {
        return Err(std::io::Error::other("too few descriptors"));
    }
    setrlimit(Resource::RLIMIT_NOFILE, MACHINE_DESCRIPTORS, most)?;
    let answers = Answers {
        work_ms: 30,
        body_bytes: |_| 800,
        is_stream: false,
        is_recorded: false,
    };
    let fleet = Arc::new(Fleet::start(place, ("plant-app", 3, 6), answers)?);
    setrlimit(Resource::RLIMIT_NOFILE, OWN_DESCRIPTORS, most)?;
    let is_over = Arc::new(AtomicBool::new(false));
    let (sent, closed) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let clients = if fleet.is_troubled { CLIENTS } else { 0 };
    fleet.record.note(format!(
        "{clients} clients send {BODY_BYTES} bytes each but for the last one, and stay"
    ));
    let threads: Vec<_> = (0..THREADS)
        .map(|_| {
            let (address, is_over) = (fleet.node.callers, is_over.clone());
            let (sent, closed) = (sent.clone(), closed.clone());
            spawn(move || press(address, clients / THREADS, &is_over, &sent, &closed))
        })
        .collect();
    sleep(Duration::from_secs(4));
    let is_broken = ask_all(&fleet);
    is_over.store(true, Ordering::Relaxed);
    threads.into_iter().for_each(|one| drop(one.join()));
    let (sent, closed) = (sent.load(Ordering::Relaxed), closed.load(Ordering::Relaxed));
    fleet.record.note(format!(
        "the crowd sent {sent} bodies; {closed} of their connections were closed"
    ));
    println!("the crowd sent {sent} bodies, {closed} connections were closed");
    Ok(is_broken)
}

struct Client {
    stream: TcpStream,
    /// What it has not sent yet.
    left: Vec<u8>,
}

impl Client {
    /// Opens a connection without waiting for it.
    fn open(address: SocketAddr, number: usize) -> Option<Self> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).ok()?;
        socket.set_nonblocking(true).ok()?;
        // It goes on in the background.
        let _ = socket.connect(&address.into());
        let text = request(
            "POST",
            "/recipe/brief",
            &format!("crowd-{number}"),
            Some(KEY),
            6_000,
            "",
            BODY_BYTES,
        );
        let mut left = text.into_bytes();
        left.resize(left.len() + BODY_BYTES - 1, b'x');
        Some(Self {
            stream: TcpStream::from(socket),
            left,
        })
    }

    /// Sends what it can and reads what there is. Returns false once the connection has ended, or was answered.
    fn advance(&mut self, sent: &AtomicUsize) -> bool {
        if !self.left.is_empty() {
            match self.stream.write(&self.left) {
                Ok(count) => drop(self.left.drain(..count)),
                Err(error) if is_early(&error) => {}
                Err(_) => return false,
            }
            if self.left.is_empty() {
                sent.fetch_add(1, Ordering::Relaxed);
            }
        }
        let mut answer = [0; 1_024];
        let read = self.stream.read(&mut answer);
        read.is_err_and(|error| is_early(&error))
    }
}

/// Whether nothing can be sent or read yet.
fn is_early(error: &std::io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::WouldBlock | ErrorKind::NotConnected
    )
}

/// Drives some clients. Each comes again when its connection was closed, or its request refused.
fn press(
    address: SocketAddr,
    count: usize,
    is_over: &AtomicBool,
    sent: &AtomicUsize,
    closed: &AtomicUsize,
) {
    let mut number = 0;
    let mut clients: Vec<Client> = Vec::new();
    while !is_over.load(Ordering::Relaxed) {
        while clients.len() < count {
            number += 1;
            match Client::open(address, number) {
                Some(client) => clients.push(client),
                None => break,
            }
        }
        let ready: Vec<bool> = {
            let mut polled: Vec<PollFd> = clients
                .iter()
                .map(|client| {
                    let wanted = match client.left.is_empty() {
                        true => PollFlags::POLLIN,
                        false => PollFlags::POLLIN | PollFlags::POLLOUT,
                    };
                    PollFd::new(client.stream.as_fd(), wanted)
                })
                .collect();
            if poll(&mut polled, PollTimeout::from(50_u8)).is_err() {
                return;
            }
            polled
                .iter()
                .map(|one| one.any().unwrap_or(false))
                .collect()
        };
        let mut ready = ready.into_iter();
        let before = clients.len();
        clients.retain_mut(|client| !ready.next().unwrap_or(false) || client.advance(sent));
        closed.fetch_add(before - clients.len(), Ordering::Relaxed);
    }
}
