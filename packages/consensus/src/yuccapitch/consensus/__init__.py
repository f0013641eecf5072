"""Replicated log: election, replication, snapshots, storage."""
