//! TLS connections of callers and operators.

use std::path::{Path, PathBuf};

use sapphiretrack_caller::CallerClient;
use sapphiretrack_core::sha256_hex;
use sapphiretrack_tests::{ChildProcess, OPERATOR_KEY};
use sapphiretrack_tls::Trust;

/// A temporary folder with a self-signed certificate for 127.0.0.1 and its key.
struct Certificate {
    folder: PathBuf,
}

impl Certificate {
    fn new() -> Self {
        let folder = std::env::temp_dir().join(format!("sapphiretrack-tls-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("the folder is created");
        let names = vec![String::from("127.0.0.1")];
        let generated =
            rcgen::generate_simple_self_signed(names).expect("the certificate is generated");
        std::fs::write(folder.join("cert.pem"), generated.cert.pem()).expect("the file is written");
        std::fs::write(
            folder.join("key.pem"),
            generated.signing_key.serialize_pem(),
        )
        .expect("the file is written");
        Self { folder }
    }

    fn cert(&self) -> PathBuf {
        self.folder.join("cert.pem")
    }

    fn key(&self) -> PathBuf {
        self.folder.join("key.pem")
    }
}

impl Drop for Certificate {
    fn drop(&mut self) {
        drop(std::fs::remove_dir_all(&self.folder));
    }
}

async fn start_router(certificate: &Certificate) -> (ChildProcess, String, String) {
    let arguments = [
        String::from("--caller-address=127.0.0.1:0"),
        String::from("--operator-address=127.0.0.1:0"),
        String::from("--peer-address=127.0.0.1:0"),
        String::from("--cell-key=cell-key-of-the-tests"),
        format!("--operator-key-sha256={}", sha256_hex(OPERATOR_KEY)),
        format!("--tls-cert={}", certificate.cert().display()),
        format!("--tls-key={}", certificate.key().display()),
    ];
    let router = ChildProcess::start("sapphiretrackd", &arguments);
    let line = router.wait_line("event=\"100\"").await;
    let field = |name: &str| {
        let start = line
            .find(&format!(" {name}=\""))
            .expect("the line has the field")
            + name.len()
            + 3;
        let length = line[start..]
            .find('"')
            .expect("the field ends with a quote");
        format!("https://{}", &line[start..start + length])
    };
    let (callers, operators) = (field("callers"), field("operators"));
    (router, callers, operators)
}

async fn status_exit_code(router: &str, ca: Option<&Path>) -> Option<i32> {
    let mut arguments = vec![
        String::from("status"),
        format!("--router={router}"),
        format!("--operator-key={OPERATOR_KEY}"),
    ];
    arguments.extend(ca.map(|file| format!("--tls-ca={}", file.display())));
    ChildProcess::start("sapphiretrack", &arguments)
        .wait()
        .await
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_and_operators_connect_by_tls_to_routers_that_they_trust() {
    let certificate = Certificate::new();
    let (_router, callers, operators) = start_router(&certificate).await;

    assert_eq!(
        status_exit_code(&operators, Some(&certificate.cert())).await,
        Some(0)
    );
    assert_eq!(
        status_exit_code(&operators, None).await,
        Some(4),
        "an unknown certificate"
    );
    let plain = operators.replace("https://", "http://");
    assert_ne!(status_exit_code(&plain, None).await, Some(0), "without TLS");
    assert_eq!(
        status_exit_code(&operators, Some(&certificate.key())).await,
        Some(2)
    );

    let trust = Trust::from_pem_file(&certificate.cert()).expect("the file is a certificate");
    let entry = CallerClient::with_trust(&trust).entry(&callers, None).await;
    entry.expect("the router answers by TLS");
    assert!(CallerClient::new().entry(&callers, None).await.is_err());
}
