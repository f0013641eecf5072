"""Instances that serve routes by host and prefix, in front of a platform's services."""
