"""Fakes of the system's environment: endpoints, the platform and the network."""
