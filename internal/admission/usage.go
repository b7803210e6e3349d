package admission

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// MaxDigest bounds the items of a digest, so that its size depends neither on
// the number of entries nor on that of client accounts.
const MaxDigest = 24

const (
	// refreshed is how many items of a digest repeat settled keys, in turn, so
	// that both sides of a flow agree also after digests that crossed.
	refreshed = 4
	// refreshScan bounds the keys that are looked at for one digest's refresh.
	refreshScan = 64
)

// settled is the change of an estimate, in requests per entry, below which it
// is not sent again.
const settled = 0.01

// Key is the hash of what is counted: a pool's demand or a client account's
// requests in flight.
type Key uint32

// PoolKey is the key of a pool's demand.
func PoolKey(pool string) Key { return Key(xxhash.Sum64String("p/" + pool)) }

// AccountKey is the key of a client account's requests in flight.
func AccountKey(account string) Key { return Key(xxhash.Sum64String("a/" + account)) }

// Item is one key's state between two entries.
type Item struct {
	Key Key
	// Flow is what the sender has passed to the receiver.
	Flow float32
	// Mean is the sender's estimate of the mean over all entries.
	Mean float32
}

// Usage estimates, for each key, the sum over all entries of a local count. It
// exchanges bounded digests with a few peers by flow updating: an entry's
// estimate of the mean is its own count less the flows to its peers, and each
// exchange moves both sides to their average. A lost, repeated or late digest
// is mended by the next one; a peer that leaves takes its flows with it. The
// sum over a group of entries that is cut off is that group's proportional
// part.
type Usage struct {
	entries   int
	reachable int
	keys      map[Key]*counter
	order     []Key    // all keys, for the refresh in turn
	cursor    int      // into order
	changes   []change // reused between digests
}

// counter is the state of one key.
type counter struct {
	local int
	net   float64 // the sum of the edges' flows
	edges []edge
}

// edge is what a key has exchanged with one peer.
type edge struct {
	peer  string
	flow  float64
	mean  float64 // the peer's estimate
	known bool    // whether the peer has told its estimate
	sent  float64 // the estimate last sent to the peer
}

// NewUsage returns the state of an entry that knows of no other.
func NewUsage() *Usage { return &Usage{entries: 1, reachable: 1, keys: map[Key]*counter{}} }

// SetEntries sets the number of live entries, and of those in reachable data
// centres; each is at least 1.
func (u *Usage) SetEntries(all, reachable int) {
	u.entries = max(all, 1)
	u.reachable = max(reachable, 1)
}

func (u *Usage) counter(key Key) *counter {
	c := u.keys[key]
	if c == nil {
		c = &counter{}
		u.keys[key] = c
		u.order = append(u.order, key)
	}
	return c
}

// Add changes the local count of a key.
func (u *Usage) Add(key Key, n int) { u.counter(key).local += n }

// Local returns the local count of a key.
func (u *Usage) Local(key Key) int {
	if c := u.keys[key]; c != nil {
		return c.local
	}
	return 0
}

// Total returns the estimate of the count over all entries. It is never under
// the local count. Before any exchange it assumes that every entry has as many
// as this one, so that each starts with an equal part of a limit.
func (u *Usage) Total(key Key) float64 { return u.total(key, u.entries) }

// Reachable returns the estimate of the count over the entries of the
// reachable data centres.
func (u *Usage) Reachable(key Key) float64 { return u.total(key, u.reachable) }

func (u *Usage) total(key Key, entries int) float64 {
	c := u.keys[key]
	if c == nil {
		return 0
	}
	return max(c.mean()*float64(entries), float64(c.local), 0)
}

func (c *counter) mean() float64 { return float64(c.local) - c.net }

// edge returns the state with a peer, or nil.
func (c *counter) edge(peer string) *edge {
	for i := range c.edges {
		if c.edges[i].peer == peer {
			return &c.edges[i]
		}
	}
	return nil
}

func (c *counter) mustEdge(peer string) *edge {
	if e := c.edge(peer); e != nil {
		return e
	}
	c.edges = append(c.edges, edge{peer: peer})
	return &c.edges[len(c.edges)-1]
}

func (c *counter) setFlow(e *edge, flow float64) {
	c.net += flow - e.flow
	e.flow = flow
}

// change is a key's change since it was last sent to a peer.
type change struct {
	key  Key
	size float64
}

// Digest returns what to send to a peer: the keys whose estimates changed most
// since they were last sent to it, at most MaxDigest.
func (u *Usage) Digest(peer string) []Item {
	u.changes = u.changes[:0]
	for key, c := range u.keys {
		if size := c.unsent(peer); size > settled {
			u.changes = append(u.changes, change{key, size})
		}
	}
	slices.SortFunc(u.changes, func(a, b change) int {
		return cmp.Or(cmp.Compare(b.size, a.size), cmp.Compare(a.key, b.key))
	})
	n := min(len(u.changes), MaxDigest-refreshed)
	items := make([]Item, 0, MaxDigest)
	for _, ch := range u.changes[:n] {
		items = append(items, u.exchange(ch.key, peer))
	}
	return u.refresh(items, peer)
}

// refresh adds settled keys that have a flow to the peer, in turn.
func (u *Usage) refresh(items []Item, peer string) []Item {
	limit := len(items) + refreshed
	for range min(refreshScan, len(u.order)) {
		if len(items) == limit {
			break
		}
		u.cursor = (u.cursor + 1) % len(u.order)
		key := u.order[u.cursor]
		c := u.keys[key]
		if e := c.edge(peer); e != nil && e.flow != 0 && c.unsent(peer) <= settled {
			items = append(items, u.exchange(key, peer))
		}
	}
	return items
}

// unsent returns how far a peer's knowledge of the estimate is off, or its own
// estimate from this one.
func (c *counter) unsent(peer string) float64 {
	e := c.edge(peer)
	if e == nil {
		return math.Abs(c.mean())
	}
	off := math.Abs(c.mean() - e.sent)
	if e.known {
		off = max(off, math.Abs(c.mean()-e.mean))
	}
	return off
}

// exchange moves a key's estimate to the average with the peer's and returns
// the item to send.
func (u *Usage) exchange(key Key, peer string) Item {
	c := u.keys[key]
	e := c.mustEdge(peer)
	if e.known {
		average := (c.mean() + e.mean) / 2
		c.setFlow(e, e.flow+c.mean()-average)
		e.mean = average
	}
	e.sent = c.mean()
	return Item{Key: key, Flow: float32(e.flow), Mean: float32(e.sent)}
}

// Receive takes a peer's digest.
func (u *Usage) Receive(peer string, items []Item) {
	for _, i := range items {
		c := u.counter(i.Key)
		e := c.mustEdge(peer)
		c.setFlow(e, -float64(i.Flow))
		e.mean = float64(i.Mean)
		e.known = true
	}
}

// Forget drops a peer that is gone.
func (u *Usage) Forget(peer string) {
	for key, c := range u.keys {
		c.net -= c.forget(peer)
		if c.local == 0 && len(c.edges) == 0 {
			delete(u.keys, key)
		}
	}
	u.order = slices.DeleteFunc(u.order, func(key Key) bool { return u.keys[key] == nil })
	u.cursor = 0
}

// forget drops the edge to a peer and returns its flow.
func (c *counter) forget(peer string) float64 {
	flow := 0.0
	c.edges = slices.DeleteFunc(c.edges, func(e edge) bool {
		if e.peer == peer {
			flow = e.flow
		}
		return e.peer == peer
	})
	return flow
}

// Keys returns the number of keys with state.
func (u *Usage) Keys() int { return len(u.keys) }
