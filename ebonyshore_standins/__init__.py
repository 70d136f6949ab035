"""Stand-ins for the systems around ebonyshore, for tests, the demo and the bench."""
