package main

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// readLines reads a run from lines of go test -json.
func readLines(g *WithT, lines ...string) *report {
	r, err := readResults(strings.NewReader(strings.Join(lines, "\n")))
	g.Expect(err).NotTo(HaveOccurred())
	return r
}

const (
	passed        = `{"Action":"pass","Package":"p","Test":"TestA"}`
	failed        = `{"Action":"fail","Package":"p","Test":"TestB/one"}`
	failedOther   = `{"Action":"fail","Package":"p","Test":"TestB/two"}`
	failedParent  = `{"Action":"fail","Package":"p","Test":"TestB"}`
	failedPackage = `{"Action":"fail","Package":"p"}`
)

func TestPrintSummary(t *testing.T) {
	knownFailures := map[string]string{"p TestB/one": "p TestB/one | seen"}
	cases := []struct {
		name          string
		lines         []string
		knownFailures map[string]string
		code          int
	}{
		{"all pass", []string{passed}, nil, 0},
		{"a failure", []string{passed, failed, failedParent, failedPackage}, nil, 1},
		{"a listed failure and those of its parents", []string{passed, failed, failedParent, failedPackage}, knownFailures, 0},
		{"another failure beside a listed one", []string{passed, failed, failedOther, failedParent, failedPackage}, knownFailures, 1},
		{"a package that doesn't compile", []string{passed, `{"Action":"fail","Package":"q"}`}, knownFailures, 1},
		{"a listed test that passes", []string{`{"Action":"pass","Package":"p","Test":"TestB/one"}`}, knownFailures, 1},
		{"no test at all", nil, nil, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(readLines(g, c.lines...).printSummary(c.knownFailures)).To(Equal(c.code))
		})
	}
}
