"""The command line for operators and the HTTP clients that it uses."""
