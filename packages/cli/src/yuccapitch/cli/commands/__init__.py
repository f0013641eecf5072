"""The commands, one module a matter; each registers its classes in `base`."""
