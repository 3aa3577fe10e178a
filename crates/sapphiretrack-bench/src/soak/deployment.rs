//! The two deployments that the soak simulates together.

use sapphiretrack_core::{hash_parts, sha256_hex};

use crate::load::{ClassMix, LoadSettings};
use crate::soak::settings::SoakSettings;

/// A customer with its pools, its contract and its load.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Deployment {
    pub(crate) customer: &'static str,
    pub(crate) model: &'static str,
    pub(crate) engines: usize,
    pub(crate) service: &'static str,
    pub(crate) services: usize,
    order_path: &'static str,
    lookup_path: &'static str,
    /// Name, priority, share of the arrivals, and deadline in milliseconds of each class.
    classes: &'static [(&'static str, u8, f64, u64)],
}

/// The deployments of the soak.
pub(crate) const DEPLOYMENTS: [Deployment; 2] = [
    Deployment {
        customer: "teranga",
        model: "assistant",
        engines: 9,
        service: "plant",
        services: 3,
        order_path: "labels/print",
        lookup_path: "pallets",
        classes: &[("urgent", 0, 0.1, 20_000), ("floor", 1, 0.9, 40_000)],
    },
    Deployment {
        customer: "monterrey",
        model: "language",
        engines: 12,
        service: "crew",
        services: 3,
        order_path: "work-orders",
        lookup_path: "permits",
        classes: &[
            ("alarm", 0, 0.1, 20_000),
            ("check", 1, 0.4, 30_000),
            ("review", 2, 0.5, 40_000),
        ],
    },
];

impl Deployment {
    /// Returns the customer's contract. Each change number gives another rate limit, so that no two
    /// changes are equal.
    pub(crate) fn contract_toml(&self, change: u64) -> String {
        let mut text = format!(
            r#"customer = "{}"
caller_keys_sha256 = ["{}"]
pools = ["{}", "{}"]
default_class = "{}"

[limits]
requests_per_s = {}
tokens_per_s = 10000000
in_flight = 5000

[[non_idempotent]]
pool = "{}"
path_prefix = "/{}"
"#,
            self.customer,
            sha256_hex(&self.caller_key()),
            self.model,
            self.service,
            self.classes[0].0,
            10_000 + change,
            self.service,
            self.order_path,
        );
        for (name, priority, _, deadline_ms) in self.classes {
            text.push_str(&format!(
                "\n[classes.{name}]\npriority = {priority}\ndeadline_ms = {deadline_ms}\n"
            ));
        }
        text
    }

    /// Returns the settings of the customer's load.
    pub(crate) fn load(&self, settings: &SoakSettings) -> LoadSettings {
        let classes = self.classes.iter();
        LoadSettings {
            key: self.caller_key(),
            model: self.model.to_owned(),
            service: self.service.to_owned(),
            order_path: self.order_path.to_owned(),
            lookup_path: self.lookup_path.to_owned(),
            requests_per_s: settings.requests_per_s,
            duration_s: settings.minutes * 60.0,
            max_requests: settings.max_requests,
            // With equal seeds, both deployments would send the same texts, and the check could
            // not tell whose request a fake server ran.
            seed: settings.seed ^ hash_parts(&[self.customer.as_bytes()]),
            classes: classes
                .map(|(name, _, share, late_after_ms)| ClassMix::new(name, *share, *late_after_ms))
                .collect(),
            progress: false,
            ..LoadSettings::default()
        }
    }

    fn caller_key(&self) -> String {
        format!("caller-key-of-{}", self.customer)
    }
}
