package rankagent

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Hundreds of entries must not cost a rank's small VM hundreds of datagrams every tenth of
// a second, nor may a report be so late that the entries think the rank is silent.
func TestLoadReportsAreSlowerToMoreEntries(t *testing.T) {
	g := NewWithT(t)
	g.Expect(loadReportInterval(0)).To(Equal(loadInterval))
	g.Expect(loadReportInterval(9)).To(Equal(loadInterval))
	g.Expect(loadReportInterval(60)).To(Equal(200 * time.Millisecond))
	g.Expect(loadReportInterval(330)).To(Equal(maxLoadInterval))
	g.Expect(maxLoadInterval).To(BeNumerically("<", loadResendInterval))
}
