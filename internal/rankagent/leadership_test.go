package rankagent

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/kvstore"
	"github.com/kingcupreel/kingcupreel/internal/ranks"
)

// If a leadership used more fences than fit into orderFenceBits, its orders would look
// newer than those of the next leadership. It has to end long before that.
func TestFencesOfALeadershipStayBelowTheNext(t *testing.T) {
	g := NewWithT(t)
	for era := range int64(2) {
		l := &leadership{term: 7, position: kvstore.Position{Era: era}}
		last := int64(0)
		for !l.fencesExhausted() {
			next := l.next()
			g.Expect(next).To(BeNumerically(">=", last+ranks.MaxSends))
			last = next
		}
		// A last switch of the largest group sends a few orders per rank after that.
		const largestSwitch = 64 * 200
		for range largestSwitch {
			last = l.next()
		}
		following := &leadership{term: 7, position: kvstore.Position{Era: era + 1}}
		if era == 1 {
			following = &leadership{term: 8}
		}
		g.Expect(last + ranks.MaxSends).To(BeNumerically("<", following.next()))
	}
}
