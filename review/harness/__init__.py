"""Stand-ins of the platform, its executors and its clients.

Only the standard library is used, so nothing has to be installed for a case.
The programs under test are started with the commands of the deploy file.
"""
