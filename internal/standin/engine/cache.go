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

// cachedPrefix is the length of the prompt's beginning that the cache keeps,
// in bytes.
const cachedPrefix = 256

// CacheEvent says that a prefix entered or left the cache.
type CacheEvent struct {
	Seq    uint64 `json:"seq"`
	Prefix uint64 `json:"prefix"`
	Stored bool   `json:"stored"`
	at     time.Time
}

// cache keeps the prefixes used last. Its events come late, and some never.
type cache struct {
	size  int
	delay time.Duration
	loss  float64

	mu     sync.Mutex
	byKey  map[uint64]*list.Element
	used   *list.List // most recent first
	seq    uint64
	events []CacheEvent
}

func newCache(size int, delay time.Duration, loss float64) *cache {
	return &cache{size: size, delay: delay, loss: loss, byKey: map[uint64]*list.Element{}, used: list.New()}
}

// use looks a prompt's prefix up and keeps it; true means that it was cached.
func (c *cache) use(prompt string) bool {
	key := xxhash.Sum64String(prompt[:min(len(prompt), cachedPrefix)])
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.byKey[key]; e != nil {
		c.used.MoveToFront(e)
		return true
	}
	if c.size == 0 {
		return false
	}
	c.byKey[key] = c.used.PushFront(key)
	c.publish(key, true)
	if c.used.Len() > c.size {
		oldest := c.used.Remove(c.used.Back()).(uint64)
		delete(c.byKey, oldest)
		c.publish(oldest, false)
	}
	return false
}

// publish records an event, or loses it. The caller holds mu.
func (c *cache) publish(key uint64, stored bool) {
	c.seq++
	if rand.Float64() < c.loss {
		return
	}
	c.events = append(c.events, CacheEvent{Seq: c.seq, Prefix: key, Stored: stored, at: time.Now()})
}

// show answers with the events that are due.
func (c *cache) show(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	due := make([]CacheEvent, 0, len(c.events))
	for _, e := range c.events {
		if time.Since(e.at) >= c.delay {
			due = append(due, e)
		}
	}
	c.mu.Unlock()
	standin.Answer(w, due, nil)
}
