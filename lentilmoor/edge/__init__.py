"""Entries for platforms whose backend servers enforce grants themselves.

Such servers register in the platform's store, refuse a key that they were not
granted, and count grants down by their own clock. One entry, elected by a
lease, assigns keys; every entry routes straight to the servers. The wire is
the business of an adapter (see `ports`).
"""
