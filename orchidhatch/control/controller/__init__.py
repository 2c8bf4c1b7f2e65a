"""The fleet controller and the tasks that it carries out."""
