"""A randomized soak of the routed roles as real processes on loopback."""
