// Package soak runs the programs of the platform path as separate processes on
// loopback addresses, strikes them with faults in an order that a seed gives, and
// checks from what callers and upstreams see that the promises hold meanwhile.
package soak

import (
	"context"
	"flag"
	"os"
	"testing"

	"github.com/kingcupreel/kingcupreel/internal/daemon"
)

// roleVariable makes the test binary run as the daemon.
const roleVariable = "SOAK_DAEMON"

// ciSeeds are few, since CI runs them each time; more are run by hand with -soak.seeds.
const ciSeeds = 2

var (
	seeds = flag.Int("soak.seeds", ciSeeds, "number of seeds to run")
	first = flag.Uint64("soak.first", 1, "first seed")
)

func TestMain(m *testing.M) {
	if os.Getenv(roleVariable) != "" {
		os.Exit(daemon.Main(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
	}
	flag.Parse()
	os.Exit(m.Run())
}
