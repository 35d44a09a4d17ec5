#!/bin/bash
# Builds the stand-ins and the cases of the second review. They need nothing but the JDK.
set -e
cd "$(dirname "$0")/src-2"
rm -rf classes
javac --release 17 -Xlint:all -Xlint:-try -encoding UTF-8 -d classes ./*.java
