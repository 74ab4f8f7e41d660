"""What carries bytes for both programs: connections by httpcore, listeners by uvicorn, our own calls.

Start reading at stream.py (one connection), link.py (one exchange on it), door.py (listening) and call.py.
"""
