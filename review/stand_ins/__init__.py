"""Stand-ins for the platform, its store, servers and clients, over loopback."""
