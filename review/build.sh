#!/bin/bash
# Compiles the stand-ins of the cases into review/target; needs only the JDK. The build of the deploy file comes first.
cd "$(dirname "$0")" || exit 1
rm -rf target
mkdir -p target
exec javac --release 17 -d target src/*.java
