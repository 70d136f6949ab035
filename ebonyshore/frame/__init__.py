"""Infrastructure of every process: clock, kernel, tasks, logs, metrics, settings and errors."""
