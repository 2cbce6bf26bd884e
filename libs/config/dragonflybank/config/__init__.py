"""Host settings, operator configuration and deployment topology."""
