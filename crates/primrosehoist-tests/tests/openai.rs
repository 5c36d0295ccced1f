//! An unmodified OpenAI client library can list models and stream completions.

mod common;

use async_openai::Client;
use async_openai::config::OpenAIConfig;
use async_openai::types::chat::{
    ChatCompletionRequestUserMessageArgs, CreateChatCompletionRequestArgs,
};
use futures_util::StreamExt;

use common::{Fleet, Layout};

const TOKENS: u32 = 9;

fn client(fleet: &Fleet) -> Client<OpenAIConfig> {
    let config = OpenAIConfig::new()
        .with_api_base(format!("http://{}/v1", fleet.daemons[0].caller))
        .with_api_key("key-north");
    Client::with_config(config)
}

#[tokio::test]
async fn client_library_lists_models_and_streams() {
    let fleet = tokio::task::spawn_blocking(|| Fleet::start(Layout::default())).await;
    let fleet = fleet.expect("the fleet starts");
    let client = client(&fleet);

    let models = client.models().list().await.expect("models are listed");
    let names: Vec<&str> = models.data.iter().map(|model| model.id.as_str()).collect();
    assert_eq!(names, ["braid-7b"]);

    let message = ChatCompletionRequestUserMessageArgs::default()
        .content("Which spool frays the strand?")
        .build()
        .expect("the message is valid");
    let request = CreateChatCompletionRequestArgs::default()
        .model("braid-7b")
        .max_tokens(TOKENS)
        .messages([message.into()])
        .build()
        .expect("the request is valid");

    let completion = client
        .chat()
        .create(request.clone())
        .await
        .expect("the completion succeeds");
    let text = completion.choices[0]
        .message
        .content
        .clone()
        .expect("the completion has content");
    assert_eq!(text.split_whitespace().count(), TOKENS as usize);

    let mut stream = client
        .chat()
        .create_stream(request)
        .await
        .expect("the stream starts");
    let mut streamed = String::new();
    while let Some(chunk) = stream.next().await {
        let chunk = chunk.expect("each chunk is valid");
        streamed.push_str(
            chunk.choices[0]
                .delta
                .content
                .as_deref()
                .unwrap_or_default(),
        );
    }
    assert_eq!(streamed, text);
    tokio::task::spawn_blocking(move || drop(fleet))
        .await
        .expect("the fleet shuts down");
}
