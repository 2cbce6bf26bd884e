"""Value types shared by every library of the workspace."""
