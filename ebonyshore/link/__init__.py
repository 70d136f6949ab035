"""Communication between the processes: messages, encoding, encryption and load reports."""
