package warmup_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/warmup"
)

const length = 3 * time.Second

var start = time.UnixMilli(1_700_000_000_000)

func at(d time.Duration) time.Time { return start.Add(d) }

// old is an upstream that started long ago.
func old() warmup.Coldness { return warmup.New(at(-time.Hour), 0, length, start) }

// An upstream that starts in traffic is known to be cold by whichever source says it first.
func TestNewIncarnationIsCold(t *testing.T) {
	g := NewWithT(t)
	byRecord := warmup.New(time.Time{}, 2*time.Second, length, start)
	byStart := warmup.New(at(-time.Second), 0, length, start)
	ahead, warm := warmup.New(at(time.Hour), 0, length, start), old()
	g.Expect([]time.Duration{byRecord.Left(start), byStart.Left(start), ahead.Left(start), warm.Left(start)}).To(Equal([]time.Duration{2 * time.Second, 2 * time.Second, length, 0}))
}

// An upstream turns cold in use. What was written or said before says nothing of that.
func TestUpstreamTurnsColdAgain(t *testing.T) {
	g := NewWithT(t)
	c := old()
	g.Expect([]bool{c.ApplyRecord(0, start), c.ApplyRecord(length, start), c.ApplyRecord(length, at(time.Second))}).To(Equal([]bool{false, true, false}))
	g.Expect(c.Left(at(time.Second))).To(Equal(2*time.Second), "a record that is read again isn't news")
	c.ApplyRecord(0, at(time.Second))
	g.Expect(c.Left(at(time.Second))).To(BeZero())
	c.ApplyAnswer(length, at(time.Second))
	c.ApplyRecord(200*time.Millisecond, at(2*time.Second))
	c.ApplyRecord(0, at(2*time.Second))
	g.Expect(c.Left(at(2*time.Second))).To(Equal(2*time.Second), "older than the answer")
}

// A later incarnation takes the requests for the earlier one, which each load report says, and
// a data centre is given back while nobody can read whether its upstreams are cold.
func TestLaterStartAndReturn(t *testing.T) {
	g := NewWithT(t)
	c := old()
	c.ApplyLaterStart(at(-time.Second), length, start)
	c.ApplyLaterStart(at(-time.Second), length, at(2*time.Second))
	g.Expect(c.Left(at(2 * time.Second))).To(Equal(time.Second))
	unheard, told := old(), old()
	told.ApplyRecord(length, start)
	unheard.ApplyReturn(length, at(2*time.Second))
	told.ApplyReturn(length, at(2*time.Second))
	g.Expect([]time.Duration{unheard.Left(at(2 * time.Second)), told.Left(at(2 * time.Second))}).To(Equal([]time.Duration{length, time.Second}))
}
