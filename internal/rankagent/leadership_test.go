package rankagent

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/ranks"
)

// A tenure whose fences run out would go on with those of the next one, and its
// orders would be taken for newer than that one's. It ends long before.
func TestFencesOfATenureStayBelowTheNext(t *testing.T) {
	g := NewWithT(t)
	tn := &tenure{fence: 7}
	last := int64(0)
	for !tn.spent() {
		next := tn.next()
		g.Expect(next).To(BeNumerically(">=", last+ranks.MaxSends))
		last = next
	}
	// A switch of the largest group gives a few orders a rank after that.
	const largestSwitch = 64 * 200
	for range largestSwitch {
		last = tn.next()
	}
	g.Expect(last + ranks.MaxSends).To(BeNumerically("<", int64(8)<<fenceBits))
}
