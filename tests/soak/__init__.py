"""A randomized soak test of control and entry processes on loopback."""
