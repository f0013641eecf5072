"""Which endpoint serves a request, when, and which requests are refused."""
