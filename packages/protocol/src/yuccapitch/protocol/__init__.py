"""Inner thrift messages, framing, correlation and link liveness."""
