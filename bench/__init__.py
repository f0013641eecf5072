"""Benchmarks that compare alternatives within one run and print the ratios."""
