"""The node: the parts assembled into a proxy."""
