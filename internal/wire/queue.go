package wire

import "sync"

// sendQueue holds the messages that wait to be sent. Most connections are idle, so
// it allocates memory only for waiting messages instead of for limit messages.
// wake has a value while messages may be waiting. Its lock is a leaf lock.
type sendQueue struct {
	limit int
	wake  chan struct{}

	mu       sync.Mutex
	messages []Message
}

func newSendQueue(limit int) *sendQueue {
	return &sendQueue{limit: limit, wake: make(chan struct{}, 1)}
}

// put adds a message. It returns false if the queue is full.
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

// popAll empties the queue and returns batch with the waiting messages appended.
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

// maxReusedCapacity is the largest capacity, in messages, of an emptied queue
// whose memory is kept for reuse.
const maxReusedCapacity = 64
