"""The replicated catalogue: acceptance, leases, distribution, audit trail."""
