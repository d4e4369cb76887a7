# Reads KNOWN-RED.txt and the output of a failed "make test". It exits with 0 only if every package that failed did so
# by tests that are listed. A line of the list that starts with "parsleyhatch/" holds a package and a top-level test;
# an entry covers the subtests of its test.
FNR == NR {
	if ($1 ~ /^parsleyhatch(\/|$)/) known[$1 " " $2] = 1
	next
}
/^ *--- FAIL: / {
	split($3, name, "/")
	failed[name[1]] = 1
	next
}
# A package that ends by a panic, a time limit or a data race has not run all its tests.
/^panic: / || /^fatal error: / || /WARNING: DATA RACE/ { incomplete = 1 }
/^ok[ \t]/ { reset(); next }
/^FAIL\t/ {
	packages++
	found = 0
	for (test in failed) {
		found++
		if (($2 " " test) in known) print "known red: " $2 " " test
		else { print "failed: " $2 " " test; unknown++ }
	}
	if (!found || incomplete) { print "failed: " $2 " did not run to its end"; unknown++ }
	reset()
}
function reset() { delete failed; incomplete = 0 }
END { exit (packages > 0 && unknown == 0) ? 0 : 1 }
