"""The path of a routed request through an entry instance."""
