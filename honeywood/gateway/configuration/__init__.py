"""Parses and validates external input: settings files and configurations become typed values.

Start reading at settings.py, model.py and reader.py.
"""
