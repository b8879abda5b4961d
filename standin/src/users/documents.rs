//! Initial documents of a deployment on the users' platform: the configuration
//! in the store and the settings file of an instance.

use std::net::IpAddr;
use std::net::SocketAddr;

use serde_json::Value;
use serde_json::json;

/// Environment variable with the path of the settings file.
pub const SETTINGS_VARIABLE: &str = "SNIPERUN_BOOT";
/// Store key of the configuration.
pub const CONFIGURATION_KEY: &str = "op/config";
/// Port on which an instance accepts callers.
pub const CALLERS_PORT: u16 = 8_080;
/// Port on which the load balancer checks readiness.
pub const READY_PORT: u16 = 8_081;
/// First port of the range for traffic between instances.
pub const PEERS_PORT: u16 = 7_540;

/// Builds a configuration whose route `/moved/` leads to the service `moved_to`.
pub fn configuration(version: u32, moved_to: &str) -> Value {
    let route = |path: &str, kind: &str, service: &str| {
        json!({
            "host": "a.example", "pathPrefix": path, "kind": kind, "service": service,
            "timeout": "3000ms", "latencySlo": "2000ms", "priority": 1, "maxAttempts": 2,
        })
    };
    json!({
        "version": format!("{version:08x}"),
        "routes": {
            "r-read": route("/read/", "idempotent", "reads"),
            "r-command": route("/command/", "non_idempotent", "gates"),
            "r-moved": route("/moved/", "idempotent", moved_to),
        },
        "services": {
            "reads": {"healthCheckPath": "/health", "maxConnections": 330, "protocol": "h1", "tls": false},
            "gates": {"healthCheckPath": "/health", "maxConnections": 330, "protocol": "h1", "tls": false},
        },
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
        "baseVersion": "00000001",
    })
}

/// Adds a route to a configuration that is like `/moved/` but for its path and kind.
pub fn add_route(configuration: &mut Value, name: &str, path: &str, kind: &str) {
    let mut route = configuration["routes"]["r-moved"].clone();
    route["pathPrefix"] = json!(path);
    route["kind"] = json!(kind);
    configuration["routes"][name] = route;
}

/// Builds the settings file of an instance at `ip` that uses the store at `store`.
pub fn boot_settings(name: &str, ip: IpAddr, store: SocketAddr) -> Value {
    json!({
        "self": {
            "nodeName": name, "role": "entry", "machineClass": "edge", "serves": ["edge"],
            "ip": ip, "zone": "north", "region": "here", "bootstrap": true, "dataDir": null,
            "limits": {"cpuShare": 0.2, "cores": 1, "memoryMb": 260, "maxFds": 4100},
        },
        "network": {
            "listen": {
                "front": SocketAddr::new(ip, CALLERS_PORT), "ready": SocketAddr::new(ip, READY_PORT),
            },
            "internalPortRange": [PEERS_PORT, PEERS_PORT + 15], "seeds": [], "zones": {"north": "here"},
        },
        "platform": {"platform": {"address": store.to_string(), "form": "kv"}},
        "terms": {"bounds": {
            "grace": "6s", "retryBudgetRatio": 0.2, "retrySlack": 56, "floorShare": 0.7,
        }},
    })
}
