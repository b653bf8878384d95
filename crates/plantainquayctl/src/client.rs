//! HTTP client of the commands.

use ntex::client::Client;

/// Runs `operation` to completion on a new runtime and passes it an HTTP client.
pub(crate) fn with_client<T: 'static>(operation: impl AsyncFnOnce(Client) -> T + 'static) -> T {
    let system = ntex::rt::System::build()
        .name("plantainquayctl")
        .build(ntex::rt::DefaultRuntime);
    system.block_on(async move { operation(Client::new().await).await })
}
