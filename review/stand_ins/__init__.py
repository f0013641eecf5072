"""Stand-ins for the platform, upstreams, clients and the operator of a deployment.

They need nothing but Python's standard library and follow PROTOCOL.md and DEPLOY.md.
"""
