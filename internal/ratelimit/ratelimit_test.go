package ratelimit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/ratelimit"
	"github.com/kingcupreel/kingcupreel/internal/standin"
)

// sends returns when entries that share a limit send to the upstream. Each has requests at
// random moments at the given mean rate.
func sends(rng *rand.Rand, limit float64, entries int, demand float64, duration time.Duration) []time.Time {
	start := time.UnixMilli(0)
	var moments []time.Time
	for range entries {
		var s ratelimit.Share
		s.Set(limit/float64(entries), rng.Float64(), start)
		for at := time.Duration(0); at < duration; at += time.Duration(rng.ExpFloat64() / demand * float64(time.Second)) {
			if now := start.Add(at); s.Wait(now) == 0 {
				s.Take(now)
				moments = append(moments, now)
			}
		}
	}
	return moments
}

// Guards against more requests than an upstream has said it takes, from few entries and from
// so many that each one's share is far below one request a second, under any demand.
func TestSharesKeepToTheLimitTogether(t *testing.T) {
	for _, entries := range []int{1, 3, 9, 25, 37, 330} {
		for _, limit := range []float64{0.1, 0.3, 0.6, 1, 2, 5, 20, 100} {
			for _, demand := range []float64{0.1, 1, 4} { // of each entry, in limits
				t.Run(fmt.Sprintf("%d entries, limit %g, demand %g", entries, limit, demand), func(t *testing.T) {
					t.Parallel()
					g := NewWithT(t)
					for seed := range uint64(10) {
						moments := sends(rand.New(rand.NewPCG(seed, 1)), limit, entries, demand*limit, 20*time.Second)
						most, allowed := standin.MostInLimitWindow(moments, limit)
						g.Expect(float64(most)).To(BeNumerically("<=", allowed), "seed %d", seed)
					}
				})
			}
		}
	}
}

// Permits that nobody uses must not add up: all entries may turn to the upstream at once.
func TestUnusedPermitsExpire(t *testing.T) {
	g := NewWithT(t)
	const entries, limit = 330, 2.0
	rng := rand.New(rand.NewPCG(1, 1))
	start := time.UnixMilli(0)
	turn := start.Add(10 * time.Minute)
	due := 0
	for range entries {
		var s ratelimit.Share
		s.Set(limit/entries, rng.Float64(), start)
		if s.Wait(turn) == 0 {
			due++
		}
	}
	_, allowed := standin.MostInLimitWindow(nil, limit)
	g.Expect(float64(due)).To(BeNumerically("<=", allowed))
}

func TestMostOfALimitIsUsed(t *testing.T) {
	g := NewWithT(t)
	const limit, duration = 5.0, 100 * time.Second
	for entries, fraction := range map[int]float64{1: 1, 9: 1, 37: 1, 100: 0.8} {
		n := len(sends(rand.New(rand.NewPCG(1, 1)), limit, entries, 10*limit, duration))
		g.Expect(float64(n)/duration.Seconds()).To(BeNumerically("~", fraction*limit, 0.1*limit), "%d entries", entries)
	}
}

func TestReservedPermitsFollowEachOther(t *testing.T) {
	g := NewWithT(t)
	now := time.UnixMilli(0)
	var s ratelimit.Share
	g.Expect(s.Wait(now)).To(BeZero(), "no limit")
	s.Take(now)
	s.Set(1, 0.5, now)
	g.Expect(s.Wait(now)).To(Equal(500 * time.Millisecond))
	s.Take(now)
	g.Expect(s.Wait(now)).To(Equal(1500 * time.Millisecond))
	s.Set(1, 0, now)
	g.Expect(s.Wait(now)).To(Equal(1500*time.Millisecond), "a repeated limit changes nothing")
	s.Set(2, 0.5, now)
	g.Expect(s.Wait(now)).To(Equal(250*time.Millisecond), "a higher limit takes effect at once")
	s.Set(0, 0.5, now)
	s.Take(now)
	g.Expect(s.Wait(now)).To(BeNumerically(">", time.Hour), "no requests are wanted")
	s.Clear()
	g.Expect(s.Wait(now)).To(BeZero())
}

func TestParseLimit(t *testing.T) {
	g := NewWithT(t)
	for text, want := range map[string]float64{"2.5": 2.5, " 3 ": 3, "0": ratelimit.MinLimit, "1e-9": ratelimit.MinLimit} {
		limit, ok := ratelimit.ParseLimit(text)
		g.Expect(ok).To(BeTrue(), text)
		g.Expect(limit).To(Equal(want), text)
	}
	for _, text := range []string{"", "x", "-1", "NaN", "Inf", "1e999"} {
		_, ok := ratelimit.ParseLimit(text)
		g.Expect(ok).To(BeFalse(), text)
	}
}
