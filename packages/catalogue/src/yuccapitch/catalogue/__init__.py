"""Declarations: ids, classes, limits, owners, validation, plan and diff."""
