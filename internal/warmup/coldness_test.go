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

// An upstream that starts in traffic is known to be cold by whichever source says it first.
func TestNewIncarnationIsCold(t *testing.T) {
	g := NewWithT(t)
	byRecord := warmup.New(time.Time{}, 2*time.Second, length, start)
	g.Expect(byRecord.Left(start)).To(Equal(2 * time.Second))
	byStart := warmup.New(at(-time.Second), 0, length, start)
	g.Expect(byStart.Left(start)).To(Equal(2*time.Second), "its record doesn't say so")
	ahead := warmup.New(at(time.Hour), 0, length, start)
	g.Expect(ahead.Left(start)).To(Equal(length), "its clock is ahead")
	byAnswer := warmup.New(at(-time.Hour), 0, length, start)
	g.Expect(byAnswer.Left(start)).To(BeZero(), "a service in use doesn't starve after an entry's start")
	byAnswer.ApplyAnswer(time.Second, start)
	g.Expect(byAnswer.Left(at(400 * time.Millisecond))).To(Equal(600 * time.Millisecond))
	g.Expect(byAnswer.Left(at(time.Second))).To(BeZero())
}

// An upstream turns cold in use. A record that was written before says nothing of that.
func TestUpstreamTurnsColdAgain(t *testing.T) {
	g := NewWithT(t)
	c := warmup.New(at(-time.Hour), 0, length, start)
	g.Expect(c.ApplyRecord(0, start)).To(BeFalse())
	g.Expect(c.ApplyRecord(length, start)).To(BeTrue())
	g.Expect(c.ApplyRecord(length, at(time.Second))).To(BeFalse(), "a record that is read again isn't news")
	g.Expect(c.Left(at(time.Second))).To(Equal(2 * time.Second))
	c.ApplyRecord(500*time.Millisecond, at(time.Second))
	g.Expect(c.Left(at(time.Second))).To(Equal(500 * time.Millisecond))
	c.ApplyRecord(0, at(1200*time.Millisecond))
	g.Expect(c.Left(at(1200 * time.Millisecond))).To(BeZero())

	c.ApplyAnswer(length, at(5*time.Second))
	c.ApplyRecord(200*time.Millisecond, at(6*time.Second))
	c.ApplyRecord(0, at(6*time.Second))
	g.Expect(c.Left(at(6*time.Second))).To(Equal(2*time.Second), "older than the answer")
}

// A later incarnation under the same ID takes the requests that are meant for the earlier one.
func TestLaterStartAtTheAddress(t *testing.T) {
	g := NewWithT(t)
	c := warmup.New(at(-time.Hour), 0, length, start)
	c.ApplyLaterStart(at(-time.Second), length, start)
	g.Expect(c.Left(start)).To(Equal(length))
	c.ApplyLaterStart(at(-time.Second), length, at(2*time.Second))
	g.Expect(c.Left(at(2*time.Second))).To(Equal(time.Second), "each load report says so")
}

// A data centre is given back while its upstreams' records can't be read.
func TestUpstreamsOfAReturnedDataCentre(t *testing.T) {
	g := NewWithT(t)
	c := warmup.New(at(-time.Hour), 0, length, start)
	c.ApplyReturn(length, start)
	g.Expect(c.Left(start)).To(Equal(length))
	told := warmup.New(at(-time.Hour), 0, length, start)
	told.ApplyRecord(length, start)
	told.ApplyReturn(length, at(2*time.Second))
	g.Expect(told.Left(at(2*time.Second))).To(Equal(time.Second), "it has said when it is warm")
}
