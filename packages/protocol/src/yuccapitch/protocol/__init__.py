"""Thrift messages between instances, framing, request correlation and liveness."""
