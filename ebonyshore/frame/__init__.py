"""The frame of a process: clock, kernel, tasks, logs, metrics, settings, errors."""
