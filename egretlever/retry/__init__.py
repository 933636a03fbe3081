"""Classification of attempts, retries, hedges and their budget."""
