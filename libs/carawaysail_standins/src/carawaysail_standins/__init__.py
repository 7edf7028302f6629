"""Stand-ins for the platform's services and for targets, with injectable faults.

They serve the real protocols over loopback, in processes of their own or inside a
test. They do not model load or failures: a target takes the run time that the payload
states, shows the faults that a test has set, and counts what it started.
"""
