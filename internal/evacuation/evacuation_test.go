package evacuation_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/evacuation"
	"github.com/kingcupreel/kingcupreel/internal/kvstore"
)

func newTable() *evacuation.Table {
	return evacuation.NewTable(clockwork.NewFakeClock(), zap.NewNop())
}

func position(era, revision int64) kvstore.Position {
	return kvstore.Position{Era: era, Revision: revision}
}

func requested(name string, era, revision int64) evacuation.Record {
	return evacuation.Record{DataCentre: name, InForce: true, Position: position(era, revision)}
}

func ended(name string, era, revision int64) evacuation.Record {
	return evacuation.Record{DataCentre: name, Position: position(era, revision)}
}

func listing(at kvstore.Position, list ...evacuation.Record) evacuation.State {
	return evacuation.State{At: at, Requested: list}
}

// Messages overtake each other: the end of an evacuation may be seen before its start.
func TestEndSeenBeforeItsStart(t *testing.T) {
	g := NewWithT(t)
	table := newTable()
	table.Merge([]evacuation.Record{ended("a", 1, 8)}, "e2")
	table.Merge([]evacuation.Record{requested("a", 1, 5)}, "e1")
	g.Expect(table.InForce()).To(BeEmpty())
	table.Merge([]evacuation.Record{requested("a", 1, 9)}, "e1")
	g.Expect(table.InForce()).To(ConsistOf("a"), "it is evacuated again")
}

// An older listing, or one of the same position, doesn't end an evacuation. A later one does,
// and what another entry said before that is out of date.
func TestOnlyALaterListingProvesAnEnd(t *testing.T) {
	g := NewWithT(t)
	table := newTable()
	table.Merge([]evacuation.Record{requested("a", 1, 5)}, "e1")
	table.Replace(listing(position(1, 4)))
	table.Replace(listing(position(1, 5)))
	g.Expect(table.Evacuated("a")).To(BeTrue())
	table.Replace(listing(position(1, 6)))
	g.Expect(table.Evacuated("a")).To(BeFalse())
	table.Merge([]evacuation.Record{requested("a", 1, 5), requested("b", 1, 3)}, "e1")
	g.Expect(table.InForce()).To(BeEmpty())
}

// A record that can't be read neither begins nor ends an evacuation.
func TestUnreadableRecordChangesNothing(t *testing.T) {
	g := NewWithT(t)
	table := newTable()
	table.Replace(listing(position(1, 5), requested("a", 1, 5)))
	table.Replace(evacuation.State{At: position(1, 9), Unreadable: []string{"a", "b"}})
	g.Expect(table.InForce()).To(ConsistOf("a"))
}

func TestOverlappingEvacuationsEndOnTheirOwn(t *testing.T) {
	g := NewWithT(t)
	table := newTable()
	changes := 0
	var over []string
	table.OnChange(func(ended []string) { changes, over = changes+1, append(over, ended...) })
	table.Apply([]evacuation.Record{requested("a", 1, 5), requested("b", 1, 6)}, position(1, 6))
	table.Apply([]evacuation.Record{ended("a", 1, 7)}, position(1, 7))
	g.Expect(table.InForce()).To(ConsistOf("b"))
	g.Expect(changes).To(Equal(2))
	g.Expect(over).To(Equal([]string{"a"}))
}

// A store that comes back from an older copy may lack an operator's request, or show one that
// was taken back. Only what is written or deleted in the new era counts there.
func TestNewEraDoesntEndAnEvacuation(t *testing.T) {
	g := NewWithT(t)
	table := newTable()
	table.Apply([]evacuation.Record{requested("a", 1, 50)}, position(1, 50))
	table.Replace(listing(position(2, 70))) // revisions are given out again
	g.Expect(table.Evacuated("a")).To(BeTrue())

	fresh := newTable() // it has read the new era only
	fresh.Replace(listing(position(2, 70)))
	records, _ := table.Records()
	fresh.Merge(records, "e1")
	g.Expect(fresh.Evacuated("a")).To(BeTrue())

	table.Apply([]evacuation.Record{requested("a", 2, 72)}, position(2, 72))
	table.Replace(listing(position(2, 75)))
	g.Expect(table.Evacuated("a")).To(BeFalse(), "written again in the new era, and taken back")
	table.Merge([]evacuation.Record{requested("a", 1, 90)}, "e9")
	g.Expect(table.Evacuated("a")).To(BeFalse(), "an entry that lies behind")
	records, _ = table.Records()
	fresh.Merge(records, "e1")
	g.Expect(fresh.Evacuated("a")).To(BeFalse())
}

// Between two readings of a process the operator writes a request again in a new era, and takes
// it back. The process hears of the end only from others, or from an older history passed on.
func TestEndThatWasNotReadInTheNewEra(t *testing.T) {
	for name, tell := range map[string]func(*evacuation.Table){
		"by another entry": func(table *evacuation.Table) { table.Merge([]evacuation.Record{ended("a", 2, 67)}, "e1") },
		"by a history": func(table *evacuation.Table) {
			table.Apply([]evacuation.Record{requested("a", 2, 66), ended("a", 2, 67)}, position(2, 67))
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			table := newTable()
			table.Apply([]evacuation.Record{requested("a", 1, 50)}, position(1, 50))
			table.Replace(listing(position(2, 70)))
			g.Expect(table.Evacuated("a")).To(BeTrue())
			tell(table)
			g.Expect(table.Evacuated("a")).To(BeFalse())
		})
	}
}

// schedule is a store, entries that read it at their own pace or not at all, and datagrams
// between them that are lost and overtake each other. Time goes in rounds of a digest interval.
type schedule struct {
	rng *rand.Rand
	// log holds the operator's writes; revision i+1 is at index i.
	log     []evacuation.Record
	entries []*scheduledEntry
	flying  []datagram
}

type scheduledEntry struct {
	table *evacuation.Table
	// read is the revision up to which the entry has read the store, turnedAway whether the
	// store doesn't answer it.
	read       int64
	turnedAway bool
}

type datagram struct {
	to      int
	records []evacuation.Record
}

// listing returns the store's content at a revision.
func (s *schedule) listing(at int64) evacuation.State {
	last := map[string]evacuation.Record{}
	for _, r := range s.log[:at] {
		last[r.DataCentre] = r
	}
	state := evacuation.State{At: position(1, at)}
	for _, r := range last {
		if r.InForce {
			state.Requested = append(state.Requested, r)
		}
	}
	return state
}

// start replaces an entry by one that has just started: it has learned its state from the
// store or, if that turns it away, from another entry.
func (s *schedule) start(i int) {
	e := s.entries[i]
	e.table, e.read = newTable(), 0
	if !e.turnedAway {
		e.read = int64(len(s.log))
		e.table.Replace(s.listing(e.read))
		return
	}
	records, _ := s.entries[(i+1)%len(s.entries)].table.Records()
	e.table.Merge(records, "peer")
}

// step lets one entry read the store, send digests or restart.
func (s *schedule) step(i, fanout int) {
	e := s.entries[i]
	head := int64(len(s.log))
	switch {
	case s.rng.IntN(40) == 0:
		s.start(i)
	case !e.turnedAway && s.rng.IntN(8) == 0: // the history is gone; an older listing may come
		at := head - s.rng.Int64N(min(head, 3)+1)
		e.table.Replace(s.listing(at))
		e.read = max(e.read, at)
	case !e.turnedAway && e.read < head:
		e.table.Apply(s.log[e.read:head], position(1, head))
		e.read = head
	}
	records, _ := e.table.Records()
	for range fanout {
		if s.rng.IntN(3) > 0 { // a third is lost
			s.flying = append(s.flying, datagram{s.rng.IntN(len(s.entries)), records})
		}
	}
}

// Arbitrary schedules of an evacuation's messages: each entry, in touch with the store or not,
// has every evacuation in force within the rounds that fit into the bound, until it is taken
// back. A datagram that arrives long after an evacuation's end may bring it back at an entry
// that has started since, for less than the bound.
func TestScheduleOfMessages(t *testing.T) {
	const (
		entries, fanout = 24, 8
		steps           = 100_000
		// boundRounds is the bound of 5 s in digest intervals of 0.5 s.
		boundRounds = 10
	)
	g := NewWithT(t)
	s := &schedule{rng: rand.New(rand.NewPCG(42, 1))}
	for range entries {
		s.entries = append(s.entries, &scheduledEntry{table: newTable()})
	}
	state, writtenIn := map[string]bool{}, map[string]int{}
	wrongFor := map[string]int{} // rounds, by entry and data centre
	for round := 0; round*entries < steps; round++ {
		if name := string(rune('a' + s.rng.IntN(3))); round-writtenIn[name] > 2*boundRounds && s.rng.IntN(4) == 0 {
			state[name], writtenIn[name] = !state[name], round
			s.log = append(s.log, evacuation.Record{DataCentre: name, InForce: state[name], Position: position(1, int64(len(s.log)+1))})
		}
		if s.rng.IntN(30) == 0 { // the store turns other entries away, never all
			for i, e := range s.entries {
				e.turnedAway = i > 0 && s.rng.IntN(3) > 0
			}
		}
		for _, i := range s.rng.Perm(entries) {
			s.step(i, fanout)
		}
		s.rng.Shuffle(len(s.flying), func(i, j int) { s.flying[i], s.flying[j] = s.flying[j], s.flying[i] })
		late := len(s.flying) / 5
		for _, d := range s.flying[late:] {
			s.entries[d.to].table.Merge(d.records, "peer")
		}
		s.flying = s.flying[:late]
		for name, written := range writtenIn {
			if round-written < boundRounds {
				continue
			}
			for i, e := range s.entries {
				held := fmt.Sprint(i, name)
				if e.table.Evacuated(name) == state[name] {
					delete(wrongFor, held)
				} else if wrongFor[held]++; state[name] || wrongFor[held] >= boundRounds {
					g.Expect(fmt.Sprintf("round %d: entry %d has %s evacuated: %v", round, i, name, !state[name])).To(BeEmpty())
				}
			}
		}
	}
	g.Expect(len(s.log)).To(BeNumerically(">", 100), "the operator wrote")
	g.Expect(time.Duration(boundRounds) * 500 * time.Millisecond).To(Equal(5 * time.Second))
}
