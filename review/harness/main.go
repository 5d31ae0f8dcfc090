// Command review-harness runs one case of the review: it starts 'target/thornwalkd entry' as separate
// processes on loopback addresses, with stand-ins of the store, the replicas, the balancer and the clients in
// this process, and judges one rule by what clients and replicas see. Exit codes: 0 the rule held, 1 it was
// broken, 2 the case could not run.
package main

import (
	"fmt"
	"os"
)

// scenario runs a case and reports whether the rule held.
type scenario func(run *caseRun) (held bool, err error)

var scenarios = map[string]scenario{"garble": runGarble, "cold": runCold, "versions": runVersions}

func main() {
	os.Exit(runCase(os.Args[1:]))
}

func runCase(arguments []string) int {
	if len(arguments) != 2 || scenarios[arguments[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-harness SCENARIO RECORD-FILE")
		return 2
	}
	run, err := newCaseRun(arguments[1], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "review-harness:", err)
		return 2
	}
	defer run.close()
	held, err := scenarios[arguments[0]](run)
	switch {
	case err != nil:
		run.record.write("could not run: %v", err)
		return 2
	case !held:
		run.record.write("RESULT: the rule was broken")
		return 1
	}
	run.record.write("RESULT: the rule held")
	return 0
}
