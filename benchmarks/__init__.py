"""One command for each measure of the design."""
