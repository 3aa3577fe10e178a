//! Estimate of a server's uncomputed prompt tokens from its delayed report and later sends.

use crate::PlacementSettings;

/// Prompt tokens that a router has sent to a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SentTokens {
    /// Uncached tokens, which the server was expected to compute.
    pub tokens: u32,
    /// Time since they were sent.
    pub age_ms: u64,
}

/// Estimates the prompt tokens that a server still has to compute.
///
/// Adds the tokens that this router sent after the report and subtracts those that the server can
/// have computed since then. Tokens sent by other routers appear in the next report.
pub fn backlog_tokens<Sent>(
    settings: &PlacementSettings,
    reported_tokens: u64,
    report_age_ms: u64,
    sent: Sent,
) -> u64
where
    Sent: IntoIterator<Item = SentTokens>,
{
    let recent = sent
        .into_iter()
        .filter(|tokens| tokens.age_ms < report_age_ms);
    let sent_tokens: u64 = recent.map(|sent| u64::from(sent.tokens)).sum();
    let computed = report_age_ms as f64 * 1_000.0 / settings.prefill_us_per_token.max(1.0);
    (reported_tokens + sent_tokens).saturating_sub(computed as u64)
}
