//! The prompt tokens that a server has yet to compute, from a late report and own sends.

use crate::PlacementSettings;

/// Prompt tokens that a router has sent to a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SentTokens {
    /// Tokens that the server was expected to compute.
    pub tokens: u32,
    /// How long ago.
    pub age_ms: u64,
}

/// The tokens that a server has yet to compute.
///
/// What it reported has been worked off since then, and what this router sent after the report
/// comes on top; other routers' sends show in the next report.
pub fn backlog_tokens<Sent>(
    settings: &PlacementSettings,
    reported_tokens: u64,
    report_age_ms: u64,
    sent: Sent,
) -> u64
where
    Sent: IntoIterator<Item = SentTokens>,
{
    let recent = sent.into_iter().filter(|one| one.age_ms < report_age_ms);
    let sent_tokens: u64 = recent.map(|one| u64::from(one.tokens)).sum();
    let computed = report_age_ms as f64 * 1_000.0 / settings.prefill_us_per_token.max(1.0);
    (reported_tokens + sent_tokens).saturating_sub(computed as u64)
}
