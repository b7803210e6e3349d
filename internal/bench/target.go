package bench

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/kingcupreel/kingcupreel/internal/membership"
)

// The sizes of the target deployment.
const (
	targetEntries      = 330.0
	targetUpstreams    = 5200.0
	targetRequestsPerS = 3000.0
	targetTokensPerS   = 1.1e6
	targetAccounts     = 1600.0
	targetModels       = 28.0
	targetDataCentres  = 11.0
	secondsPerDay      = 86400.0
	targetChangesPerS  = 8300.0 / secondsPerDay
	// tokensPerEntry and requestsPerEntry are the share of one entry at the peak,
	// per second, and tokensPerUpstream that of one agent.
	tokensPerEntry       = targetTokensPerS / targetEntries
	requestsPerEntry     = targetRequestsPerS / targetEntries
	tokensPerUpstream    = targetTokensPerS / targetUpstreams
	entriesPerDataCentre = targetEntries / targetDataCentres
	watchers             = targetDataCentres * membership.WatchersPerDataCentre
	// linksPerEntry is the maximum number of upstreams that an entry connects to,
	// linksPerAgent the mean number of entries connected to an agent.
	linksPerEntry = targetModels * (membership.MaxLocalUpstreams + membership.MaxRemoteUpstreams)
	linksPerAgent = linksPerEntry * targetEntries / targetUpstreams
	// groupRanks is the number of ranks of a model group.
	groupRanks = 64.0
	// targetRecords counts the upstreams, the client accounts and a few others.
	targetRecords = 6900.0
)

// The limits of control work per node, and of calls to the key-value service.
const (
	limitCorePercent      = 3.0
	limitMemoryBytes      = 32e6
	limitControlBytesPerS = 3e3
	limitKVReadsPerS      = 2000.0
	limitKVWritesPerS     = 300.0
)

// writeSlopeTable writes the table of all slopes, sorted by name.
func writeSlopeTable(w io.Writer, slopes map[string]Slope) {
	fmt.Fprintln(w)
	fmt.Fprintln(w, "### Slopes")
	fmt.Fprintln(w)
	fmt.Fprintln(w, "| slope | sizes measured | base | per size | fit R2 |")
	fmt.Fprintln(w, "|---|---|---|---|---|")
	for _, name := range slices.Sorted(maps.Keys(slopes)) {
		s := slopes[name]
		fmt.Fprintf(w, "| `%s` | %s | %s | %s | %.3f |\n", name, joinSizes(s.Sizes), quantity(s.Base, s.Unit), quantity(s.PerSize, s.Unit), s.FitR2)
	}
}

func joinSizes(sizes []float64) string {
	parts := make([]string, 0, len(sizes))
	for _, v := range sizes {
		parts = append(parts, fmt.Sprintf("%g", v))
	}
	return strings.Join(parts, ", ")
}
