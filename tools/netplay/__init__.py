"""Runs many short test days with the bench and prints the results in one table."""
