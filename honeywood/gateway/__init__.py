"""The gateway: proxies on edge machines forward requests, controllers store configuration and rollouts.

Start reading at proxy/program.py and controller/program.py; docs/design/system.md explains the design.
"""
