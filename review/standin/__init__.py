"""Stand-ins for the platform, endpoints and requesters, after the users' pages."""
