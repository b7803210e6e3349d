package engine

import (
	"container/list"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcupreel/kingcupreel/internal/standin"
)

// cachedPrefixBytes is the length of the prompt prefix that identifies a cache
// entry.
const cachedPrefixBytes = 256

// CacheEvent reports that a prefix was added to the cache or evicted from it.
type CacheEvent struct {
	Seq        uint64 `json:"seq"`
	Prefix     uint64 `json:"prefix"`
	Stored     bool   `json:"stored"`
	recordedAt time.Time
}

// cache is an LRU cache of prompt prefixes. It publishes an event for each
// addition and eviction; events become visible after delay, and a fraction of
// them (lossRate) is dropped.
type cache struct {
	capacity int
	delay    time.Duration
	lossRate float64

	mu      sync.Mutex
	byKey   map[uint64]*list.Element
	recency *list.List // most recent first
	seq     uint64
	events  []CacheEvent
}

func newCache(capacity int, delay time.Duration, lossRate float64) *cache {
	return &cache{capacity: capacity, delay: delay, lossRate: lossRate, byKey: map[uint64]*list.Element{}, recency: list.New()}
}

// access looks up the prefix of prompt and marks it as most recently used,
// adding it if it is missing and the capacity is not 0. It reports whether the
// prefix was cached.
func (c *cache) access(prompt string) bool {
	key := xxhash.Sum64String(prompt[:min(len(prompt), cachedPrefixBytes)])
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.byKey[key]; e != nil {
		c.recency.MoveToFront(e)
		return true
	}
	if c.capacity == 0 {
		return false
	}
	c.byKey[key] = c.recency.PushFront(key)
	c.publish(key, true)
	if c.recency.Len() > c.capacity {
		oldest := c.recency.Remove(c.recency.Back()).(uint64)
		delete(c.byKey, oldest)
		c.publish(oldest, false)
	}
	return false
}

// publish records an event, or drops it at the rate of lossRate. A dropped
// event still uses a sequence number. The caller holds mu.
func (c *cache) publish(key uint64, stored bool) {
	c.seq++
	if rand.Float64() < c.lossRate {
		return
	}
	c.events = append(c.events, CacheEvent{Seq: c.seq, Prefix: key, Stored: stored, recordedAt: time.Now()})
}

// showEvents responds with all events that are at least delay old.
func (c *cache) showEvents(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	due := make([]CacheEvent, 0, len(c.events))
	for _, e := range c.events {
		if time.Since(e.recordedAt) >= c.delay {
			due = append(due, e)
		}
	}
	c.mu.Unlock()
	standin.Answer(w, due, nil)
}
