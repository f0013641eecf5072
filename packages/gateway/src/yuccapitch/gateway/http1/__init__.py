"""HTTP/1.1 with exact control over connections, towards callers and endpoints."""
