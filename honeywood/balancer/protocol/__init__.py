"""What is said over the connections: parsers and writers, pure functions over a buffer."""
