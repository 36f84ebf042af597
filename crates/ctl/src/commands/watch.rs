//! `ryectl watch`.

use ryerouter_core::config::{Mutation, Resource};
use ryerouter_wire::generated::v1;
use ryerouter_wire::generated::v1::configuration_service_client::ConfigurationServiceClient;
use serde::Serialize;

use crate::ExitStatus;
use crate::arguments::WatchArguments;
use crate::ctl_error::CtlError;

use super::Context;

/// A change, as JSON.
#[derive(Serialize)]
struct ChangeView<'a> {
    config_version: u64,
    change_id: &'a str,
    author: &'a str,
    mutations: Vec<Mutation>,
}

/// Prints accepted changes as they come.
pub async fn watch(
    arguments: &WatchArguments,
    context: &mut Context<'_>,
) -> Result<ExitStatus, CtlError> {
    let after_version = match arguments.after {
        Some(version) => version,
        None => context.catalog().await?.version.0,
    };
    let channel = context.client.connect().await?;
    let mut client = ConfigurationServiceClient::new(channel);
    let request = context.client.request(v1::WatchRequest { after_version });
    let mut events = client.watch(request).await?.into_inner();
    let mut shown = 0;
    while let Some(event) = events.message().await? {
        print_event(event, context)?;
        context.printer.flush()?;
        shown += 1;
        if shown == arguments.count {
            break;
        }
    }
    Ok(ExitStatus::Success)
}

fn print_event(event: v1::WatchEvent, context: &mut Context<'_>) -> Result<(), CtlError> {
    let mutations = event.mutations.into_iter().map(Mutation::try_from);
    let mutations = mutations.collect::<Result<Vec<_>, _>>()?;
    if context.printer.json() {
        return context.printer.value(&ChangeView {
            config_version: event.config_version,
            change_id: &event.change_id,
            author: &event.author,
            mutations,
        });
    }
    let mut words: Vec<String> = mutations.iter().map(describe).collect();
    if words.is_empty() {
        words.push("progress kept by nodes".to_owned());
    }
    context.printer.line(&format!(
        "version {} by {} (change {}): {}",
        event.config_version,
        event.author,
        event.change_id,
        words.join(", ")
    ))
}

fn describe(mutation: &Mutation) -> String {
    match mutation {
        Mutation::Put {
            resource: Resource::BackEnd(back_end),
            ..
        } => format!("put back end {} ({:?})", back_end.name, back_end.state),
        Mutation::Put { resource, .. } => format!("put {}", resource.reference()),
        Mutation::Delete { reference, .. } => format!("delete {reference}"),
    }
}
