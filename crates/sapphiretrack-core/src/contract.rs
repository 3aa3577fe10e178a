//! Contracts: what a customer may place, how urgent it is, and what may never run twice.

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
    /// SHA-256 of each key that the customer's callers may use, as lower-case hex.
    pub caller_keys_sha256: Vec<String>,
    /// The pools that the customer may use: models and plain services by name.
    pub pools: Arc<BTreeSet<String>>,
    /// The class of requests that name none.
    pub default_class: String,
    /// How much work the customer may place.
    pub limits: Limits,
    /// How urgent each kind of request is.
    pub classes: Arc<BTreeMap<String, ClassPolicy>>,
    /// Which requests are non-idempotent: they run at most once.
    #[serde(default)]
    pub non_idempotent: Vec<NonIdempotentRule>,
}

/// How much work a customer may place across the whole fleet.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Requests a second, on average.
    pub requests_per_s: f64,
    /// Prompt and generated tokens a second, on average.
    pub tokens_per_s: f64,
    /// How many seconds' worth may come at once.
    #[serde(default = "default_burst_s")]
    pub burst_s: f64,
    /// Requests in flight at a time.
    pub in_flight: u32,
}

/// How urgent a class of requests is.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ClassPolicy {
    /// 0 is the most urgent.
    pub priority: u8,
    /// When the whole answer is late.
    pub deadline_ms: u64,
    /// The part of a server's load bound that the class may fill, above 0 and up to 1.
    #[serde(default = "default_bound_share")]
    pub bound_share: f64,
}

/// Marks requests of a pool as non-idempotent.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct NonIdempotentRule {
    /// The pool.
    pub pool: String,
    /// The start of the paths that are meant; empty for all.
    #[serde(default)]
    pub path_prefix: String,
    /// Whether a caller may leave the idempotency key out: the request is then sent once.
    #[serde(default)]
    pub key_optional: bool,
}

impl Contract {
    /// The rule for a request, if it is non-idempotent.
    pub fn non_idempotent_rule(&self, pool: &str, path: &str) -> Option<&NonIdempotentRule> {
        self.non_idempotent
            .iter()
            .find(|rule| rule.pool == pool && prefix_covers(&rule.path_prefix, path))
    }

    /// The policy of a class, or of the default class for none.
    pub fn class<'a>(&'a self, name: Option<&'a str>) -> Option<(&'a str, &'a ClassPolicy)> {
        let name = name.unwrap_or(&self.default_class);
        self.classes
            .get_key_value(name)
            .map(|(name, policy)| (name.as_str(), policy))
    }
}

/// Why a contract is refused.
#[derive(Debug, Snafu)]
pub enum ContractError {
    /// The text is not TOML, or has an unknown or ill-typed key; the source names the line.
    #[snafu(display(
        "the contract cannot be read: {source}; hint: see docs/operators/contracts.md"
    ))]
    Syntax {
        /// Where and what.
        source: toml::de::Error,
    },
    /// A value is out of range.
    #[snafu(display("`{field}` {problem}; hint: {hint}"))]
    Value {
        /// The key.
        field: String,
        /// What is wrong with it.
        problem: String,
        /// What would be right.
        hint: &'static str,
    },
}

/// Reads and checks a contract.
pub fn parse_contract(text: &str) -> Result<Contract, ContractError> {
    let contract: Contract = toml::from_str(text).context(SyntaxSnafu)?;
    check_names(&contract)?;
    check_limits(&contract.limits)?;
    check_classes(&contract)?;
    Ok(contract)
}

/// SHA-256 of a key as lower-case hex.
pub fn sha256_hex(text: &str) -> String {
    Sha256::digest(text.as_bytes())
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}

/// What differs between two contracts: a line for each field, as `field: old -> new`.
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
