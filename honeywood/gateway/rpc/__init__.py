"""What carries bytes for both programs: connections by httpcore, listeners by uvicorn, our own calls.

Start reading at stream.py (one connection), connection.py (one exchange on it), server.py (listening) and
client.py."""
