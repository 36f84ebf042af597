//! The calls of a demonstration.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ryerouter_core::Timestamp;
use ryerouter_core::claim::time_ordered_key;
use ryerouter_core::dispatch::Priority;
use ryerouter_core::identity::RequestId;
use serde_json::{Value, json};

use super::{Call, CallWork, DemoOptions};
use crate::cluster::FIRST_WEIGHTS;
use crate::scenario::Scenario;
use crate::workload::{GeneratedRequest, GeneratedWork, ModelPrompt, Workload};

/// One in this many answers of the model is not streamed.
const WHOLE_ANSWER_EVERY: usize = 4;
/// One in this many prompts goes to the completions call as plain text.
const COMPLETION_EVERY: usize = 9;
/// One in this many prompts must run at most once.
const MODEL_ONCE_EVERY: usize = 12;
/// One in this many requests that must run at most once is sent to two nodes.
const DUPLICATE_EVERY: usize = 2;
/// How long after the first the second of a pair is sent.
const DUPLICATE_DELAY: Duration = Duration::from_millis(2);
/// Length of the part of a scenario that is drawn at once while looking for enough requests.
const DRAW_SECONDS: f64 = 5.0;

/// Turns generated requests into calls.
struct CallPlanner<'a> {
    scenario: &'a Scenario,
    nodes: usize,
    random: ChaCha8Rng,
    once_count: usize,
}

/// The calls of a demonstration in the order in which they are sent; a call that is sent twice
/// counts once towards the number wanted.
pub fn plan_calls(options: &DemoOptions, nodes: usize) -> Vec<Call> {
    let mut planner = CallPlanner {
        scenario: &options.cluster.scenario,
        nodes,
        random: ChaCha8Rng::seed_from_u64(options.cluster.seed),
        once_count: 0,
    };
    let mut calls = Vec::new();
    for (number, request) in draw(options).into_iter().enumerate() {
        planner.plan(number, &request, &mut calls);
    }
    calls.sort_by_key(|call| call.sent_at);
    calls
}

fn draw(options: &DemoOptions) -> Vec<GeneratedRequest> {
    let mut scenario = options.cluster.scenario.clone();
    scenario.duration_seconds = DRAW_SECONDS;
    loop {
        let workload = Workload::generate(&scenario, FIRST_WEIGHTS, options.cluster.seed);
        if workload.requests.len() >= options.requests {
            let mut requests = workload.requests;
            requests.truncate(options.requests);
            return requests;
        }
        scenario.duration_seconds *= 2.0;
    }
}

impl CallPlanner<'_> {
    fn plan(&mut self, number: usize, request: &GeneratedRequest, calls: &mut Vec<Call>) {
        let mut call = match &request.work {
            GeneratedWork::Model(prompt) => self.model_call(number, request, prompt),
            GeneratedWork::Service => self.service_call(request),
        };
        call.node = request.session.0 as usize % self.nodes;
        if call.at_most_once_key.is_some() {
            self.once_count += 1;
            if self.once_count.is_multiple_of(DUPLICATE_EVERY) {
                call.is_duplicate = true;
                calls.push(self.second_of(&call));
            }
        }
        calls.push(call);
    }

    /// The same call at another node, as a caller sends it that gave up on the first.
    fn second_of(&self, call: &Call) -> Call {
        let mut second = call.clone();
        second.id.push_str("-again");
        second.node = (call.node + 1) % self.nodes;
        second.sent_at = call.sent_at.after(DUPLICATE_DELAY);
        second
    }

    fn model_call(
        &mut self,
        number: usize,
        request: &GeneratedRequest,
        prompt: &ModelPrompt,
    ) -> Call {
        let id = request.request.to_string();
        let model = self.scenario.model_pool.model.clone();
        let chat = !number.is_multiple_of(COMPLETION_EVERY);
        let stream = !number.is_multiple_of(WHOLE_ANSWER_EVERY);
        let once = request.at_most_once || number.is_multiple_of(MODEL_ONCE_EVERY);
        let mut body = json!({
            "model": model,
            "stream": stream,
            "max_tokens": prompt.output_tokens,
        });
        let text = if chat {
            let (messages, text) = chat_prompt(prompt, &request.request);
            body["messages"] = messages;
            text
        } else {
            let text = plain_prompt(prompt, &request.request);
            body["prompt"] = Value::from(text.as_str());
            text
        };
        let path = if chat {
            "/v1/chat/completions"
        } else {
            "/v1/completions"
        };
        Call {
            path: path.to_owned(),
            body: Bytes::from(body.to_string()),
            priority: prompt.priority,
            at_most_once_key: once.then(|| self.fresh_key()),
            work: CallWork::Model {
                model,
                prompt: text,
                chat,
                stream,
                output_tokens: prompt.output_tokens,
            },
            ..self.call(id, request)
        }
    }

    fn service_call(&mut self, request: &GeneratedRequest) -> Call {
        let id = request.request.to_string();
        let pool = &self.scenario.service_pool.name;
        let target = format!("/orders/{id}");
        let key = self.fresh_key();
        Call {
            path: format!("/services/{pool}{target}"),
            body: Bytes::from(json!({"order": id}).to_string()),
            at_most_once_key: request.at_most_once.then(|| key.clone()),
            work: CallWork::Service {
                target,
                counted_as: key,
            },
            ..self.call(id, request)
        }
    }

    fn call(&self, id: String, request: &GeneratedRequest) -> Call {
        Call {
            id,
            tenant: request.tenant.to_string(),
            node: 0,
            sent_at: request.sent_at,
            path: String::new(),
            body: Bytes::new(),
            priority: Priority::Interactive,
            deadline: request.patience,
            at_most_once_key: None,
            is_duplicate: false,
            work: CallWork::Service {
                target: String::new(),
                counted_as: String::new(),
            },
        }
    }

    fn fresh_key(&mut self) -> String {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let millis = since_epoch.unwrap_or_default().as_millis() as u64;
        time_ordered_key(Timestamp::from_millis(millis), self.random.random()).to_string()
    }
}

/// The prompt as chat messages, and as the engine reads them. The last message names the request,
/// so that no two prompts are the same while their prefixes stay shared.
fn chat_prompt(prompt: &ModelPrompt, request: &RequestId) -> (Value, String) {
    let last = prompt.messages.len().saturating_sub(1);
    let mut messages = Vec::new();
    let mut whole = String::new();
    for (number, message) in prompt.messages.iter().enumerate() {
        let mut text = message.text.to_string();
        if number == last {
            text.push_str(&request_mark(request));
        }
        whole.push_str(&format!("{}\n{text}\n", message.role));
        messages.push(json!({"role": message.role, "content": text}));
    }
    (Value::from(messages), whole)
}

fn plain_prompt(prompt: &ModelPrompt, request: &RequestId) -> String {
    let texts = prompt.messages.iter().map(|message| message.text.as_ref());
    let mut whole = texts.collect::<Vec<_>>().join("\n");
    whole.push_str(&request_mark(request));
    whole
}

fn request_mark(request: &RequestId) -> String {
    format!(" (request {request})")
}
