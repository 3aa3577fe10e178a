//! Commands for the desired state of engines.

use sapphiretrack_operator::wire::{GoalReply, SetFencing, SetGoal};
use snafu::ResultExt;

use crate::command::Options;
use crate::contracts::client;
use crate::error::{CliError, RefusedSnafu, RouterSnafu};
use crate::table::json;

/// Sets the desired state of a backend server.
pub(crate) async fn set_goal(options: &Options, goal: &SetGoal) -> Result<String, CliError> {
    let reply = client(options).set_goal(goal).await.context(RouterSnafu)?;
    goal_reply_text(options, reply)
}

/// Sets whether a pool's engines check fencing numbers.
pub(crate) async fn set_fencing(
    options: &Options,
    fencing: &SetFencing,
) -> Result<String, CliError> {
    let reply = client(options).set_fencing(fencing).await;
    goal_reply_text(options, reply.context(RouterSnafu)?)
}

fn goal_reply_text(options: &Options, reply: GoalReply) -> Result<String, CliError> {
    if let Some(reason) = reply.problem {
        return RefusedSnafu { reason }.fail();
    }
    Ok(if options.json {
        json(&reply)
    } else {
        String::from("set; the router that holds the lease will apply it to the engines\n")
    })
}
