"""The catalogue: declarations, their validation, permissions, changes and audit."""
