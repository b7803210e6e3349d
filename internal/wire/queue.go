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
	// unsent is the size of the chunks that wait or are being written, in bytes. room is
	// closed when it falls below maxUnsentChunks; nil while it is below.
	unsent int
	room   chan struct{}
}

const (
	// maxUnsentChunks is the size of unsent chunks from which on a sender of chunks waits, in
	// bytes. It holds the queue below DefaultMaxQueued messages, and other senders' messages
	// behind it for little time.
	maxUnsentChunks = 512 << 10
	// ChunkOverhead is what a chunk that is kept counts beside its data, in bytes.
	ChunkOverhead = 256
)

// unsentSize returns what a message counts among the unsent chunks, in bytes.
func unsentSize(m Message) int {
	if c, ok := m.(*Chunk); ok {
		return ChunkOverhead + len(c.Data)
	}
	return 0
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
		q.unsent += unsentSize(m)
		if q.unsent >= maxUnsentChunks && q.room == nil {
			q.room = make(chan struct{})
		}
	}
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return !full
}

// sent records that a message of the queue has been written or dropped.
func (q *sendQueue) sent(m Message) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.unsent -= unsentSize(m)
	if q.unsent < maxUnsentChunks && q.room != nil {
		close(q.room)
		q.room = nil
	}
}

// awaited returns a channel that is closed once there is room for chunks, nil if there is.
func (q *sendQueue) awaited() <-chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.room
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
