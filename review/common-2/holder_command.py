"""The command of a duty or link: notes its words with the machine's monotonic time."""

import sys
import time

if __name__ == "__main__":
    file, router, *words = sys.argv[1:]
    with open(file, "a") as out:
        out.write(f"{time.monotonic():.6f} {router} {' '.join(words)}\n")
