"""A router for keyed services whose servers own their keys exclusively."""
