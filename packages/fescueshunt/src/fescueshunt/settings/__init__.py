"""The settings pipe: from store and peers to the settings in force."""
