//! `ryectl explain`.

use ryerouter_wire::generated::v1;
use ryerouter_wire::generated::v1::operations_service_client::OperationsServiceClient;

use crate::ExitStatus;
use crate::arguments::ExplainArguments;
use crate::ctl_error::CtlError;
use crate::output::{Printer, Table};

use super::Context;

/// Shows why a recent request went where it went.
pub async fn explain(
    arguments: &ExplainArguments,
    context: &mut Context<'_>,
) -> Result<ExitStatus, CtlError> {
    let message = v1::ExplainRequest {
        request_id: arguments.request_id.clone(),
    };
    let call = |channel, request| async move {
        OperationsServiceClient::new(channel).explain(request).await
    };
    let answer = context.client.read(message, call).await?;
    let printer = &mut context.printer;
    match printer.json() {
        true => printer.value(&answer)?,
        false => print_answer(&answer, printer)?,
    }
    Ok(ExitStatus::Success)
}

fn print_answer(answer: &v1::ExplainResponse, printer: &mut Printer<'_>) -> Result<(), CtlError> {
    let mut summary = Table::new(["FIELD", "VALUE"]);
    let repeatable = if answer.repeatable {
        "yes"
    } else {
        "no: at most once"
    };
    let fields = [
        ("request", answer.request_id.clone()),
        ("node", answer.node.clone()),
        ("tenant", answer.tenant.clone()),
        ("pool", answer.pool.clone()),
        ("repeatable", repeatable.to_owned()),
        ("prompt tokens", answer.prompt_tokens.to_string()),
        ("queued ms", milliseconds(Some(answer.queued_us))),
        ("first token ms", milliseconds(answer.first_token_us)),
        ("total ms", milliseconds(answer.total_us)),
        ("outcome", answer.outcome.clone()),
        ("refusal reason", answer.refusal_reason.clone()),
        ("run state", answer.run_state.clone()),
    ];
    for (field, value) in fields {
        summary.add([field.to_owned(), value]);
    }
    printer.table(&summary)?;
    printer.line("")?;
    printer.table(&candidate_table(&answer.candidates))?;
    printer.line("")?;
    printer.table(&attempt_table(&answer.attempts))
}

fn candidate_table(candidates: &[v1::ExplainCandidate]) -> Table {
    let headings = [
        "CANDIDATE",
        "DATA CENTRE",
        "ESTIMATE MS",
        "CACHED TOKENS EXPECTED",
        "PASSED OVER",
    ];
    let mut table = Table::new(headings);
    for candidate in candidates {
        table.add([
            candidate.back_end.clone(),
            candidate.data_centre.clone(),
            milliseconds(Some(candidate.estimated_first_token_us)),
            candidate.expected_cached_tokens.to_string(),
            candidate.passed_over.clone(),
        ]);
    }
    table
}

fn attempt_table(attempts: &[v1::ExplainAttempt]) -> Table {
    let headings = [
        "ATTEMPT",
        "BACK END",
        "DATA CENTRE",
        "CACHED EXPECTED",
        "CACHED FOUND",
        "RUN STATE",
        "FAILURE",
    ];
    let mut table = Table::new(headings);
    for attempt in attempts {
        let found = attempt.cached_tokens;
        table.add([
            attempt.number.to_string(),
            attempt.back_end.clone(),
            attempt.data_centre.clone(),
            attempt.expected_cached_tokens.to_string(),
            found.map_or_else(String::new, |tokens| tokens.to_string()),
            attempt.run_state.clone(),
            attempt.failure.clone(),
        ]);
    }
    table
}

fn milliseconds(microseconds: Option<u64>) -> String {
    microseconds.map_or_else(String::new, |value| {
        format!("{:.1}", value as f64 / 1_000.0)
    })
}
