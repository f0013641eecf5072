"""The commands, grouped by topic; each module registers its classes in `base`."""
