//! TLS: which certificates clients trust, and which one a server shows.

mod identity;

use std::path::{Path, PathBuf};

use hyper_rustls::{HttpsConnector, HttpsConnectorBuilder};
use hyper_util::client::legacy::connect::HttpConnector;
use rustls::pki_types::CertificateDer;
use rustls::pki_types::pem::PemObject;
use rustls::{ClientConfig, RootCertStore};
use snafu::{ResultExt, Snafu, ensure};

pub use identity::{Identity, IdentityError};

/// Connects to `http://` and `https://` addresses.
pub type Connector = HttpsConnector<HttpConnector>;

/// Which certificates a client trusts.
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

/// Why certificates cannot be trusted.
#[derive(Debug, Snafu)]
pub enum TrustError {
    /// The file cannot be read as PEM.
    #[snafu(display("{} cannot be read: {source}; hint: use a PEM file", file.display()))]
    Read {
        /// The file.
        file: PathBuf,
        /// Why.
        source: rustls::pki_types::pem::Error,
    },
    /// A certificate in the file cannot be used.
    #[snafu(display("a certificate of {} cannot be used: {source}", file.display()))]
    Certificate {
        /// The file.
        file: PathBuf,
        /// Why.
        source: rustls::Error,
    },
    /// The file has no certificate.
    #[snafu(display("{} has no certificate; hint: use the CA's PEM file", file.display()))]
    Empty {
        /// The file.
        file: PathBuf,
    },
}

impl Trust {
    /// Trusts the certificates of a PEM file and no others.
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

    /// A connector that trusts these certificates.
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
