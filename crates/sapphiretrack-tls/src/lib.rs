//! TLS: the certificates that clients trust, and the certificate that a server presents.

mod identity;

use std::path::{Path, PathBuf};

use hyper_rustls::{HttpsConnector, HttpsConnectorBuilder};
use hyper_util::client::legacy::connect::HttpConnector;
use rustls::pki_types::CertificateDer;
use rustls::pki_types::pem::PemObject;
use rustls::{ClientConfig, RootCertStore};
use snafu::{ResultExt, Snafu, ensure};

pub use identity::{Identity, IdentityError};

/// Connector for `http://` and `https://` addresses.
pub type Connector = HttpsConnector<HttpConnector>;

/// The root certificates that a client trusts. The default is none.
#[derive(Clone, Debug)]
pub struct Trust {
    roots: RootCertStore,
}

impl Default for Trust {
    fn default() -> Self {
        Self {
            roots: RootCertStore::empty(),
        }
    }
}

/// Why a file of trusted certificates cannot be used.
#[derive(Debug, Snafu)]
pub enum TrustError {
    /// The file cannot be read as PEM.
    #[snafu(display("{} cannot be read: {source}; hint: use a PEM file", file.display()))]
    Read {
        /// The file.
        file: PathBuf,
        /// The cause.
        source: rustls::pki_types::pem::Error,
    },
    /// A certificate in the file cannot be used.
    #[snafu(display("a certificate of {} cannot be used: {source}", file.display()))]
    Certificate {
        /// The file.
        file: PathBuf,
        /// The cause.
        source: rustls::Error,
    },
    /// The file contains no certificate.
    #[snafu(display("{} has no certificate; hint: use the CA's PEM file", file.display()))]
    Empty {
        /// The file.
        file: PathBuf,
    },
}

impl Trust {
    /// Trusts only the certificates in a PEM file.
    pub fn from_pem_file(file: &Path) -> Result<Self, TrustError> {
        let mut roots = RootCertStore::empty();
        let certificates = CertificateDer::pem_file_iter(file).context(ReadSnafu { file })?;
        for certificate in certificates {
            let certificate = certificate.context(ReadSnafu { file })?;
            roots.add(certificate).context(CertificateSnafu { file })?;
        }
        ensure!(!roots.is_empty(), EmptySnafu { file });
        Ok(Self { roots })
    }

    /// Creates a connector that trusts these certificates.
    pub fn connector(&self) -> Connector {
        let config = ClientConfig::builder()
            .with_root_certificates(self.roots.clone())
            .with_no_client_auth();
        HttpsConnectorBuilder::new()
            .with_tls_config(config)
            .https_or_http()
            .enable_http1()
            .build()
    }
}
