"""The adapter to the users' platform; only it uses the platform's names."""
