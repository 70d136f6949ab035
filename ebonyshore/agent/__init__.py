"""What runs in an agent beside a target: order, concurrency, cancellation, fencing."""
