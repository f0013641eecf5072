"""Request path of an entry instance: routing, placement and sending."""
