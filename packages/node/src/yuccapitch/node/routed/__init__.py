"""Instances that route requests by host and path prefix to a platform's services."""
