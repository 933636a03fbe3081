"""Order claims, which run an order at most once."""
