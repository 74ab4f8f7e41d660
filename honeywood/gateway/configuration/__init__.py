"""What comes from outside, read and checked by hand: settings and configurations; errors say step and peer.

Start reading at settings.py and config.py.
"""
