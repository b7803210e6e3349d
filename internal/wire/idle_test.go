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

	ginkgo.It("lets an idle connection be quiet four times as long", func() {
		Expect(a.pingDue(at(3 * time.Second))).To(BeFalse())
		Expect(a.pingDue(at(4 * time.Second))).To(BeTrue())
		Expect(a.deadline(at(time.Second))).To(Equal(at(12 * time.Second)))
	})

	ginkgo.It("bounds the wait from the first frame of a request, however long the peer was quiet", func() {
		Expect(a.markUsed(at(10 * time.Second))).To(BeTrue())
		Expect(a.markUsed(at(11 * time.Second))).To(BeFalse())
		Expect(a.deadline(at(11 * time.Second))).To(Equal(at(13 * time.Second)))
		Expect(a.pingDue(at(11 * time.Second))).To(BeTrue())
	})

	ginkgo.It("never expects more of the peer than the peer knows of", func() {
		// The peer saw the last frame of a request earlier or later than this side:
		// its last quick ping came just before it turned idle.
		a.markUsed(at(0))
		a.markReceived(at(activeWindow - time.Millisecond))
		Expect(a.deadline(at(activeWindow - time.Millisecond))).To(Equal(at(activeWindow - time.Millisecond + 3*time.Second)))
		late := at(activeWindow + 3*time.Second)
		Expect(a.deadline(late)).To(Equal(at(activeWindow - time.Millisecond + 12*time.Second)))
	})

	ginkgo.It("keeps the quick heartbeat where no factor is set", func() {
		a = newActivity(Options{HeartbeatInterval: time.Second, SilenceTimeout: 3 * time.Second}, start)
		Expect(a.pingDue(at(time.Second))).To(BeTrue())
		Expect(a.deadline(at(0))).To(Equal(at(3 * time.Second)))
	})
})
