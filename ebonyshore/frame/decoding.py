"""The errors with which decoders of foreign bytes fail."""

# The errors of msgspec and of text codecs are value errors. Values that are nested too deeply raise
# ``RecursionError``, which is not.
DECODING_ERRORS = (ValueError, RecursionError)
