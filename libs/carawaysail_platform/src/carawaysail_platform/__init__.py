"""Clients of the platform's services: key-value service, VM list, runners, workers.

Each client has a narrow interface and one implementation over HTTP; tests replace it by
a small fake. Modules are imported one by one, because those that use urllib3 take as
long to load as all others of a daemon's libraries together.
"""
