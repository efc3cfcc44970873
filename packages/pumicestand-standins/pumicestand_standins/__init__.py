"""Stand-ins for the platform's stores, its targets and its clients."""
