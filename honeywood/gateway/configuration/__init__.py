"""Input from outside, read and checked by hand: settings files and configurations, as typed values.

Start reading at settings.py, model.py and reader.py.
"""
