"""HTTP towards callers and endpoints: look-up, request path, probes."""
