"""Keys of the register's values and of records on the stores, as far as several modules use them."""

CONFIGURATION_KEY = "config"
ROLLOUT_PREFIX = "rollout/"  # before a service's name: its rollout
COUNT_PREFIX = "count/"  # before a proxy's node and incarnation: its counts and votes
CONTROLLER_PREFIX = "bourse/"  # before a controller's address: that there is one
