package admission

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// MaxDigest bounds the items of a digest, so that its size depends neither on
// the number of entries nor on that of client accounts.
const MaxDigest = 24

const (
	// refreshed is how many items of a digest repeat settled keys, in turn, so
	// that both sides of a flow agree also after digests that crossed.
	refreshed = 2
	// refreshScan bounds the keys that are looked at for one digest's refresh.
	refreshScan = 64
)

const (
	// settled is the change of an estimate, as a part of the limit, below which
	// it is not sent again.
	settled = 0.01
	// material is the part of a limit from which an estimate is sent at all.
	material = 0.5
	// recentWeight is the weight of the present estimate, each tick, in the
	// moving mean that is compared with material: a request that is alone at
	// one entry does not look like one at each.
	recentWeight = 0.05
)

// ChoosePeer returns the index of the peer to send the next digest to, given
// which peers are in other data centres: one of those half of the time, since
// few connections join the data centres. It returns -1 without peers.
func ChoosePeer(rng *rand.Rand, remote []bool) int {
	want := rng.IntN(2) == 0
	if !slices.Contains(remote, want) {
		want = !want
	}
	chosen, seen := -1, 0
	for i, r := range remote {
		if r != want {
			continue
		}
		seen++
		if rng.IntN(seen) == 0 {
			chosen = i
		}
	}
	return chosen
}

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
// exchanges bounded digests of the keys that come near their limits with a few
// peers by flow updating: an entry's
// estimate of the mean is its own count less the flows to its peers, and the
// answer to a digest moves both sides to their average. A lost, repeated or late digest
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
	local  int
	limit  float64 // 0 for none
	recent float64 // moving mean of the estimate of the total
	net    float64 // the sum of the edges' flows
	edges  []edge
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

// SetLimit sets the limit of a key's total; a key without one is not exchanged.
func (u *Usage) SetLimit(key Key, limit int) { u.counter(key).limit = float64(limit) }

// Tick updates the moving means; it is called at the interval of the exchange.
func (u *Usage) Tick() {
	for _, c := range u.keys {
		total := c.mean() * float64(u.entries)
		c.recent += recentWeight * (total - c.recent)
	}
}

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

// recent returns the moving mean of the estimate of the total.
func (u *Usage) recent(key Key) float64 {
	if c := u.keys[key]; c != nil {
		return c.recent
	}
	return 0
}

// ReachableTotal returns the estimate of the count over the entries of the
// reachable data centres.
func (u *Usage) ReachableTotal(key Key) float64 { return u.total(key, u.reachable) }

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
		if size := u.unsent(c, peer); size > settled {
			u.changes = append(u.changes, change{key, size})
		}
	}
	slices.SortFunc(u.changes, func(a, b change) int {
		return cmp.Or(cmp.Compare(b.size, a.size), cmp.Compare(a.key, b.key))
	})
	n := min(len(u.changes), MaxDigest-refreshed)
	items := make([]Item, 0, MaxDigest)
	for _, ch := range u.changes[:n] {
		items = append(items, u.keys[ch.key].item(ch.key, peer))
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
		if e := c.edge(peer); e != nil && e.flow != 0 && u.unsent(c, peer) <= settled {
			items = append(items, c.item(key, peer))
		}
	}
	return items
}

// unsent returns how far a peer's knowledge of the estimate is off, or its own
// estimate from this one, as a part of the limit. It is 0 for a key that
// neither side finds material.
func (u *Usage) unsent(c *counter, peer string) float64 {
	unit := u.unit(c)
	e := c.edge(peer)
	if e == nil {
		e = &edge{}
	}
	if c.recent < material*c.limit && math.Abs(e.mean)*unit < material {
		return 0
	}
	off := math.Abs(c.mean() - e.sent)
	if e.known {
		off = max(off, math.Abs(c.mean()-e.mean))
	}
	return off * unit
}

// item returns a key's state with a peer, to be sent to it.
func (c *counter) item(key Key, peer string) Item {
	e := c.mustEdge(peer)
	e.sent = c.mean()
	return Item{Key: key, Flow: float32(e.flow), Mean: float32(e.sent)}
}

// Receive takes a peer's digest, or its answer to one, and returns the answer
// to send: the keys whose estimates it moved to the average.
func (u *Usage) Receive(peer string, items []Item) []Item {
	var answer []Item
	for _, i := range items {
		c := u.counter(i.Key)
		e := c.mustEdge(peer)
		c.setFlow(e, -float64(i.Flow))
		e.mean = float64(i.Mean)
		e.known = true
		if math.Abs(c.mean()-e.mean)*u.unit(c) <= settled {
			continue
		}
		average := (c.mean() + e.mean) / 2
		c.setFlow(e, e.flow+c.mean()-average)
		e.mean = average
		answer = append(answer, c.item(i.Key, peer))
	}
	return answer
}

// unit turns an estimate of the mean into a part of the limit; it is 0 without
// a limit.
func (u *Usage) unit(c *counter) float64 {
	if c.limit == 0 {
		return 0
	}
	return float64(u.entries) / c.limit
}

// RemovePeer drops a peer that is gone.
func (u *Usage) RemovePeer(peer string) {
	for key, c := range u.keys {
		c.net -= c.forget(peer)
		if c.local == 0 && c.limit == 0 && len(c.edges) == 0 {
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

// KeyCount returns the number of keys with state.
func (u *Usage) KeyCount() int { return len(u.keys) }
