package wire

import "sync"

// sendQueue holds the messages that wait to be sent. It takes memory only for
// what waits, since most connections are idle. Its lock is a leaf.
type sendQueue struct {
	limit int
	wake  chan struct{}

	mu       sync.Mutex
	messages []Message
}

func newSendQueue(limit int) *sendQueue {
	return &sendQueue{limit: limit, wake: make(chan struct{}, 1)}
}

// put adds a message; false means that the queue is full.
func (q *sendQueue) put(m Message) bool {
	q.mu.Lock()
	full := len(q.messages) >= q.limit
	if !full {
		q.messages = append(q.messages, m)
	}
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return !full
}

// popAll appends the waiting messages to batch and empties the queue.
func (q *sendQueue) popAll(batch []Message) []Message {
	q.mu.Lock()
	defer q.mu.Unlock()
	batch = append(batch, q.messages...)
	clear(q.messages)
	q.messages = q.messages[:0]
	if cap(q.messages) > maxReusedCapacity {
		q.messages = nil
	}
	return batch
}

// maxReusedCapacity is how much of an emptied queue's memory is kept for reuse.
const maxReusedCapacity = 64
