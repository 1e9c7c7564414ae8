"""Small stand-ins of what lies outside: the platform and backend servers."""
