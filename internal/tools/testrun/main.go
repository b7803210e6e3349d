// Command testrun judges the output of go test -json on its standard input: it
// passes over the failures that KNOWN-RED.txt lists and prints them. It exits 1 on any other failure, and when a listed
// test passes, so that the list stays true.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
)

const listFile = "KNOWN-RED.txt"

// event is one line of go test -json.
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// report collects the results of a run.
type report struct {
	passed, failed map[string]bool
	output         map[string][]string
}

func main() {
	known, err := readKnown(listFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	r, err := readRun(os.Stdin)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(r.judge(known))
}

// readKnown returns the listed tests as "package TestName" with their lines.
func readKnown(file string) (map[string]string, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	known := map[string]string{}
	for s := bufio.NewScanner(f); s.Scan(); {
		line := strings.TrimSpace(s.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		name, _, _ := strings.Cut(line, "|")
		known[strings.TrimSpace(name)] = line
	}
	return known, nil
}

// readRun collects the results of a run.
func readRun(in io.Reader) (*report, error) {
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

// covered says whether a failure is explained by a listed test: it is listed,
// or it is the parent test or package of a listed one that failed too.
func (r *report) covered(name string, known map[string]string) bool {
	if _, ok := known[name]; ok {
		return true
	}
	prefix := strings.TrimSuffix(name, " ") + "/"
	if strings.HasSuffix(name, " ") {
		prefix = name
	}
	below, listed := 0, 0
	for other := range r.failed {
		if other == name || !strings.HasPrefix(other, prefix) {
			continue
		}
		below++
		if r.covered(other, known) {
			listed++
		}
	}
	return below > 0 && below == listed
}

func (r *report) judge(known map[string]string) int {
	code := 0
	for name := range r.failed {
		if r.covered(name, known) {
			continue
		}
		code = 1
		fmt.Printf("FAILED %s\n%s", name, strings.Join(r.output[name], ""))
	}
	for name, line := range known {
		fmt.Println("KNOWN RED:", line)
		if r.passed[name] {
			fmt.Println("listed but passes, take it off the list:", name)
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
