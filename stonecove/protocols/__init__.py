"""Protocol codecs and sessions without I/O."""
