"""The yuccapitch operator command line."""
