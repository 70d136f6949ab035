"""Ebonyshore serves online and batch inference on one fleet of targets."""
