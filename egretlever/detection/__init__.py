"""Detection of gray failures and ejection above the floor."""
