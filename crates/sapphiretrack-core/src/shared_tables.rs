//! Sharing of equal tables between contracts, since the tables take up most of their memory.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;

use serde::de::{Deserializer, MapAccess, Visitor};

use crate::{ClassPolicy, Contract};

/// Maximum number of distinct tables of each kind to search; further ones are not shared.
const MAX_TABLES: usize = 64;

/// The distinct tables found so far.
#[derive(Default)]
pub(crate) struct SharedTables {
    pools: Vec<Arc<BTreeSet<String>>>,
    classes: Vec<Arc<BTreeMap<String, ClassPolicy>>>,
}

impl SharedTables {
    /// Collects the tables of existing contracts.
    pub(crate) fn of(contracts: &BTreeMap<String, Arc<Contract>>) -> Self {
        let mut tables = Self::default();
        for contract in contracts.values().take(MAX_TABLES) {
            share(&mut tables.pools, &mut contract.pools.clone());
            share(&mut tables.classes, &mut contract.classes.clone());
        }
        tables
    }

    /// Replaces a contract's tables with equal ones found before, and adds new ones.
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
    } else if known.len() < MAX_TABLES {
        known.push(own.clone());
    }
}

/// Deserializes contracts by customer, and shares the tables of each before reading the next one.
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
