"""Traffic steering decisions without I/O: endpoint choice, limits, retries, claims."""
