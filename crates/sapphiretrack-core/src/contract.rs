//! Contracts: a customer's limits, request classes, and requests that run at most once.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use snafu::{ResultExt, Snafu, ensure};

use crate::change::is_plain_name;
use crate::prefix_covers;

/// The contract of one customer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Contract {
    /// The customer's name, unique in the fleet.
    pub customer: String,
    /// SHA-256 digests of the customer's caller keys, in lower-case hex.
    pub caller_keys_sha256: Vec<String>,
    /// Names of the pools that the customer may use: models and plain services.
    pub pools: Arc<BTreeSet<String>>,
    /// The class of requests that do not name one.
    pub default_class: String,
    /// Limits of the customer's requests.
    pub limits: Limits,
    /// Request classes by name.
    pub classes: Arc<BTreeMap<String, ClassPolicy>>,
    /// Rules for non-idempotent requests, which run at most once.
    #[serde(default)]
    pub non_idempotent: Vec<NonIdempotentRule>,
}

/// Limits of a customer's requests across the whole fleet.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Average requests per second.
    pub requests_per_s: f64,
    /// Average prompt and generated tokens per second.
    pub tokens_per_s: f64,
    /// Allowed burst, in seconds of the average rate.
    #[serde(default = "default_burst_s")]
    pub burst_s: f64,
    /// Maximum number of requests in flight.
    pub in_flight: u32,
}

/// Urgency of a request class.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ClassPolicy {
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Time until the complete answer is due, in milliseconds.
    pub deadline_ms: u64,
    /// Fraction of a server's load bound that the class may fill, above 0 and up to 1.
    #[serde(default = "default_bound_share")]
    pub bound_share: f64,
}

/// Marks requests to a pool as non-idempotent.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct NonIdempotentRule {
    /// The pool's name.
    pub pool: String,
    /// Prefix of the paths that the rule applies to; empty for all paths.
    #[serde(default)]
    pub path_prefix: String,
    /// Whether the idempotency key may be omitted; the request is then sent only once.
    #[serde(default)]
    pub key_optional: bool,
}

impl Contract {
    /// The rule that applies to a request; `None` if the request is idempotent.
    pub fn non_idempotent_rule(&self, pool: &str, path: &str) -> Option<&NonIdempotentRule> {
        self.non_idempotent
            .iter()
            .find(|rule| rule.pool == pool && prefix_covers(&rule.path_prefix, path))
    }

    /// The name and policy of a class; of the default class if `name` is `None`.
    pub fn class<'a>(&'a self, name: Option<&'a str>) -> Option<(&'a str, &'a ClassPolicy)> {
        let name = name.unwrap_or(&self.default_class);
        self.classes
            .get_key_value(name)
            .map(|(name, policy)| (name.as_str(), policy))
    }
}

/// Why a contract is rejected.
#[derive(Debug, Snafu)]
pub enum ContractError {
    /// The text is not valid TOML, or a key is unknown or has the wrong type.
    #[snafu(display(
        "the contract cannot be read: {source}; hint: see docs/operators/contracts.md"
    ))]
    Syntax {
        /// The parse error with its line.
        source: toml::de::Error,
    },
    /// A value is out of range.
    #[snafu(display("`{field}` {problem}; hint: {hint}"))]
    Value {
        /// The key with the invalid value.
        field: String,
        /// What is wrong with the value.
        problem: String,
        /// How to correct it.
        hint: &'static str,
    },
}

/// Parses and validates a contract.
pub fn parse_contract(text: &str) -> Result<Contract, ContractError> {
    let contract: Contract = toml::from_str(text).context(SyntaxSnafu)?;
    check_names(&contract)?;
    check_limits(&contract.limits)?;
    check_classes(&contract)?;
    Ok(contract)
}

/// The SHA-256 digest of a key in lower-case hex.
pub fn sha256_hex(text: &str) -> String {
    Sha256::digest(text.as_bytes())
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}

/// The differences between two contracts: one line per field, as `field: old -> new`.
pub fn contract_differences(old: &Contract, new: &Contract) -> Vec<String> {
    let mut differences = Vec::new();
    let table = |contract| toml::Value::try_from(contract).ok();
    if let (Some(old), Some(new)) = (table(old), table(new)) {
        compare_values("", &old, &new, &mut differences);
    }
    differences
}

fn compare_values(path: &str, old: &toml::Value, new: &toml::Value, lines: &mut Vec<String>) {
    let (toml::Value::Table(old), toml::Value::Table(new)) = (old, new) else {
        if old != new {
            lines.push(format!("{path}: {old} -> {new}"));
        }
        return;
    };
    let fields: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    for field in fields {
        let path = match path {
            "" => field.clone(),
            path => format!("{path}.{field}"),
        };
        match (old.get(field), new.get(field)) {
            (Some(old), Some(new)) => compare_values(&path, old, new, lines),
            (None, Some(new)) => lines.push(format!("{path}: none -> {new}")),
            (Some(old), None) => lines.push(format!("{path}: {old} -> none")),
            (None, None) => {}
        }
    }
}

fn check_names(contract: &Contract) -> Result<(), ContractError> {
    let names = std::iter::once(("customer", &contract.customer))
        .chain(contract.pools.iter().map(|name| ("pools", name)))
        .chain(contract.classes.keys().map(|name| ("classes", name)));
    for (field, name) in names {
        ensure!(
            is_plain_name(name),
            ValueSnafu {
                field,
                problem: format!("has the name {name:?}"),
                hint: "use 1 to 64 letters, digits, `-`, `_` or `.`",
            }
        );
    }
    for key in &contract.caller_keys_sha256 {
        ensure!(
            key.len() == 64 && key.chars().all(|c| matches!(c, '0'..='9' | 'a'..='f')),
            ValueSnafu {
                field: "caller_keys_sha256",
                problem: "has an entry that is no SHA-256",
                hint: "write 64 lower-case hex digits: printf %s KEY | sha256sum",
            }
        );
    }
    Ok(())
}

fn check_limits(limits: &Limits) -> Result<(), ContractError> {
    let positive = [
        ("limits.requests_per_s", limits.requests_per_s),
        ("limits.tokens_per_s", limits.tokens_per_s),
        ("limits.burst_s", limits.burst_s),
        ("limits.in_flight", f64::from(limits.in_flight)),
    ];
    for (field, value) in positive {
        ensure!(
            value.is_finite() && value > 0.0,
            ValueSnafu {
                field,
                problem: format!("is {value}"),
                hint: "use a number above 0"
            }
        );
    }
    Ok(())
}

fn check_classes(contract: &Contract) -> Result<(), ContractError> {
    ensure!(
        contract.classes.contains_key(&contract.default_class),
        ValueSnafu {
            field: "default_class",
            problem: format!("is {:?}, which is no class here", contract.default_class),
            hint: "name one of the [classes]",
        }
    );
    for (name, class) in contract.classes.as_ref() {
        ensure!(
            class.deadline_ms > 0,
            ValueSnafu {
                field: format!("classes.{name}.deadline_ms"),
                problem: "is 0",
                hint: "use milliseconds above 0",
            }
        );
        ensure!(
            class.bound_share > 0.0 && class.bound_share <= 1.0,
            ValueSnafu {
                field: format!("classes.{name}.bound_share"),
                problem: format!("is {}", class.bound_share),
                hint: "use a share above 0 and up to 1",
            }
        );
    }
    for rule in &contract.non_idempotent {
        ensure!(
            contract.pools.contains(&rule.pool),
            ValueSnafu {
                field: "non_idempotent.pool",
                problem: format!("is {:?}, which is not in `pools`", rule.pool),
                hint: "name one of the pools",
            }
        );
    }
    Ok(())
}

fn default_burst_s() -> f64 {
    2.0
}

fn default_bound_share() -> f64 {
    1.0
}
