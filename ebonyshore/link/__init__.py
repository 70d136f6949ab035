"""What passes between entries and agents: messages, codec, keys."""
