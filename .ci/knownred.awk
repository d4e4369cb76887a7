# Reads KNOWN-RED.txt and the output of a failed "make test". It prints the failed tests and exits with 0 only if every
# package that failed did so by listed tests. A line of the list that starts with "parsleyhatch/" holds a package and a
# top-level test; an entry covers the subtests of its test. If a package timed out while only listed tests were running,
# it prints "rest PACKAGE TESTS": the other tests of the package have to be run without them.
FNR == NR {
	if ($1 ~ /^parsleyhatch(\/|$)/) known[$1 " " $2] = 1
	next
}
/^ *--- FAIL: / {
	split($3, name, "/")
	failed[name[1]] = 1
	next
}
/^panic: test timed out/ { timedOut = 1; next }
timedOut && /^\t\tTest.* \(/ {
	split($1, name, "/")
	hanging[name[1]] = 1
	next
}
# A package that panics or has a data race has not run all its tests.
/^panic: / || /^fatal error: / || /WARNING: DATA RACE/ { incomplete = 1 }
/^ok[ \t]/ { reset(); next }
/^FAIL\t/ {
	packages++
	found = 0
	rest = ""
	for (test in failed) { found++; check($2, test, "failed") }
	for (test in hanging) {
		found++
		check($2, test, "timed out")
		rest = rest (rest == "" ? "" : "|") test
	}
	if (!found || incomplete) { print "failed: " $2 " did not run to its end"; unknown++ }
	if (rest != "") print "rest " $2 " ^(" rest ")$"
	reset()
}
function check(package, test, how) {
	if ((package " " test) in known) print "known red: " package " " test " " how
	else { print "failed: " package " " test " " how; unknown++ }
}
function reset() { delete failed; delete hanging; incomplete = 0; timedOut = 0 }
END { exit (packages > 0 && unknown == 0) ? 0 : 1 }
