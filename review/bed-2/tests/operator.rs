//! The configuration that the operator writes.

/// A route of the configuration.
#[derive(Clone)]
pub struct Route {
    pub name: String,
    pub prefix: String,
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout_ms: u64,
    pub objective_ms: u64,
}

pub const HOST: &str = "customer.example";

pub fn configuration(version: u32, services: &[&str], routes: &[Route]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|route| {
            let Route {
                name,
                prefix,
                kind,
                service,
                timeout_ms,
                objective_ms,
            } = route;
            format!(
                "\"{name}\":{{\"host\":\"{HOST}\",\"pathPrefix\":\"{prefix}\",\"kind\":\"{kind}\",\"timeout\":\"{timeout_ms}ms\",\"latencySlo\":\"{objective_ms}ms\",\"priority\":1,\"service\":\"{service}\",\"maxAttempts\":2}}"
            )
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!(
                "\"{name}\":{{\"healthCheckPath\":\"/health\",\"maxConnections\":330,\"protocol\":\"h1\",\"tls\":false}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":\"{version:08x}\",\"routes\":{{{}}},\"services\":{{{}}},\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"}}}}",
        routes.join(","),
        services.join(",")
    )
}
