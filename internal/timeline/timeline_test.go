package timeline_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/timeline"
)

func TestTimeline(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "timeline")
}

var _ = Describe("rings", func() {
	It("order a cause before its effect even if the clocks differ", func() {
		ahead := timeline.NewRing("ahead", 8, clockwork.NewFakeClockAt(time.Unix(2000, 0)))
		behind := timeline.NewRing("behind", 8, clockwork.NewFakeClockAt(time.Unix(1000, 0)))
		ahead.Add(timeline.Event{Kind: timeline.Dispatched})
		behind.Observe(ahead.Now())
		behind.Add(timeline.Event{Kind: timeline.AttemptStarted})
		ahead.Observe(behind.Now())
		ahead.Add(timeline.Event{Kind: timeline.Answered})
		var kinds []timeline.Kind
		for _, e := range timeline.Merge(behind.Events(), ahead.Events()) {
			kinds = append(kinds, e.Kind)
		}
		Expect(kinds).To(Equal([]timeline.Kind{timeline.Dispatched, timeline.AttemptStarted, timeline.Answered}))
	})

	It("keep the latest events, oldest first", func() {
		r := timeline.NewRing("p", 3, clockwork.NewFakeClock())
		for n := range int64(5) {
			r.Add(timeline.Event{Revision: n})
		}
		var kept []int64
		for _, e := range r.Events() {
			kept = append(kept, e.Revision)
		}
		Expect(kept).To(Equal([]int64{2, 3, 4}))
	})
})
