//! Opens connections to backend servers on which the heads of answers are checked as they are read.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use futures::FutureExt;
use futures::future::BoxFuture;
use http::Uri;
use hyper_util::client::legacy::connect::{Connected, Connection, HttpConnector};
use hyper_util::rt::TokioIo;
use sapphiretrack_routing::HeadCheck;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tower_service::Service;

/// How the first line of each request that is sent ends.
const REQUEST_LINE_END: &[u8] = b" HTTP/1.1\r\n";

/// Opens checked connections.
#[derive(Clone, Debug)]
pub(crate) struct CheckedConnector(pub(crate) HttpConnector);

impl Service<Uri> for CheckedConnector {
    type Response = TokioIo<CheckedStream>;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = BoxFuture<'static, Result<Self::Response, Self::Error>>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.0.poll_ready(context)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let connecting = self.0.call(uri);
        let checked = async move {
            let stream = connecting.await?.into_inner();
            let head = HeadCheck::default();
            Ok(TokioIo::new(CheckedStream { stream, head }))
        };
        checked.boxed()
    }
}

/// A connection that carries one request at a time. A read fails if the head of an answer is none in the protocol.
#[derive(Debug)]
pub(crate) struct CheckedStream {
    stream: TcpStream,
    head: HeadCheck,
}

impl CheckedStream {
    /// Expects the head of another answer if these bytes begin a request. The rest of a body may be written after the head
    /// of its answer was read.
    fn record_write(&mut self, bytes: &[u8]) {
        let mut lines = bytes.split_inclusive(|byte| *byte == b'\n');
        let begins = lines
            .next()
            .is_some_and(|line| line.ends_with(REQUEST_LINE_END));
        if begins && self.head.has_ended() {
            self.head = HeadCheck::default();
        }
    }
}

impl Connection for CheckedStream {
    fn connected(&self) -> Connected {
        Connected::new()
    }
}

impl AsyncRead for CheckedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let checked = self.head.push(&buffer.filled()[before..]);
        let checked =
            checked.map_err(|fault| io::Error::new(io::ErrorKind::InvalidData, fault.as_str()));
        Poll::Ready(checked)
    }
}

impl AsyncWrite for CheckedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.record_write(bytes);
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if let Some(first) = slices.first() {
            self.record_write(first);
        }
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }
}
