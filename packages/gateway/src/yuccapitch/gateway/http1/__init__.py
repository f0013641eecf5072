"""HTTP/1.1 client and server with explicit control over connections."""
