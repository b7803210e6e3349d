package directory_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/directory"
	"github.com/kingcupreel/kingcupreel/internal/kvstore"
)

// upstream returns an upstream of the service "model".
func upstream(id string, started int64) directory.Upstream {
	return directory.Upstream{ID: id, Service: "model", Address: "10.0.0.1:" + id, DataCentre: "a", Slots: 12, Started: started}
}

// at returns a position of the first era.
func at(revision int64) kvstore.Position { return kvstore.Position{Era: 1, Revision: revision} }

// fixture returns a directory with n upstreams, "1" to "n", and its clock.
func fixture(n int) (*directory.Directory, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	d := directory.New(clock)
	list, positions := map[string]directory.Upstream{}, map[string]kvstore.Position{}
	for i := range n {
		id := fmt.Sprint(i + 1)
		list[id], positions[id] = upstream(id, 100), at(int64(i+1))
	}
	d.SetReachable(true)
	d.Replace(list, positions, at(int64(n)))
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
	d.Put(u, at(10))
	g.Expect(usable(d)).To(Equal([]string{"2"}))
	g.Expect(notified).To(Equal(1))
	g.Expect(d.Departures()).To(Equal([]directory.Departure{{ID: "1", Started: 100}}))
	// A later incarnation with the same ID serves again.
	d.Put(upstream("1", 200), at(11))
	g.Expect(usable(d)).To(Equal([]string{"1", "2"}))
}

// An upstream that a peer has reported as leaving stays so even if an older
// state of the store says otherwise.
func TestDepartureFromPeerOutlastsOlderState(t *testing.T) {
	g := NewWithT(t)
	d, _ := fixture(2)
	g.Expect(d.Depart(directory.Departure{ID: "2", Started: 100})).To(BeTrue())
	g.Expect(d.Depart(directory.Departure{ID: "2", Started: 100})).To(BeFalse())
	d.Put(upstream("2", 100), at(12))
	g.Expect(usable(d)).To(Equal([]string{"1"}))
}

// An upstream may leave by removing its registration without announcing its
// departure.
func TestRemovedRegistrationTakesEffectAtOnce(t *testing.T) {
	g := NewWithT(t)
	d, _ := fixture(12)
	d.Delete("3", at(20))
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
		d.Delete(fmt.Sprint(i+1), at(int64(20+i)))
	}
	g.Expect(usable(d)).To(HaveLen(3))
	clock.Advance(time.Second)
	d.Put(upstream("1", 100), at(30))
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
	d.Delete("3", at(20))
	g.Expect(usable(d)).NotTo(ContainElement("3"))
}

// The store may have been unreachable for upstreams without any failed call of
// this process. Half of a service doesn't leave at once, so a mass loss is
// treated as such an outage.
func TestMassLossIsTreatedAsOutage(t *testing.T) {
	g := NewWithT(t)
	d, clock := fixture(6)
	for i := range 4 {
		d.Delete(fmt.Sprint(i+1), at(int64(20+i)))
		clock.Advance(10 * time.Millisecond)
	}
	g.Expect(usable(d)).To(HaveLen(6))
	clock.Advance(directory.RecoveryGrace)
	g.Expect(usable(d)).To(Equal([]string{"5", "6"}))
}

// Guards against requests to upstreams that have left together without reporting it: their
// loss looks like an outage of the store, but the bound on leaving upstreams holds for them.
func TestMassLossEndsWithinTheBoundOnLeavingUpstreams(t *testing.T) {
	g := NewWithT(t)
	d, clock := fixture(6)
	const bound, onTheWay = 2 * time.Second, 500 * time.Millisecond
	d.SetDepartureBound(bound)
	for i := range 4 {
		d.Delete(fmt.Sprint(i+1), at(int64(20+i)))
		clock.Advance(10 * time.Millisecond)
	}
	g.Expect(usable(d)).To(HaveLen(6))
	clock.Advance(bound - onTheWay)
	g.Expect(usable(d)).To(Equal([]string{"5", "6"}))
}

// Guards against the use of upstreams that have left: while most of a service report in the
// store that they are leaving, the store isn't away, and those without registrations have
// left too.
func TestLossBesideReportedDeparturesTakesEffectAtOnce(t *testing.T) {
	g := NewWithT(t)
	d, _ := fixture(12)
	for i := range 12 {
		u := upstream(fmt.Sprint(i+1), 100)
		if i >= 9 {
			d.Delete(u.ID, at(int64(20+i)))
			continue
		}
		u.Leaving = true
		d.Put(u, at(int64(20+i)))
	}
	g.Expect(usable(d)).To(BeEmpty())
}

// Only the process that started last can use an address. After a power loss
// the old IDs stayed in the store for three more heartbeats, and requests for
// them were refused as misdirected.
func TestNewIncarnationSupersedesOldOneAtItsAddress(t *testing.T) {
	g := NewWithT(t)
	d, _ := fixture(2)
	u := upstream("9", 300)
	u.Address = "10.0.0.1:1"
	d.Put(u, at(20))
	g.Expect(usable(d)).To(Equal([]string{"2", "9"}))
}

// The store comes back from an older copy: upstream 1 is listed as it was, 2 registered
// after the copy, 3 announced its departure after it, 4 was removed after it, and 5
// restarted under its ID. Revisions are given out again.
func TestRestoredStore(t *testing.T) {
	g := NewWithT(t)
	d, clock := fixture(5)
	d.SetHeartbeat(time.Second)
	leaving := upstream("3", 100)
	leaving.Leaving = true
	d.Put(leaving, at(20))
	d.Delete("4", at(21))
	d.RemoveExpired()
	d.Put(upstream("5", 200), at(22))
	restored := func(revision int64) kvstore.Position { return kvstore.Position{Era: 2, Revision: revision} }
	list, positions := map[string]directory.Upstream{}, map[string]kvstore.Position{}
	for _, id := range []string{"1", "3", "4", "5"} {
		list[id], positions[id] = upstream(id, 100), restored(5)
	}
	d.Replace(list, positions, restored(6))
	g.Expect(usable(d)).To(Equal([]string{"1", "2", "5"}), "what was in use stays in use; what has left is not used again")
	for _, u := range d.Usable() {
		g.Expect(u.ID == "5" && u.Started != 200).To(BeFalse(), "the earlier incarnation doesn't come back")
	}
	d.Put(upstream("2", 100), restored(7))
	clock.Advance(3 * time.Second)
	d.RemoveExpired()
	g.Expect(usable(d)).To(Equal([]string{"1", "2", "5"}))
	d.Delete("4", restored(8)) // it missed its heartbeats
	clock.Advance(3 * time.Second)
	d.RemoveExpired()
	g.Expect(usable(d)).To(Equal([]string{"1", "2", "5"}))
	d.Delete("1", restored(9))
	g.Expect(usable(d)).To(Equal([]string{"2", "5"}), "a revision of the new era isn't compared with the old one's")
}

// The copy shows the process that used an address before the present one.
func TestRestoredStoreDoesntBringBackTheFormerProcessAtAnAddress(t *testing.T) {
	g := NewWithT(t)
	d, _ := fixture(1)
	successor := upstream("9", 300)
	successor.Address = "10.0.0.1:1"
	d.Put(successor, at(20))
	restored := kvstore.Position{Era: 2, Revision: 5}
	d.Replace(map[string]directory.Upstream{"1": upstream("1", 100)}, map[string]kvstore.Position{"1": restored}, restored)
	g.Expect(usable(d)).To(Equal([]string{"9"}))
}

// A registration that was removed because of the restored store's outage is used again
// once its upstream is known to renew it, and one that never comes back isn't.
func TestRegistrationsAfterARestore(t *testing.T) {
	g := NewWithT(t)
	d, clock := fixture(3)
	d.SetHeartbeat(time.Second)
	d.Delete("1", at(20))
	d.RemoveExpired()
	restored := kvstore.Position{Era: 2, Revision: 5}
	d.Replace(map[string]directory.Upstream{"1": upstream("1", 100), "2": upstream("2", 100)}, map[string]kvstore.Position{"1": restored, "2": restored}, restored)
	g.Expect(usable(d)).To(Equal([]string{"2", "3"}))
	clock.Advance(5 * time.Second)
	d.RemoveExpired()
	g.Expect(usable(d)).To(Equal([]string{"1", "2"}), "1 is still registered after its heartbeats would have been missed, 3 isn't")
}
