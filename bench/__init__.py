"""Measurements, printed as ratios in one run."""
