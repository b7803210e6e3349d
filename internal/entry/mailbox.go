package entry

import (
	"sync"

	"github.com/kingcupreel/kingcupreel/internal/wire"
)

// mailboxLimit bounds the data that waits for one attempt, in bytes; a chunk
// costs chunkOverhead besides its data.
const (
	mailboxLimit  = 4 << 20
	chunkOverhead = 256
)

// mailbox passes the messages of one attempt from the connection's reader,
// which must not block, to the request's goroutine.
type mailbox struct {
	mu       sync.Mutex
	messages []wire.Message
	size     int
	overflow bool
	notify   chan struct{}
}

func newMailbox() *mailbox { return &mailbox{notify: make(chan struct{}, 1)} }

// put adds a message. Chunks beyond the limit are dropped, as is
// everything after them, and the attempt ends.
func (b *mailbox) put(m wire.Message) {
	b.mu.Lock()
	if chunk, ok := m.(*wire.Chunk); ok {
		b.size += len(chunk.Data) + chunkOverhead
		b.overflow = b.overflow || b.size > mailboxLimit
	}
	if !b.overflow {
		b.messages = append(b.messages, m)
	}
	b.mu.Unlock()
	select {
	case b.notify <- struct{}{}:
	default:
	}
}

// take returns the waiting messages and whether any was dropped.
func (b *mailbox) take() ([]wire.Message, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := b.messages
	b.messages = nil
	b.size = 0
	return m, b.overflow
}
