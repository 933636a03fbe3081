"""Membership: gossip of node records and their servers."""
