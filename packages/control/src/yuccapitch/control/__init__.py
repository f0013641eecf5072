"""Control plane: replicated catalogue, configuration leases and operator API."""
