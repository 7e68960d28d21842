"""What one instance knows of targets."""
