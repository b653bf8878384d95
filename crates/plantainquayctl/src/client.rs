//! The HTTP client.

use ntex::client::Client;

/// Carries out calls with a client.
pub(crate) fn with_client<T: 'static>(operation: impl AsyncFnOnce(Client) -> T + 'static) -> T {
    let system = ntex::rt::System::build()
        .name("plantainquayctl")
        .build(ntex::rt::DefaultRuntime);
    system.block_on(async move { operation(Client::new().await).await })
}
