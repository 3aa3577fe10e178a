//! Equal tables of contracts are kept once: they are the most of a contract's memory.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;

use serde::de::{Deserializer, MapAccess, Visitor};

use crate::{ClassPolicy, Contract};

/// How many different tables are looked through; the tables of further ones are not shared.
const MAX_KNOWN: usize = 64;

/// The different tables met so far.
#[derive(Default)]
pub(crate) struct SharedTables {
    pools: Vec<Arc<BTreeSet<String>>>,
    classes: Vec<Arc<BTreeMap<String, ClassPolicy>>>,
}

impl SharedTables {
    /// The tables of some contracts that are in force.
    pub(crate) fn of(contracts: &BTreeMap<String, Arc<Contract>>) -> Self {
        let mut tables = Self::default();
        for contract in contracts.values().take(MAX_KNOWN) {
            share(&mut tables.pools, &mut contract.pools.clone());
            share(&mut tables.classes, &mut contract.classes.clone());
        }
        tables
    }

    /// Replaces a contract's tables by equal ones that are there already.
    pub(crate) fn share(&mut self, contract: &mut Contract) {
        share(&mut self.pools, &mut contract.pools);
        share(&mut self.classes, &mut contract.classes);
    }
}

fn share<Table>(known: &mut Vec<Arc<Table>>, own: &mut Arc<Table>)
where
    Table: PartialEq,
{
    if let Some(equal) = known.iter().find(|known| *known == own) {
        *own = equal.clone();
    } else if known.len() < MAX_KNOWN {
        known.push(own.clone());
    }
}

/// Reads contracts by customer; each one's own tables are dropped before the next is read.
pub(crate) fn deserialize<'de, Source>(
    source: Source,
) -> Result<BTreeMap<String, Arc<Contract>>, Source::Error>
where
    Source: Deserializer<'de>,
{
    source.deserialize_map(ContractsVisitor)
}

struct ContractsVisitor;

impl<'de> Visitor<'de> for ContractsVisitor {
    type Value = BTreeMap<String, Arc<Contract>>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("contracts by customer")
    }

    fn visit_map<Access>(self, mut access: Access) -> Result<Self::Value, Access::Error>
    where
        Access: MapAccess<'de>,
    {
        let mut tables = SharedTables::default();
        let mut contracts = BTreeMap::new();
        while let Some((customer, mut contract)) = access.next_entry::<String, Contract>()? {
            tables.share(&mut contract);
            contracts.insert(customer, Arc::new(contract));
        }
        Ok(contracts)
    }
}
