"""Parts of the steering experiment."""
