package admission

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// MaxDigest is the maximum number of items in a digest, so that its size
// depends neither on the number of entries nor on that of client accounts.
const MaxDigest = 24

const (
	// refreshItems is the number of items of a digest that repeat unchanged
	// keys, in rotation, so that both peers agree on a flow even after two
	// digests have crossed.
	refreshItems = 2
	// maxRefreshScan is the maximum number of keys that one digest's refresh
	// examines.
	maxRefreshScan = 64
)

const (
	// minChange is the change of an estimate, as a fraction of the limit, up to
	// which the estimate is not sent again.
	minChange = 0.01
	// minUsage is the fraction of the limit from which an estimate is sent.
	minUsage = 0.5
	// recentWeight is the weight of the current estimate, each tick, in the
	// moving average that is compared with minUsage. Because of the average, a
	// request at a single entry is not mistaken for one at every entry.
	recentWeight = 0.05
)

// ChoosePeer returns the index of the peer to send the next digest to, or -1 if
// there is none. remote is set, by peer, if the peer is in another data centre;
// one of those is chosen half of the time, because few connections join the data
// centres.
func ChoosePeer(rng *rand.Rand, remote []bool) int {
	wantRemote := rng.IntN(2) == 0
	if !slices.Contains(remote, wantRemote) {
		wantRemote = !wantRemote
	}
	chosen, candidates := -1, 0
	for i, r := range remote {
		if r != wantRemote {
			continue
		}
		candidates++
		if rng.IntN(candidates) == 0 {
			chosen = i
		}
	}
	return chosen
}

// Key is the hash of a counted quantity: a pool's demand or a client account's
// requests in flight.
type Key uint32

// PoolKey returns the key of a pool's demand.
func PoolKey(pool string) Key { return Key(xxhash.Sum64String("p/" + pool)) }

// AccountKey returns the key of a client account's requests in flight.
func AccountKey(account string) Key { return Key(xxhash.Sum64String("a/" + account)) }

// Item is the state of one key between two entries.
type Item struct {
	Key Key
	// Flow is the part of the count that the sender has passed to the receiver.
	Flow float32
	// Mean is the sender's estimate of the mean over all entries.
	Mean float32
}

// Usage estimates, for each key, the sum of a local count over all entries. It
// exchanges bounded digests of the keys near their limits with a few peers by
// flow updating: an entry's estimate of the mean is its own count less its
// flows to the peers, and the answer to a digest moves both peers to their
// average. The next digest corrects the effect of a lost, repeated or late one.
// Removing a peer removes its flows. The sum over a group of entries that is
// cut off is that group's proportional part of the total.
type Usage struct {
	entries       int
	reachable     int
	keys          map[Key]*counter
	refreshOrder  []Key    // all keys, for the refresh in rotation
	refreshCursor int      // index into refreshOrder
	changes       []change // reused buffer of Digest
}

// counter is the state of one key.
type counter struct {
	local       int
	limit       float64 // 0 means none
	recentTotal float64 // moving average of the estimated total
	netFlow     float64 // sum of the peers' flows
	peers       []peerState
}

// peerState is what has been exchanged about a key with one peer.
type peerState struct {
	peer      string
	flow      float64
	mean      float64 // the peer's estimate of the mean
	meanKnown bool    // whether the peer has sent its estimate
	sentMean  float64 // own estimate last sent to the peer
}

// NewUsage returns the state of an entry that knows no other entries.
func NewUsage() *Usage { return &Usage{entries: 1, reachable: 1, keys: map[Key]*counter{}} }

// SetEntries sets the number of live entries and the number of those in
// reachable data centres. Both are raised to at least 1.
func (u *Usage) SetEntries(all, reachable int) {
	u.entries = max(all, 1)
	u.reachable = max(reachable, 1)
}

func (u *Usage) counter(key Key) *counter {
	c := u.keys[key]
	if c == nil {
		c = &counter{}
		u.keys[key] = c
		u.refreshOrder = append(u.refreshOrder, key)
	}
	return c
}

// Add adds n, which may be negative, to the local count of a key.
func (u *Usage) Add(key Key, n int) { u.counter(key).local += n }

// SetLimit sets the limit of a key's total. Keys without a limit are not
// exchanged.
func (u *Usage) SetLimit(key Key, limit int) { u.counter(key).limit = float64(limit) }

// Tick updates the moving averages. The caller must call it at the interval of
// the exchange.
func (u *Usage) Tick() {
	for _, c := range u.keys {
		total := c.mean() * float64(u.entries)
		c.recentTotal += recentWeight * (total - c.recentTotal)
	}
}

// Local returns the local count of a key.
func (u *Usage) Local(key Key) int {
	if c := u.keys[key]; c != nil {
		return c.local
	}
	return 0
}

// Total returns the estimated count over all entries, which is at least the
// local count. Before any exchange the other entries are assumed to have the
// same count as this one, so that each entry starts with an equal share of a
// limit.
func (u *Usage) Total(key Key) float64 { return u.total(key, u.entries) }

// recentTotal returns the moving average of the estimated total.
func (u *Usage) recentTotal(key Key) float64 {
	if c := u.keys[key]; c != nil {
		return c.recentTotal
	}
	return 0
}

// ReachableTotal returns the estimated count over the entries in the reachable
// data centres.
func (u *Usage) ReachableTotal(key Key) float64 { return u.total(key, u.reachable) }

func (u *Usage) total(key Key, entries int) float64 {
	c := u.keys[key]
	if c == nil {
		return 0
	}
	return max(c.mean()*float64(entries), float64(c.local), 0)
}

func (c *counter) mean() float64 { return float64(c.local) - c.netFlow }

// peerState returns the state with a peer, or nil.
func (c *counter) peerState(peer string) *peerState {
	for i := range c.peers {
		if c.peers[i].peer == peer {
			return &c.peers[i]
		}
	}
	return nil
}

func (c *counter) ensurePeerState(peer string) *peerState {
	if ps := c.peerState(peer); ps != nil {
		return ps
	}
	c.peers = append(c.peers, peerState{peer: peer})
	return &c.peers[len(c.peers)-1]
}

func (c *counter) setFlow(ps *peerState, flow float64) {
	c.netFlow += flow - ps.flow
	ps.flow = flow
}

// change is the change of a key's estimate since it was last sent to a peer, as
// a fraction of the key's limit.
type change struct {
	key  Key
	size float64
}

// Digest returns the items to send to a peer: the keys whose estimates have
// changed most since they were last sent to it, at most MaxDigest.
func (u *Usage) Digest(peer string) []Item {
	u.changes = u.changes[:0]
	for key, c := range u.keys {
		if size := u.unsentChange(c, peer); size > minChange {
			u.changes = append(u.changes, change{key, size})
		}
	}
	slices.SortFunc(u.changes, func(a, b change) int {
		return cmp.Or(cmp.Compare(b.size, a.size), cmp.Compare(a.key, b.key))
	})
	n := min(len(u.changes), MaxDigest-refreshItems)
	items := make([]Item, 0, MaxDigest)
	for _, ch := range u.changes[:n] {
		items = append(items, u.keys[ch.key].item(ch.key, peer))
	}
	return u.refresh(items, peer)
}

// refresh appends unchanged keys that have a flow to the peer, in rotation.
func (u *Usage) refresh(items []Item, peer string) []Item {
	limit := len(items) + refreshItems
	for range min(maxRefreshScan, len(u.refreshOrder)) {
		if len(items) == limit {
			break
		}
		u.refreshCursor = (u.refreshCursor + 1) % len(u.refreshOrder)
		key := u.refreshOrder[u.refreshCursor]
		c := u.keys[key]
		if ps := c.peerState(peer); ps != nil && ps.flow != 0 && u.unsentChange(c, peer) <= minChange {
			items = append(items, c.item(key, peer))
		}
	}
	return items
}

// unsentChange returns, as a fraction of the limit, the difference between the
// estimate and what was last sent to the peer, or the difference between the
// estimate and the peer's own if that is larger. It returns 0 for a key that
// neither this entry nor the peer estimates at minUsage or more.
func (u *Usage) unsentChange(c *counter, peer string) float64 {
	limitScale := u.limitScale(c)
	ps := c.peerState(peer)
	if ps == nil {
		ps = &peerState{}
	}
	if c.recentTotal < minUsage*c.limit && math.Abs(ps.mean)*limitScale < minUsage {
		return 0
	}
	deviation := math.Abs(c.mean() - ps.sentMean)
	if ps.meanKnown {
		deviation = max(deviation, math.Abs(c.mean()-ps.mean))
	}
	return deviation * limitScale
}

// item returns a key's state to be sent to a peer, and marks it as sent.
func (c *counter) item(key Key, peer string) Item {
	ps := c.ensurePeerState(peer)
	ps.sentMean = c.mean()
	return Item{Key: key, Flow: float32(ps.flow), Mean: float32(ps.sentMean)}
}

// Receive applies a digest of a peer, or its answer to one. It returns the
// answer to send: the keys whose estimates were moved to the average.
func (u *Usage) Receive(peer string, items []Item) []Item {
	var answer []Item
	for _, received := range items {
		c := u.counter(received.Key)
		ps := c.ensurePeerState(peer)
		c.setFlow(ps, -float64(received.Flow))
		ps.mean = float64(received.Mean)
		ps.meanKnown = true
		if math.Abs(c.mean()-ps.mean)*u.limitScale(c) <= minChange {
			continue
		}
		average := (c.mean() + ps.mean) / 2
		c.setFlow(ps, ps.flow+c.mean()-average)
		ps.mean = average
		answer = append(answer, c.item(received.Key, peer))
	}
	return answer
}

// limitScale returns the factor that converts an estimate of the mean into a
// fraction of the limit, or 0 if there is no limit.
func (u *Usage) limitScale(c *counter) float64 {
	if c.limit == 0 {
		return 0
	}
	return float64(u.entries) / c.limit
}

// RemovePeer discards the state exchanged with a peer that has left.
func (u *Usage) RemovePeer(peer string) {
	for key, c := range u.keys {
		c.netFlow -= c.removePeer(peer)
		if c.local == 0 && c.limit == 0 && len(c.peers) == 0 {
			delete(u.keys, key)
		}
	}
	u.refreshOrder = slices.DeleteFunc(u.refreshOrder, func(key Key) bool { return u.keys[key] == nil })
	u.refreshCursor = 0
}

// removePeer deletes the state with a peer and returns its flow.
func (c *counter) removePeer(peer string) float64 {
	flow := 0.0
	c.peers = slices.DeleteFunc(c.peers, func(ps peerState) bool {
		if ps.peer == peer {
			flow = ps.flow
		}
		return ps.peer == peer
	})
	return flow
}

// KeyCount returns the number of keys with state.
func (u *Usage) KeyCount() int { return len(u.keys) }
