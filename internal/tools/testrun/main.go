// Command testrun reads the output of go test -json from standard input and
// checks it against KNOWN-RED.txt. It prints the failures that the file lists
// and tolerates them. It exits with 1 on any other failure, when a listed test
// passes, so that the list stays current, and when no test ran.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
)

// knownFailuresFile lists the tests that are known to fail.
const knownFailuresFile = "KNOWN-RED.txt"

// event is one line of the output of go test -json. Its fields have the names
// of the JSON keys.
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// report holds the results of a run, by "package TestName". A package's own
// result has an empty test name, so that its key ends with a space.
type report struct {
	passed, failed map[string]bool
	output         map[string][]string
}

func main() {
	knownFailures, err := readKnownFailures(knownFailuresFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	r, err := readResults(os.Stdin)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(r.printSummary(knownFailures))
}

// readKnownFailures returns the line of each listed test by "package TestName".
func readKnownFailures(file string) (map[string]string, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	knownFailures := map[string]string{}
	for s := bufio.NewScanner(f); s.Scan(); {
		line := strings.TrimSpace(s.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		name, _, _ := strings.Cut(line, "|")
		knownFailures[strings.TrimSpace(name)] = line
	}
	return knownFailures, nil
}

// readResults reads the results of a run.
func readResults(in io.Reader) (*report, error) {
	r := &report{passed: map[string]bool{}, failed: map[string]bool{}, output: map[string][]string{}}
	dec := json.NewDecoder(in)
	for {
		var e event
		err := dec.Decode(&e)
		if err == io.EOF {
			return r, nil
		}
		if err != nil {
			return nil, fmt.Errorf("reading the output of go test -json: %w", err)
		}
		r.add(e)
	}
}

// add records an event and prints the output of packages.
func (r *report) add(e event) {
	name := e.Package + " " + e.Test
	switch e.Action {
	case "output":
		r.output[name] = append(r.output[name], e.Output)
		if e.Test == "" {
			fmt.Print(e.Output)
		}
	case "pass":
		if e.Test != "" {
			r.passed[name] = true
		}
	case "fail":
		r.failed[name] = true
	}
}

// isKnownFailure reports whether a failure is listed, or is the failure of a
// parent test or package that is caused by listed failures alone.
func (r *report) isKnownFailure(name string, knownFailures map[string]string) bool {
	if _, ok := knownFailures[name]; ok {
		return true
	}
	prefix := strings.TrimSuffix(name, " ") + "/"
	if strings.HasSuffix(name, " ") {
		prefix = name
	}
	failedBelow, knownBelow := 0, 0
	for other := range r.failed {
		if other == name || !strings.HasPrefix(other, prefix) {
			continue
		}
		failedBelow++
		if r.isKnownFailure(other, knownFailures) {
			knownBelow++
		}
	}
	return failedBelow > 0 && failedBelow == knownBelow
}

// printSummary prints the unknown and the known failures and the totals. It
// returns the exit code.
func (r *report) printSummary(knownFailures map[string]string) int {
	code := 0
	for name := range r.failed {
		if r.isKnownFailure(name, knownFailures) {
			continue
		}
		code = 1
		fmt.Printf("FAILED %s\n%s", name, strings.Join(r.output[name], ""))
	}
	for name, line := range knownFailures {
		fmt.Println("KNOWN RED:", line)
		if r.passed[name] {
			fmt.Println("listed as failing but passes, remove it from the list:", name)
			code = 1
		}
	}
	if len(r.passed) == 0 {
		fmt.Println("no test ran")
		code = 1
	}
	failed := 0
	for name := range r.failed {
		if !strings.HasSuffix(name, " ") {
			failed++
		}
	}
	fmt.Printf("%d passed, %d failed\n", len(r.passed), failed)
	return code
}
