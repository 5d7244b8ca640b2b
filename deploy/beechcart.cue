// The operators' settings of this installation. What is not set here has its default:
// 'gatewayctl config schema' prints all fields, with units, defaults and ranges; 'gatewayctl config check' checks this file;
// 'gatewayctl config build' makes the JSON that BEECHCART_SETTINGS names.
//
// The platform's run line names no settings: all defaults hold there, and nothing beyond its page is on.

source: "changelog"

// An installation whose engines are in Consul would say:
//
//	source: "consul"
//	consul: {
//		addresses:  ["https://consul-1.internal:8501", "https://consul-2.internal:8501"]
//		service:    "engine"
//		token_file: "/etc/beechcart/consul.token"
//		ca_file:    "/etc/beechcart/ca.pem"
//	}
//	last_good: path: "/var/lib/beechcart/engines.list"
//	admin_socket: "/run/beechcart/admin.sock"
