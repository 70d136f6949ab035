#!/bin/sh
# Builds what the scripts of the second review start. All of it is Python and needs no compiling;
# the script checks that each module can be loaded after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH="target/deps:.:review/common2" PYTHONDONTWRITEBYTECODE=1 exec python3 -c "
import harness, servers
import ebonyshore_standins.platform_fleet, ebonyshore_standins.fleet_client"
