package warmup_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/membership"
	"github.com/kingcupreel/kingcupreel/internal/ratelimit"
	"github.com/kingcupreel/kingcupreel/internal/warmup"
)

var bound = warmup.Limit{Rate: 14, Overage: 1.5, Allowance: 5}

// learn sets an entry's share of a cold upstream if it knows the first n entries.
func learn(s *ratelimit.Share, limit warmup.Limit, self string, n int) {
	place := slices.Index(membership.RendezvousOrder("i-1", names(n)), self)
	s.SetSpaced(limit.Interval(place, n), at(time.Hour))
}

func names(n int) (list []string) {
	for i := range n {
		list = append(list, fmt.Sprint("e", i))
	}
	return list
}

// sent lets entries send whenever they have a permit, each at moments of its own, and returns
// the number of requests and the most within one second. each is called for each entry and
// moment before.
func sent(rng *rand.Rand, shares []ratelimit.Share, d time.Duration, each func(i int, now time.Time)) (total, most int) {
	var moments []time.Time
	for step := time.Duration(0); step < d; step += 5 * time.Millisecond {
		for i := range shares {
			now := at(step + time.Duration(rng.Int64N(int64(5*time.Millisecond))))
			if each(i, now); shares[i].Wait(now) == 0 && rng.IntN(4) > 0 {
				shares[i].Take(now)
				moments = append(moments, now)
			}
		}
	}
	slices.SortFunc(moments, time.Time.Compare)
	first := 0
	for i, m := range moments {
		for m.Sub(moments[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return len(moments), most
}

// A fleet of any size before one cold upstream, under more demand than it bears, uses most of
// the rate and never more than it.
func TestColdUpstreamBearsAnyFleet(t *testing.T) {
	for _, n := range []int{1, 2, 5, 13, 14, 43, 65, 110, 330} {
		for _, limit := range []warmup.Limit{bound, {Rate: 0.5, Overage: 1, Allowance: 1}, {Rate: 3, Overage: 1}, {Rate: 200, Overage: 2}} {
			g := NewWithT(t)
			shares := make([]ratelimit.Share, n)
			for i, name := range names(n) {
				learn(&shares[i], limit, name, n)
			}
			const duration = 10 * time.Second
			total, most := sent(rand.New(rand.NewPCG(uint64(n), 1)), shares, duration, func(int, time.Time) {})
			what := fmt.Sprintf("%d entries, %+v", n, limit)
			g.Expect(float64(most)).To(BeNumerically("<=", max(limit.Rate, 1)), what)
			g.Expect(float64(total)/duration.Seconds()).To(BeNumerically(">=", 0.3*limit.Rate), what)
		}
	}
}

// 43 entries before a cold upstream, and 32 more that join within a second. Half of the 43 are
// cut off and never see them, or the whole fleet is in two halves from the start.
func TestColdUpstreamWhileEntriesJoin(t *testing.T) {
	const before, after = 43, 75
	for _, begin := range []time.Duration{0, 2 * time.Second} {
		g := NewWithT(t)
		worst := 0
		for seed := range uint64(100) {
			rng := rand.New(rand.NewPCG(seed, 2))
			shares, learnsAt := make([]ratelimit.Share, after), make([]time.Time, after)
			for i, name := range names(after) {
				learn(&shares[i], bound, name, before) // a new one has no place among these
				if i >= before || i%2 == 0 {
					learnsAt[i] = at(begin + time.Duration(rng.Int64N(int64(time.Second))))
				}
			}
			_, most := sent(rng, shares, 5*time.Second, func(i int, now time.Time) {
				if !learnsAt[i].IsZero() && now.After(learnsAt[i]) {
					learn(&shares[i], bound, fmt.Sprint("e", i), after)
					learnsAt[i] = time.Time{}
				}
			})
			worst = max(worst, most)
		}
		t.Logf("most in a second: %d", worst)
		g.Expect(worst).To(BeNumerically("<=", 14*1.5+5))
	}
}

// Unused permits don't add up over minutes, and reserved ones keep their distance until the
// upstream is warm.
func TestUnusedAndReservedPermits(t *testing.T) {
	g := NewWithT(t)
	var unused, s ratelimit.Share
	learn(&unused, bound, "e0", 1)
	unused.Take(at(5 * time.Minute))
	g.Expect(unused.Wait(at(5 * time.Minute))).To(BeNumerically(">", time.Second/13))

	s.SetSpaced(time.Second, at(2500*time.Millisecond))
	for _, wait := range []time.Duration{0, time.Second, 2 * time.Second, 2500 * time.Millisecond} {
		g.Expect(s.Wait(start)).To(Equal(wait))
		s.Take(start)
	}
	s.SetSpaced(1500*time.Millisecond, at(time.Minute))
	g.Expect(s.Wait(at(2100*time.Millisecond))).To(Equal(1400*time.Millisecond), "counted from the last reserved one")
}
