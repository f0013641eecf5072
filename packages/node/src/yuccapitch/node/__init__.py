"""The yuccapitchd daemon: settings, wiring, roles, signals."""
