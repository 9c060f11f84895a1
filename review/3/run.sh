#!/bin/sh
# Case 3: see claim.txt. TROUBLE=0 runs it without the disruption. Exit status: 1 rule broken, 0 kept, 2 could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review/review/Case3.class ] && [ -f target/dockshed.jar ] || exit 2
exec java -Xmx256m -cp target/review review.Case3 review/3
