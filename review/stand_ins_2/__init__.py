"""Stand-ins of the second review: deployment, platform, upstreams and clients."""
