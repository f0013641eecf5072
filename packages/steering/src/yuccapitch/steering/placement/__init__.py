"""Placement of requests on endpoints: selection, queueing and admission.

An endpoint is warm for the objects that it is assumed to have in its cache. It is cold
for all others, and altogether for a warm-up time after it starts.
"""
