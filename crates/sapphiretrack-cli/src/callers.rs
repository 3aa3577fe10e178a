//! Commands that send requests as a caller.

use std::io::Write;

use bytes::Bytes;
use sapphiretrack_caller::{CallerClient, RequestOptions};
use snafu::ResultExt;

use crate::command::{Chat, Options, with_scheme_of};
use crate::error::{CallerSnafu, CliError, RefusedSnafu, UsageSnafu};
use crate::table::json;

/// Looks up the routers that a caller should connect to.
pub(crate) async fn entry(options: &Options, zone: Option<&str>) -> Result<String, CliError> {
    let reply = CallerClient::with_trust(&options.trust)
        .entry(&options.caller_url, zone)
        .await
        .context(CallerSnafu)?;
    if options.json {
        return Ok(json(&reply));
    }
    let mut text = format!("valid for {} ms\n", reply.ttl_ms);
    for address in reply.addresses {
        text.push_str(&format!("{address}\n"));
    }
    Ok(text)
}

/// Sends one chat to the first router of the entry lookup and prints the answer as it arrives.
pub(crate) async fn chat(options: &Options, chat: &Chat) -> Result<String, CliError> {
    let client = CallerClient::with_trust(&options.trust);
    let entry = client
        .entry(&options.caller_url, None)
        .await
        .context(CallerSnafu)?;
    let Some(address) = entry.addresses.first() else {
        return UsageSnafu {
            problem: "the lookup returned no router",
        }
        .fail();
    };
    let body = serde_json::json!({
        "model": chat.model,
        "stream": true,
        "messages": [{ "role": "user", "content": chat.text }],
    });
    let request = RequestOptions {
        key: options.caller_key.clone(),
        workspace: chat.workspace.clone(),
        chat: chat.chat.clone(),
        class: chat.class.clone(),
        ..RequestOptions::default()
    };
    let url = with_scheme_of(&options.caller_url, address);
    let prints_text = !options.json;
    let answer = client
        .chat(&url, Bytes::from(body.to_string()), &request, |text| {
            if prints_text {
                print!("{text}");
                drop(std::io::stdout().flush());
            }
        })
        .await
        .context(CallerSnafu)?;
    if let Some(error) = answer.error {
        let error = error.error;
        let reason = format!("{} ({}): {}", error.message, error.outcome, error.hint);
        return RefusedSnafu { reason }.fail();
    }
    if options.json {
        return Ok(json(&serde_json::json!({
            "text": answer.body,
            "outcome": answer.outcome,
            "warm": answer.warm,
            "prompt_tokens": answer.prompt_tokens,
            "cached_tokens": answer.cached_tokens,
        })));
    }
    Ok(String::from("\n"))
}
