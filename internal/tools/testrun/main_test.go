package main

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// run reads the lines of go test -json for the named results.
func run(g *WithT, lines ...string) *report {
	r, err := readRun(strings.NewReader(strings.Join(lines, "\n")))
	g.Expect(err).NotTo(HaveOccurred())
	return r
}

const (
	passed      = `{"Action":"pass","Package":"p","Test":"TestA"}`
	failed      = `{"Action":"fail","Package":"p","Test":"TestB/one"}`
	failedOther = `{"Action":"fail","Package":"p","Test":"TestB/two"}`
	failedAbove = `{"Action":"fail","Package":"p","Test":"TestB"}`
	failedWhole = `{"Action":"fail","Package":"p"}`
)

func TestJudge(t *testing.T) {
	known := map[string]string{"p TestB/one": "p TestB/one | seen"}
	cases := []struct {
		name  string
		lines []string
		known map[string]string
		code  int
	}{
		{"all pass", []string{passed}, nil, 0},
		{"a failure", []string{passed, failed, failedAbove, failedWhole}, nil, 1},
		{"a listed failure and what it fails above it", []string{passed, failed, failedAbove, failedWhole}, known, 0},
		{"another failure beside a listed one", []string{passed, failed, failedOther, failedAbove, failedWhole}, known, 1},
		{"a package that doesn't build", []string{passed, `{"Action":"fail","Package":"q"}`}, known, 1},
		{"a listed test that passes", []string{`{"Action":"pass","Package":"p","Test":"TestB/one"}`}, known, 1},
		{"no test at all", nil, nil, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(run(g, c.lines...).judge(c.known)).To(Equal(c.code))
		})
	}
}
