"""The settings pipe, which determines the settings in force."""
