"""Plays a net of short days with the bench and prints one table of what came out."""
