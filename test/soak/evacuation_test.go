package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kingcupreel/kingcupreel/internal/kvstore"
	"github.com/kingcupreel/kingcupreel/internal/standin/link"
)

const (
	// evacuationBound is the platform's bound on evacuations.
	evacuationBound = 5 * time.Second
	// evacuationFaults is the number of faults and of operator's writes per seed.
	evacuationFaults = 40
)

// evacuations is what the operator has evacuated, and what the upstreams get meanwhile. Each
// upstream is in a zone of its own, with one of the gateways.
type evacuations struct {
	d *deployment
	// operator is held while the operator writes. Under it only mu is taken.
	operator sync.Mutex

	mu sync.Mutex
	// since holds when each evacuation in force was acknowledged.
	since map[string]time.Time
	// reached holds the pairs of a process and a zone to which it has sent a request.
	reached map[string]bool
}

func (e *evacuations) boundMS() int64 {
	if e == nil {
		return 0
	}
	return evacuationBound.Milliseconds()
}

// zone returns the zone of upstream i and of gateway i.
func (e *evacuations) zone(i int) string {
	if e == nil {
		return "a"
	}
	return string(rune('a' + i))
}

// arrive checks a request that reaches an upstream.
func (e *evacuations) arrive(u *upstream, id string) {
	if e == nil {
		return
	}
	e.d.limits.mu.Lock()
	p := e.d.limits.sent[id]
	e.d.limits.mu.Unlock()
	e.mu.Lock()
	defer e.mu.Unlock()
	if since, evacuated := e.since[u.zone]; evacuated && time.Since(since) > evacuationBound {
		e.d.recorder.recordViolation("request %s by %s reached zone %s %v after its evacuation", id, p.name, u.zone, time.Since(since))
	}
	e.reached[p.name+u.zone] = true
}

// toggle evacuates a zone, unless only one other is left, or takes its evacuation back.
func (e *evacuations) toggle(zone string) {
	e.operator.Lock()
	defer e.operator.Unlock()
	e.mu.Lock()
	_, evacuated := e.since[zone]
	if evacuated {
		delete(e.since, zone)
	}
	last := len(e.since) >= 2
	e.mu.Unlock()
	if evacuated || last {
		e.write(zone, false)
		return
	}
	e.write(zone, true)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.since[zone] = time.Now()
}

// write puts or deletes the record of a zone's evacuation.
func (e *evacuations) write(zone string, evacuated bool) {
	key := "op/evacuate/" + zone
	if evacuated {
		e.d.putRecord(key, struct{}{})
		return
	}
	_, _ = e.d.kvStore.Delete(key, kvstore.AnyRevision) // it may not exist
}

// restoreStore makes the store come back from the copy of the last time or of the start. The
// operator writes what was lost again after the given time.
func (e *evacuations) restoreStore(pause time.Duration) {
	e.operator.Lock()
	defer e.operator.Unlock()
	e.d.restoreStoreFromCopy(pause)
	for i := range e.d.upstreams {
		zone := e.zone(i)
		e.mu.Lock()
		_, evacuated := e.since[zone]
		e.mu.Unlock()
		e.write(zone, evacuated)
	}
	e.d.kvStore.Save()
}

// Evacuations overlap with kills, restarts, a store that is away for some or all processes, and
// one that comes back from an older copy: no process, also not one that has just started, sends
// anything to a zone whose evacuation was acknowledged longer ago than the bound. Once all are
// taken back, every process uses every zone again.
func TestEvacuationsHold(t *testing.T) {
	for i := range *seedCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			evacuationSoak(t, seed)
		})
	}
}

func evacuationSoak(t *testing.T, seed uint64) {
	g := NewWithT(t)
	d := newStore(t, seed)
	d.firstHost = 140
	e := &evacuations{d: d, since: map[string]time.Time{}, reached: map[string]bool{}}
	d.evacuations = e
	d.startPlain()
	t.Cleanup(func() {
		if t.Failed() {
			d.logProcessOutput()
		}
	})
	for _, p := range d.processes {
		g.Eventually(p.ready, recoveryTimeout).Should(BeTrue(), p.name)
	}
	d.kvStore.Save()
	stop := make(chan struct{})
	var running sync.WaitGroup
	for i := range callers {
		c := &caller{d: d, rand: rand.New(rand.NewPCG(seed, uint64(i))), client: &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{}}}
		running.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
					c.send(d.processes[c.rand.IntN(gateways)], "/safe/", fmt.Sprintf("r-%d-%d", i, n))
				}
			}
		})
	}
	rng := rand.New(rand.NewPCG(seed, 9))
	locks := make([]sync.Mutex, gateways+1) // of the processes, and of the store
	var faults sync.WaitGroup
	for range evacuationFaults {
		i, kind, duration := rng.IntN(gateways), rng.IntN(9), time.Duration(200+rng.IntN(1300))*time.Millisecond
		zone := e.zone(rng.IntN(len(d.upstreams)))
		faults.Go(func() { e.disturb(kind, i, zone, duration, locks) })
		time.Sleep(time.Duration(200+rng.IntN(800)) * time.Millisecond)
	}
	faults.Wait()
	d.recorder.mu.Lock()
	d.recorder.faultsEnded = true
	d.recorder.mu.Unlock()
	for zone := range e.since {
		e.toggle(zone)
	}
	// What was taken back while nobody could read it, and lost with an older copy, stays in
	// force until the operator writes and deletes it.
	for i := range d.upstreams {
		e.write(e.zone(i), true)
		e.write(e.zone(i), false)
	}
	e.mu.Lock()
	e.reached = map[string]bool{}
	e.mu.Unlock()
	g.Eventually(func() int {
		e.mu.Lock()
		defer e.mu.Unlock()
		return len(e.reached)
	}, recoveryTimeout).Should(Equal(gateways*len(d.upstreams)), "every process uses every zone again")
	close(stop)
	running.Wait()
	d.recorder.mu.Lock()
	defer d.recorder.mu.Unlock()
	g.Expect(d.recorder.violations).To(BeEmpty())
}

// disturb injects one fault, or lets the operator write.
func (e *evacuations) disturb(kind, i int, zone string, duration time.Duration, locks []sync.Mutex) {
	d, p := e.d, e.d.processes[i]
	if kind < 4 {
		e.toggle(zone)
		return
	}
	if kind == 8 {
		i = gateways
	}
	locks[i].Lock()
	defer locks[i].Unlock()
	switch kind {
	case 4:
		_ = p.stop(syscall.SIGKILL)
		p.start(d)
	case 5: // it starts without the store
		_ = p.store.SetMode(link.Drop)
		_ = p.stop(syscall.SIGKILL)
		p.start(d)
		time.Sleep(duration)
		_ = p.store.SetMode(link.Pass)
	case 6:
		_ = p.store.SetMode(link.Drop)
		time.Sleep(duration)
		_ = p.store.SetMode(link.Pass)
	case 7: // the store is away for all, also as the operator writes
		for _, other := range d.processes {
			_ = other.store.SetMode(link.Drop)
		}
		e.toggle(zone)
		time.Sleep(duration)
		for _, other := range d.processes {
			_ = other.store.SetMode(link.Pass)
		}
	case 8:
		e.restoreStore(duration)
	}
}
