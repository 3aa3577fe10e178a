//! Weighted rendezvous hashing (highest random weight).

/// The score of a node for a key; the node with the highest score is assigned the key.
///
/// The weight scales a node's share of the keys: `-weight / ln(u)` for a uniform `u`.
pub fn rendezvous_score(key: u64, node: u64, weight: f64) -> f64 {
    /// 2^53: every smaller integer is exactly representable as `f64`.
    const MANTISSA: f64 = (1_u64 << 53) as f64;
    let uniform = ((mix(key, node) >> 11) as f64 + 0.5) / MANTISSA;
    -weight / uniform.ln()
}

/// The `count` nodes with the highest scores for a key, best first.
pub fn top_by_rendezvous<Node, Id>(key: u64, nodes: &[Node], count: usize, id: Id) -> Vec<&Node>
where
    Id: Fn(&Node) -> (u64, f64),
{
    let mut scored: Vec<(f64, u64, &Node)> = nodes
        .iter()
        .map(|node| {
            let (node_id, weight) = id(node);
            (rendezvous_score(key, node_id, weight), node_id, node)
        })
        .collect();
    scored.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
    scored
        .into_iter()
        .take(count)
        .map(|(_, _, node)| node)
        .collect()
}

/// Mixes two hashes into one. Both inputs are already well distributed, so two rounds suffice.
fn mix(key: u64, node: u64) -> u64 {
    const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
    let mut value = key ^ node.rotate_left(32).wrapping_mul(MULTIPLIER);
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
