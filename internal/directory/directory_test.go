package directory_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/directory"
)

// upstream returns an upstream of the service "model".
func upstream(id string, started int64) directory.Upstream {
	return directory.Upstream{ID: id, Service: "model", Address: "10.0.0.1:" + id, DataCentre: "a", Slots: 12, Started: started}
}

// fixture returns a directory with n upstreams, "1" to "n", and its clock.
func fixture(n int) (*directory.Directory, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	d := directory.New(clock)
	list, revisions := map[string]directory.Upstream{}, map[string]int64{}
	for i := range n {
		id := fmt.Sprint(i + 1)
		list[id], revisions[id] = upstream(id, 100), int64(i+1)
	}
	d.SetReachable(true)
	d.Replace(list, revisions, int64(n))
	clock.Advance(time.Minute)
	return d, clock
}

func usable(d *directory.Directory) []string {
	ids := []string{}
	for _, u := range d.Usable() {
		ids = append(ids, u.ID)
	}
	return ids
}

func TestLeavingUpstreamGetsNoWork(t *testing.T) {
	g := NewWithT(t)
	d, _ := fixture(2)
	notified := 0
	d.OnDeparture(func() { notified++ })
	u := upstream("1", 100)
	u.Leaving = true
	d.Put(u, 10)
	g.Expect(usable(d)).To(Equal([]string{"2"}))
	g.Expect(notified).To(Equal(1))
	g.Expect(d.Departures()).To(Equal([]directory.Departure{{ID: "1", Started: 100}}))
	// A later incarnation with the same ID serves again.
	d.Put(upstream("1", 200), 11)
	g.Expect(usable(d)).To(Equal([]string{"1", "2"}))
}

// An upstream that a peer has reported as leaving stays so even if an older
// state of the store says otherwise.
func TestDepartureFromPeerOutlastsOlderState(t *testing.T) {
	g := NewWithT(t)
	d, _ := fixture(2)
	g.Expect(d.Depart(directory.Departure{ID: "2", Started: 100})).To(BeTrue())
	g.Expect(d.Depart(directory.Departure{ID: "2", Started: 100})).To(BeFalse())
	d.Put(upstream("2", 100), 12)
	g.Expect(usable(d)).To(Equal([]string{"1"}))
}

// An upstream may leave by removing its registration without announcing its
// departure.
func TestRemovedRegistrationTakesEffectAtOnce(t *testing.T) {
	g := NewWithT(t)
	d, _ := fixture(12)
	d.Delete("3", 20)
	g.Expect(usable(d)).NotTo(ContainElement("3"))
}

// Registrations that expired during an outage of the store don't count as lost
// until running upstreams had time to register again.
func TestRegistrationsLostInOutageGetGracePeriod(t *testing.T) {
	g := NewWithT(t)
	d, clock := fixture(3)
	d.SetReachable(false)
	clock.Advance(5 * time.Second)
	d.SetReachable(true)
	for i := range 3 {
		d.Delete(fmt.Sprint(i+1), int64(20+i))
	}
	g.Expect(usable(d)).To(HaveLen(3))
	clock.Advance(time.Second)
	d.Put(upstream("1", 100), 30)
	clock.Advance(directory.RecoveryGrace)
	d.RemoveExpired()
	g.Expect(usable(d)).To(Equal([]string{"1"}))
}

// A registration that is removed after the catch-up window existed after the
// outage, so its upstream has left. An earlier version kept using the upstream
// for another 2.1 s, beyond the bound of 2 s.
func TestRemovalAfterCatchUpTakesEffectAtOnce(t *testing.T) {
	g := NewWithT(t)
	d, clock := fixture(12)
	d.SetReachable(false)
	clock.Advance(5 * time.Second)
	d.SetReachable(true)
	clock.Advance(time.Second)
	d.Delete("3", 20)
	g.Expect(usable(d)).NotTo(ContainElement("3"))
}

// The store may have been unreachable for upstreams without any failed call of
// this process. Half of a service doesn't leave at once, so a mass loss is
// treated as such an outage.
func TestMassLossIsTreatedAsOutage(t *testing.T) {
	g := NewWithT(t)
	d, clock := fixture(6)
	for i := range 4 {
		d.Delete(fmt.Sprint(i+1), int64(20+i))
		clock.Advance(10 * time.Millisecond)
	}
	g.Expect(usable(d)).To(HaveLen(6))
	clock.Advance(directory.RecoveryGrace)
	g.Expect(usable(d)).To(Equal([]string{"5", "6"}))
}

// Only the process that started last can use an address. After a power loss
// the old IDs stayed in the store for three more heartbeats, and requests for
// them were refused as misdirected.
func TestNewIncarnationSupersedesOldOneAtItsAddress(t *testing.T) {
	g := NewWithT(t)
	d, _ := fixture(2)
	u := upstream("9", 300)
	u.Address = "10.0.0.1:1"
	d.Put(u, 20)
	g.Expect(usable(d)).To(Equal([]string{"2", "9"}))
}
