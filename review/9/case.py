"""One part of a prompt crashes each runner that begins to write an answer on it, right behind the first event."""
import functools, os, sys
FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
from crashing_part import crashing_part, run_case
# CRASH is for comparison only: before-head, after-head or after-event.
run_case(functools.partial(crashing_part, os.environ.get("CRASH", "after-event")), FOLDER)
