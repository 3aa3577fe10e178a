//! TLS for servers: the certificate that a server presents.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use rustls::ServerConfig;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use snafu::{ResultExt, Snafu};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio_rustls::TlsAcceptor;
use tokio_rustls::server::TlsStream;

/// ALPN names of the HTTP versions that a server offers, the preferred one first.
const HTTP_VERSIONS: [&[u8]; 2] = [b"h2", b"http/1.1"];

/// A server's certificate chain and private key.
#[derive(Clone)]
pub struct Identity {
    acceptor: TlsAcceptor,
}

/// Why a certificate and key cannot be used.
#[derive(Debug, Snafu)]
pub enum IdentityError {
    /// A file cannot be read as PEM.
    #[snafu(display("{} cannot be read: {source}; hint: use a PEM file", file.display()))]
    ReadPem {
        /// The file.
        file: PathBuf,
        /// The cause.
        source: rustls::pki_types::pem::Error,
    },
    /// The certificate is invalid or does not match the key.
    #[snafu(display(
        "the certificate {} cannot be used with its key: {source}; \
         hint: --tls-key must be the private key of the certificate",
        file.display()
    ))]
    Mismatch {
        /// The file of the certificate.
        file: PathBuf,
        /// The cause.
        source: rustls::Error,
    },
}

impl Identity {
    /// Reads the certificate chain and the private key from PEM files.
    pub fn from_pem_files(cert: &Path, key: &Path) -> Result<Self, IdentityError> {
        let chain: Vec<CertificateDer<'static>> = CertificateDer::pem_file_iter(cert)
            .and_then(Iterator::collect)
            .context(ReadPemSnafu { file: cert })?;
        let key = PrivateKeyDer::from_pem_file(key).context(ReadPemSnafu { file: key })?;
        let mut config = ServerConfig::builder()
            .with_no_client_auth()
            .with_single_cert(chain, key)
            .context(MismatchSnafu { file: cert })?;
        config.alpn_protocols = HTTP_VERSIONS.map(<[u8]>::to_vec).to_vec();
        Ok(Self {
            acceptor: TlsAcceptor::from(Arc::new(config)),
        })
    }

    /// Performs the server side of the TLS handshake.
    pub async fn accept<Stream>(&self, stream: Stream) -> std::io::Result<TlsStream<Stream>>
    where
        Stream: AsyncRead + AsyncWrite + Unpin,
    {
        self.acceptor.accept(stream).await
    }
}
