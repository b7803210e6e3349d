package wire

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("activity", func() {
	var start time.Time
	var a *activity
	at := func(d time.Duration) time.Time { return start.Add(d) }

	ginkgo.BeforeEach(func() {
		start = time.Unix(1000, 0)
		a = newActivity(Options{HeartbeatInterval: time.Second, SilenceTimeout: 3 * time.Second, IdleFactor: 4}, start)
	})

	ginkgo.It("multiplies heartbeat and silence timeout by the factor on an idle connection", func() {
		Expect(a.pingDue(at(3 * time.Second))).To(BeFalse())
		Expect(a.pingDue(at(4 * time.Second))).To(BeTrue())
		Expect(a.deadline(at(time.Second))).To(Equal(at(12 * time.Second)))
	})

	ginkgo.It("starts the silence timeout at the first frame of a request after an idle time", func() {
		Expect(a.markUsed(at(10 * time.Second))).To(BeTrue())
		Expect(a.markUsed(at(11 * time.Second))).To(BeFalse())
		Expect(a.deadline(at(11 * time.Second))).To(Equal(at(13 * time.Second)))
		Expect(a.pingDue(at(11 * time.Second))).To(BeTrue())
	})

	ginkgo.It("allows for a peer that becomes idle slightly earlier than this side", func() {
		// The two sides see the last frame of a request at different times. Here the
		// peer sends its last Ping at the short interval just before it becomes idle.
		a.markUsed(at(0))
		a.markReceived(at(activeWindow - time.Millisecond))
		Expect(a.deadline(at(activeWindow - time.Millisecond))).To(Equal(at(activeWindow - time.Millisecond + 3*time.Second)))
		late := at(activeWindow + 3*time.Second)
		Expect(a.deadline(late)).To(Equal(at(activeWindow - time.Millisecond + 12*time.Second)))
	})

	ginkgo.It("uses the short heartbeat if no factor is set", func() {
		a = newActivity(Options{HeartbeatInterval: time.Second, SilenceTimeout: 3 * time.Second}, start)
		Expect(a.pingDue(at(time.Second))).To(BeTrue())
		Expect(a.deadline(at(0))).To(Equal(at(3 * time.Second)))
	})
})
