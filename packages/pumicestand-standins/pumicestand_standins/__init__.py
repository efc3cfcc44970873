"""Stand-ins for the platform, its targets and its callers."""
