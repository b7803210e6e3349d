package claim_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// commitInterval is the interval of a group commit, roundTrip the time from an
// entry's read of a partition to its write, and claimBytes the size of a claim
// in bytes.
const (
	commitInterval = 20 * time.Millisecond
	roundTrip      = 5 * time.Millisecond
	claimBytes     = 300
)

// partitioned returns the writes and the bytes per call, for the calls of one
// second, of a design in which each entry collects its claims for a
// commitInterval and then writes each partition that has claims. If another
// entry has written the partition within the roundTrip before, it is written
// again.
func partitioned(r *rand.Rand, entries, calls, partitions int) (writes, bytes float64) {
	type write struct {
		at        time.Duration
		partition int
	}
	batches := map[[3]int]bool{}
	for range calls {
		batch := [3]int{r.IntN(entries), r.IntN(int(time.Second / commitInterval)), r.IntN(partitions)}
		batches[batch] = true
	}
	var all []write
	for b := range batches {
		all = append(all, write{time.Duration(b[1])*commitInterval + time.Duration(r.Int64N(int64(commitInterval))), b[2]})
	}
	n := len(all)
	for i, w := range all {
		for _, o := range all[:i] {
			if o.partition == w.partition && (w.at-o.at).Abs() < roundTrip {
				n++
			}
		}
	}
	claimsPerPartition := float64(calls) * (7 * 24 * time.Hour).Seconds() / float64(partitions)
	return float64(n) / float64(calls), float64(n) / float64(calls) * claimsPerPartition * claimBytes
}

// BenchmarkClaimWrites compares one claim per key with partitioned group
// commits.
func BenchmarkClaimWrites(b *testing.B) {
	for _, size := range []struct{ entries, calls, partitions int }{{9, 20, 16}, {9, 20, 1024}, {9, 200, 16}, {330, 300, 16}, {330, 300, 1024}} {
		b.Run(fmt.Sprintf("entries=%d/calls=%d/partitions=%d", size.entries, size.calls, size.partitions), func(b *testing.B) {
			r := rand.New(rand.NewPCG(1, 1))
			var writes, bytes float64
			for range b.N {
				w, n := partitioned(r, size.entries, size.calls, size.partitions)
				writes, bytes = writes+w, bytes+n
			}
			b.ReportMetric(1, "writes/call")
			b.ReportMetric(claimBytes, "B/call")
			b.ReportMetric(writes/float64(b.N), "partitioned-writes/call")
			b.ReportMetric(bytes/float64(b.N), "partitioned-B/call")
		})
	}
}
