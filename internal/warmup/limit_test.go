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

// entry is an entry with a share of one cold upstream, which sends as soon as it has a permit.
type entry struct {
	name  string
	share ratelimit.Share
}

// learn sets the entry's share by the names of the entries that it knows.
func (e *entry) learn(limit warmup.Limit, names []string) {
	place := slices.Index(membership.RendezvousOrder("warm-up:i-1", names), e.name)
	e.share.SetSpaced(limit.Interval(place, len(names)), at(time.Hour))
}

// names returns the names of n entries.
func names(prefix string, n int) []string {
	var list []string
	for i := range n {
		list = append(list, fmt.Sprint(prefix, i))
	}
	return list
}

// mostInASecond returns the largest number of moments in one second.
func mostInASecond(moments []time.Time) (most int) {
	slices.SortFunc(moments, time.Time.Compare)
	first := 0
	for i, m := range moments {
		for m.Sub(moments[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// send lets the entries send for a while in steps of 5 ms, each at a moment of its own within a
// step, and returns the moments.
func send(rng *rand.Rand, entries []*entry, from time.Time, d time.Duration, each func(time.Time)) (moments []time.Time) {
	for now := from; now.Before(from.Add(d)); now = now.Add(5 * time.Millisecond) {
		each(now)
		for _, e := range entries {
			if m := now.Add(rand.N(5 * time.Millisecond)); e.share.Wait(m) == 0 && rng.IntN(4) > 0 {
				e.share.Take(m)
				moments = append(moments, m)
			}
		}
	}
	return moments
}

func fleetOf(limit warmup.Limit, known []string, of []string) (list []*entry) {
	for _, name := range of {
		e := &entry{name: name}
		e.learn(limit, known)
		list = append(list, e)
	}
	return list
}

// A fleet of any size before one cold upstream, under more demand than it bears, uses most of
// the rate and never more than what crashes the upstream.
func TestColdUpstreamBearsAnyFleet(t *testing.T) {
	for _, n := range []int{1, 2, 5, 13, 14, 43, 65, 110, 330} {
		for _, limit := range []warmup.Limit{bound, {Rate: 0.5, Overage: 1, Allowance: 1}, {Rate: 3, Overage: 1}, {Rate: 200, Overage: 2}} {
			g := NewWithT(t)
			rng := rand.New(rand.NewPCG(uint64(n), 1))
			entries := fleetOf(limit, names("e", n), names("e", n))
			const duration = 20 * time.Second
			moments := send(rng, entries, start, duration, func(time.Time) {})
			what := fmt.Sprintf("%d entries, %+v", n, limit)
			g.Expect(float64(mostInASecond(moments))).To(BeNumerically("<=", max(limit.Rate, 1)), what)
			g.Expect(float64(len(moments))/duration.Seconds()).To(BeNumerically(">=", 0.3*limit.Rate), what)
		}
	}
}

// 43 entries before a cold upstream, and 32 more that join within a second. Some of the 43 are
// cut off and never see them; the others see them at moments of their own, and each of the new
// ones begins as soon as it knows all.
func TestColdUpstreamWhileEntriesJoin(t *testing.T) {
	g := NewWithT(t)
	worst := 0
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 2))
		before := names("e", 43)
		all := append(names("e", 43), names("joined", 32)...)
		entries := fleetOf(bound, before, before)
		entries = append(entries, fleetOf(bound, nil, all[43:])...)
		learnsAt := map[*entry]time.Time{}
		for i, e := range entries {
			if i >= 43 || rng.IntN(2) == 0 {
				learnsAt[e] = at(2*time.Second + time.Duration(rng.Int64N(int64(time.Second))))
			}
		}
		moments := send(rng, entries, start, 5*time.Second, func(now time.Time) {
			for e, when := range learnsAt {
				if !now.Before(when) {
					e.learn(bound, all)
					delete(learnsAt, e)
				}
			}
		})
		worst = max(worst, mostInASecond(moments))
	}
	t.Logf("most in a second: %d of %g", worst, bound.Rate*bound.Overage+bound.Allowance)
	g.Expect(float64(worst)).To(BeNumerically("<=", bound.Rate*bound.Overage+bound.Allowance))
}

// Entries of two halves of a fleet don't hear of each other.
func TestColdUpstreamBeforeADividedFleet(t *testing.T) {
	g := NewWithT(t)
	rng := rand.New(rand.NewPCG(1, 3))
	a, b := names("a", 30), names("b", 30)
	moments := send(rng, append(fleetOf(bound, a, a), fleetOf(bound, b, b)...), start, 10*time.Second, func(time.Time) {})
	g.Expect(mostInASecond(moments)).To(BeNumerically("<=", 26))
}

// Entries don't send to a cold upstream for minutes, and then all at once.
func TestUnusedPermitsOfAColdUpstream(t *testing.T) {
	g := NewWithT(t)
	entries := fleetOf(bound, names("e", 43), names("e", 43))
	sent := 0
	for _, now := range []time.Time{at(5 * time.Minute), at(5*time.Minute + 900*time.Millisecond)} {
		for _, e := range entries {
			for e.share.Wait(now) == 0 {
				e.share.Take(now)
				sent++
			}
		}
	}
	g.Expect(sent).To(Equal(13))
}

// A request that waits reserves a permit; the ones after it fall due later, and none remains
// once the upstream is warm.
func TestReservedPermitsOfAColdUpstream(t *testing.T) {
	g := NewWithT(t)
	var s ratelimit.Share
	s.SetSpaced(time.Second, at(2500*time.Millisecond))
	for _, wait := range []time.Duration{0, time.Second, 2 * time.Second, 2500 * time.Millisecond} {
		g.Expect(s.Wait(start)).To(Equal(wait))
		s.Take(start)
	}
	s.SetSpaced(1500*time.Millisecond, at(time.Minute))
	g.Expect(s.Wait(at(2100*time.Millisecond))).To(Equal(1400*time.Millisecond), "counted from the last reserved one")
	g.Expect(s.Limited(at(time.Minute))).To(BeFalse())
	s.SetSpaced(0, at(time.Minute))
	g.Expect(s.Wait(at(59 * time.Second))).To(Equal(time.Second))
}
