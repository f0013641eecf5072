"""HTTP to clients and endpoints: entry look-up, request path and probes."""
