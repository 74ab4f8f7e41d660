import sys

from honeywood.benchlink.adapter import main

sys.exit(main())
