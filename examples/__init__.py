"""Programs that show egretlever at work, and example catalogues."""
