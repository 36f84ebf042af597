#!/usr/bin/env bash
# CONFIG: a key is taken away while open connections to the store are silent. See claim.txt; status as in ../play.sh.
set -u
here=$(cd "$(dirname "$0")" && pwd)
source "$here/../play.sh"
play revoke "$here"
