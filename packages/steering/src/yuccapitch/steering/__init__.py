"""Pure steering decisions: choice, limits, retries, claims, drains."""
